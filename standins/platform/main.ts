/** Command line that runs the platform stand-in as a separate process. */
import meow from "meow";
import { startPlatform } from "./platform";

const cli = meow(
  `
  Usage
    platform --ports PORT[,PORT...]

  Options
    --ports              ports to listen on, one endpoint for each
    --writes-per-second  maximum number of writes per second (default 300)
    --reads-per-second   maximum number of reads per second (default 2000)
    --vm-list-lag        delay until a change appears in the VM list, in milliseconds (default 2000)
`,
  {
    importMeta: { url: "file:///" } as ImportMeta,
    pkg: { name: "platform" },
    autoHelp: true,
    flags: {
      ports: { type: "string", isRequired: true },
      writesPerSecond: { type: "number", default: 300 },
      readsPerSecond: { type: "number", default: 2000 },
      vmListLag: { type: "number", default: 2000 },
    },
  },
);

void startPlatform({
  host: "127.0.0.1",
  ports: cli.flags.ports.split(",").map(Number),
  writesPerSecond: cli.flags.writesPerSecond,
  readsPerSecond: cli.flags.readsPerSecond,
  vmListLagMs: cli.flags.vmListLag,
});
