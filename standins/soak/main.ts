/** Command line of the soak: runs seeds, several at a time, and reports the promises that each one broke. */
import meow from "meow";
import { ADDRESS_BLOCKS } from "./deployment";
import { regressionSeeds } from "./regressionSeeds";
import { type SoakResult, runSoak } from "./soak";

const cli = meow(
  `
  Usage
    $ npm run soak -- [--first SEED | --known] [--seeds COUNT] [--seconds SECONDS] [--jobs COUNT]

  Options
    --first    First seed (default: derived from the clock)
    --known    Run the regression seeds, which once broke a promise, instead of others
    --seeds    Number of consecutive seeds (default 10)
    --seconds  Duration of the fault injection for each seed (default 12)
    --jobs     Number of seeds that run at the same time (default 2)

  Example
    $ npm run soak -- --first 1 --seeds 50
`,
  {
    importMeta: { url: "file:///soak" } as ImportMeta,
    autoHelp: true,
    flags: {
      first: { type: "number" },
      known: { type: "boolean", default: false },
      seeds: { type: "number", default: 10 },
      seconds: { type: "number", default: 12 },
      jobs: { type: "number", default: 2 },
    },
  },
);

const SEED_LIMIT = 1_000_000;
const MILLISECONDS_PER_SECOND = 1000;

async function main(): Promise<void> {
  const first = cli.flags.first ?? Date.now() % SEED_LIMIT;
  const seeds = cli.flags.known
    ? regressionSeeds.map(({ seed }) => seed)
    : Array.from({ length: cli.flags.seeds }, (_, index) => first + index);
  const count = seeds.length;
  const failed: number[] = [];
  const usedBlocks = new Set<number>();
  /** Takes the next seed whose addresses no running seed uses. */
  const takeSeed = () => {
    const index = seeds.findIndex((seed) => !usedBlocks.has(seed % ADDRESS_BLOCKS));
    return index === -1 ? undefined : seeds.splice(index, 1)[0];
  };
  const runSeeds = async () => {
    for (let seed = takeSeed(); seed !== undefined; seed = takeSeed()) {
      const block = seed % ADDRESS_BLOCKS;
      usedBlocks.add(block);
      const result = await runSoak({
        seed,
        faultsMs: cli.flags.seconds * MILLISECONDS_PER_SECOND,
        checksTimeBounds: true,
      });
      usedBlocks.delete(block);
      printResult(result);
      if (result.brokenPromises.length > 0) {
        failed.push(seed);
      }
    }
  };
  await Promise.all(Array.from({ length: cli.flags.jobs }, runSeeds));
  process.stdout.write(`${count - failed.length} seeds held, ${failed.length} broke a promise\n`);
  // Timers of stand-ins for requests whose callers have gone would keep the process alive.
  process.exit(failed.length === 0 ? 0 : 1);
}

function printResult(result: SoakResult): void {
  const { seed, requests, served, brokenPromises, longestDelayMs, folder, faults } = result;
  process.stdout.write(
    `seed ${seed}: ${served} of ${requests} served, ${faults.length} faults, ${brokenPromises.length === 0 ? "held" : "BROKEN"}\n`,
  );
  if (brokenPromises.length > 0) {
    process.stdout.write(`${brokenPromises.map((line) => `  ${line}`).join("\n")}\n  logs: ${folder}\n`);
    process.stdout.write(`  longest delay of the soak's own event loop: ${longestDelayMs} ms\n`);
    process.stdout.write(`${faults.map((line) => `  fault: ${line}`).join("\n")}\n`);
  }
}

void main();
