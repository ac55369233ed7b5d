/** Command line that runs a backend server stand-in as a separate process. */
import meow from "meow";
import { startBackendServer } from "./backendServer";
import { createFileRunLog } from "./runLog";

const cli = meow(
  `
  Usage
    backendServer --name NAME --port PORT --record FILE

  Options
    --slots       maximum number of requests run at once (default 4)
    --connections maximum number of open connections (default 130)
    --fenced      checks the grants of requests
    --cold        duration of a cold start in milliseconds (default 500)
    --work        processing time of a request in milliseconds (default 2)
    --report-lag  interval at which the health report is refreshed, in milliseconds (default 100)
`,
  {
    importMeta: { url: "file:///" } as ImportMeta,
    pkg: { name: "backendServer" },
    flags: {
      name: { type: "string", isRequired: true },
      port: { type: "number", isRequired: true },
      record: { type: "string", isRequired: true },
      slots: { type: "number", default: 4 },
      connections: { type: "number", default: 130 },
      fenced: { type: "boolean", default: false },
      cold: { type: "number", default: 500 },
      work: { type: "number", default: 2 },
      reportLag: { type: "number", default: 100 },
    },
  },
);

void startBackendServer({
  name: cli.flags.name,
  host: "127.0.0.1",
  port: cli.flags.port,
  slots: cli.flags.slots,
  maxConnections: cli.flags.connections,
  isFenced: cli.flags.fenced,
  coldMs: cli.flags.cold,
  reportLagMs: cli.flags.reportLag,
  behaviour: { workMs: cli.flags.work, stragglerMs: 0, isDraining: false, isShedding: false },
  log: createFileRunLog(cli.flags.record),
});
