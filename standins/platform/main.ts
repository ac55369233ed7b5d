/** Runs the platform stand-in as a process of its own. */
import meow from "meow";
import { startPlatform } from "./platform";

const cli = meow(
  `
  Usage
    platform --ports PORT[,PORT...]

  Options
    --ports              one entrance for each port
    --writes-per-second  limit of writes (default 300)
    --reads-per-second   limit of reads (default 2000)
    --vm-list-lag        milliseconds until a change shows in the VM list (default 2000)
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
