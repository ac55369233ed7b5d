/** Command line that sends open-loop load to daemons and prints latencies and how the requests ended. */
import meow from "meow";
import { formatTable } from "../../src/cli/output";
import { createCallers, createRandom, createZipf } from "../scenarios/callers";
import { groupBy } from "../scenarios/groupBy";

const cli = meow(
  `
  Usage
    load --to URL[,URL...] --service NAME

  Options
    --rate      requests per second (default 200)
    --seconds   duration in seconds (default 10)
    --keys      number of keys (default 10000)
    --zipf      exponent of the keys' Zipf distribution (default 0.99)
    --writes    share of POST requests, from 0 to 1 (default 0.1)
    --seed      seed of the random number generator (default 1)
`,
  {
    importMeta: { url: "file:///" } as ImportMeta,
    pkg: { name: "load" },
    flags: {
      to: { type: "string", isRequired: true },
      service: { type: "string", isRequired: true },
      rate: { type: "number", default: 200 },
      seconds: { type: "number", default: 10 },
      keys: { type: "number", default: 10_000 },
      zipf: { type: "number", default: 0.99 },
      writes: { type: "number", default: 0.1 },
      seed: { type: "number", default: 1 },
    },
  },
);

void run();

async function run(): Promise<void> {
  const { to, service, rate, seconds, keys, zipf, writes, seed } = cli.flags;
  const targets = to.split(",");
  const random = createRandom(seed);
  const nextKey = createZipf(keys, zipf, random);
  const callers = createCallers();
  await callers.send(rate, seconds * 1000, (index) => ({
    url: `${targets[index % targets.length] ?? ""}/${service}/key-${nextKey()}/status?caller=${seed}-${index}`,
    method: random() < writes ? "POST" : "GET",
    callerId: `${seed}-${index}`,
  }));
  const ends = groupBy(callers.getResults(), (result) => result.end);
  process.stdout.write(
    `${formatTable(
      ["end", "requests"],
      [...ends].map(([end, same]) => [end, same.length]),
    )}\n`,
  );
  const formatPercentile = (share: number) => (callers.latency.getValueAtPercentile(share) / 1000).toFixed(1);
  process.stdout.write(
    `p50 ${formatPercentile(50)} ms, p99 ${formatPercentile(99)} ms, p99.9 ${formatPercentile(99.9)} ms\n`,
  );
  await callers.close();
}
