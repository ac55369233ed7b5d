/** Load patterns at a service that requests of several priorities share, played by daemons without a network. */
import { describe, expect, test } from "vitest";
import {
  type PriorityLoad,
  type SimulatedKind,
  type SimulatedRun,
  measureServed,
  playPriorityLoad,
} from "./support/priorityLoad";

const SEEDS = [20_261_206, 20_261_207, 20_261_208];
/** The simulated servers serve 187 requests per second. */
const BURST = { from: 3000, to: 8000 };
const LATER = 13_000;
/** Targets: a less urgent kind is not served more often by over 5 in 100; none less than a quarter as often as all. */
const MAX_INVERSION = 0.05;
const MIN_RELATIVE = 0.25;
/** No kind obtains a share of its value that is smaller by over 15 in 100; a late answer is worth a third. */
const MAX_VALUE_INVERSION = 0.15;
const LATE_VALUE = 1 / 3;
const IN_FORCE_MS = 1000;
/** "About 2 s": one interval of the exchange more. */
const GONE_MS = 2400;

/** Factor of rates and servers that makes random variation of served fractions small against 5 in 100. */
const SCALE = 6;

const constant = (rate: number) => () => rate;
const duringBurst = (usual: number, burst: number) => (timeMs: number) =>
  timeMs >= BURST.from && timeMs < BURST.to ? burst : usual;
const kind = (
  priority: number,
  rate: SimulatedKind["rate"],
  change: Partial<SimulatedKind> = {},
): SimulatedKind => ({ priority, rate, objectiveMs: 608, timeoutMs: 2532, ...change });

const isRestricted = (shares: Readonly<Record<string, number>>) =>
  Object.values(shares).some((share) => share < 1);

function expectPriorities(
  run: SimulatedRun,
  { kinds }: Pick<PriorityLoad, "kinds">,
  from: number,
  to: number,
) {
  const all = measureServed(run, from, to);
  const measured = [...kinds]
    .sort((one, other) => one.priority - other.priority)
    .map(({ priority }) => measureServed(run, from, to, (each) => each.priority === priority));
  const served = measured.map((each) => each.served);
  const values = measured.map((each) => each.onTime + LATE_VALUE * (each.served - each.onTime));
  values.slice(1).forEach((value, index) => {
    expect(values[index]).toBeGreaterThanOrEqual(value - MAX_VALUE_INVERSION);
  });
  served.slice(1).forEach((share, index) => {
    expect(served[index]).toBeGreaterThanOrEqual(share - MAX_INVERSION);
  });
  served.forEach((share) => {
    expect(share).toBeGreaterThanOrEqual(MIN_RELATIVE * all.served);
  });
  return served;
}

const patterns: readonly (Omit<PriorityLoad, "seed" | "durationMs"> & {
  readonly name: string;
  /** Least served fraction of the most urgent kind. */
  readonly minUrgent: number;
})[] = [
  {
    name: "a burst of the less urgent kind at a service that two kinds share",
    kinds: [kind(0, constant(30)), kind(1, duringBurst(80, 260))],
    minUrgent: 0.9,
  },
  {
    name: "a burst of the urgent kind, which fits",
    kinds: [kind(0, duringBurst(40, 160)), kind(1, constant(40)), kind(2, constant(30))],
    minUrgent: 0.9,
  },
  {
    name: "a burst of the urgent kind, which alone is more than the servers take",
    kinds: [kind(0, duringBurst(40, 280)), kind(1, constant(40)), kind(2, constant(30))],
    minUrgent: 0,
  },
  {
    name: "urgent requests that arrive at a service full of less urgent ones",
    kinds: [kind(0, duringBurst(0, 80)), kind(2, duringBurst(110, 180))],
    minUrgent: 0.9,
  },
  {
    name: "uneven callers: one of 24 daemons gets half of all requests",
    kinds: [kind(0, constant(30)), kind(1, duringBurst(80, 260))],
    daemons: 24,
    daemonWeight: (index) => (index === 1 ? 23 : 1),
    minUrgent: 0.9,
  },
  {
    name: "a burst while the capacity is estimated a third too high",
    kinds: [kind(0, constant(30)), kind(1, duringBurst(80, 260))],
    estimateError: 1.33,
    minUrgent: 0.9,
  },
];

describe("under load, urgent requests are served first and no kind is starved:", () => {
  test.each(patterns.flatMap((pattern) => SEEDS.map((seed) => ({ ...pattern, seed }))))(
    "$name (seed $seed)",
    async (pattern) => {
      const kinds = pattern.kinds.map((each) => ({
        ...each,
        rate: (timeMs: number) => SCALE * each.rate(timeMs),
      }));
      const run = await playPriorityLoad({ ...pattern, kinds, servers: 10 * SCALE, durationMs: LATER });
      const [urgent] = expectPriorities(run, pattern, BURST.from + IN_FORCE_MS, BURST.to);
      expect(urgent).toBeGreaterThan(pattern.minUrgent);
    },
  );

  test.each(SEEDS)(
    "shares are in force within 1 s of the onset, and gone 2 s after the end (seed %i)",
    async (seed) => {
      const kinds = [kind(0, duringBurst(40, 120)), kind(1, duringBurst(60, 180))];
      const { samples } = await playPriorityLoad({ kinds, seed, durationMs: LATER });
      const first = samples.find(({ shares }) => shares.every(isRestricted));
      const last = samples.findLast(({ shares }) => shares.some(isRestricted));
      expect(first?.timeMs).toBeGreaterThan(BURST.from);
      expect(first?.timeMs).toBeLessThanOrEqual(BURST.from + IN_FORCE_MS);
      expect(last?.timeMs).toBeLessThanOrEqual(BURST.to + GONE_MS);
    },
  );

  test.each([20, 80].flatMap((swing) => SEEDS.map((seed) => ({ swing, seed }))))(
    "noise of $swing requests/s around the limit causes at most one shortage in 5 s (seed $seed)",
    async ({ swing, seed }) => {
      const kinds = [
        kind(0, constant(60)),
        kind(1, (timeMs) => 128 + swing * ((Math.floor(timeMs / 300) % 2) - 0.5)),
      ];
      const { transitions, samples } = await playPriorityLoad({ kinds, seed, durationMs: 20_000 });
      expect(transitions.filter(({ isStart }) => isStart).length).toBeLessThanOrEqual(4);
      const shares = samples.map((sample) => sample.shares[1]?.["desk/1"] ?? 1);
      const changes = shares.slice(1).map((share, index) => Math.sign(share - (shares[index] ?? 1)));
      const directions = changes.filter((change) => change !== 0);
      const reversals = directions.filter((change, index) => index > 0 && change !== directions[index - 1]);
      // At most one in a round of 2 s.
      expect(reversals.length).toBeLessThanOrEqual(10);
    },
  );

  test.each(SEEDS)(
    "less than a tenth of the capacity is left unused, and nothing is refused after the end (seed %i)",
    async (seed) => {
      const kinds = [kind(0, duringBurst(60, 150)), kind(1, constant(50)), kind(2, constant(30))];
      const run = await playPriorityLoad({ kinds, seed, durationMs: LATER });
      const { served } = measureServed(run, BURST.from + IN_FORCE_MS, BURST.to);
      expect(served).toBeGreaterThan((0.9 * 187.5) / 230);
      const after = measureServed(run, BURST.to + GONE_MS, LATER - 1000);
      expect(after.served).toBeGreaterThan(0.99);
    },
  );

  test.each(SEEDS)("callers that repeat at once and often gain nothing (seed %i)", async (seed) => {
    const kinds = [kind(0, constant(40)), kind(1, duringBurst(60, 250), { immediateRetries: 6 })];
    const run = await playPriorityLoad({ kinds, seed, durationMs: LATER });
    const measure = (isImmediate: boolean) =>
      measureServed(
        run,
        BURST.from + IN_FORCE_MS,
        BURST.to,
        (each) => each.priority === 1 && each.isImmediate === isImmediate,
      );
    expect(measure(true).count).toBeGreaterThan(300);
    expect(measure(true).served).toBeLessThanOrEqual(measure(false).served);
  });
});

describe("at a keyed service", () => {
  test.each(SEEDS)("urgent requests are served first in a shortage of all owners (seed %i)", async (seed) => {
    const chooseKey = (random: () => number) => Math.floor(random() * 1000);
    const kinds = [kind(0, constant(40), { chooseKey }), kind(1, duringBurst(60, 250), { chooseKey })];
    const run = await playPriorityLoad({ kinds, seed, durationMs: LATER, isKeyed: true });
    const [urgent] = expectPriorities(run, { kinds }, BURST.from + IN_FORCE_MS, BURST.to);
    expect(urgent).toBeGreaterThan(0.85);
  });
});

describe("no shares for the whole service", () => {
  test.each(SEEDS)("while one owner of hot keys is overloaded (seed %i)", async (seed) => {
    const chooseKey = (random: () => number) => (random() < 0.5 ? 0 : Math.floor(random() * 1000));
    const kinds = [kind(0, constant(40), { chooseKey }), kind(1, constant(60), { chooseKey })];
    const run = await playPriorityLoad({ kinds, seed, durationMs: LATER, isKeyed: true });
    expect(measureServed(run, 0, LATER).served).toBeLessThan(0.9);
    expect(run.samples.some(({ shares }) => shares.some(isRestricted))).toBe(false);
  });

  test.each(SEEDS)("while only requests of one priority arrive (seed %i)", async (seed) => {
    const run = await playPriorityLoad({ kinds: [kind(1, constant(300))], seed, durationMs: 6000 });
    expect(run.samples.some(({ shares }) => shares.some(isRestricted))).toBe(false);
  });

  // Guards against refusing nearly all requests for a trace of others, such as those that test the configuration.
  test.each(SEEDS)("while one request in a hundred has another priority (seed %i)", async (seed) => {
    const kinds = [kind(0, constant(3)), kind(1, constant(300))];
    const run = await playPriorityLoad({ kinds, seed, durationMs: 6000 });
    expect(run.samples.some(({ shares }) => shares.some(isRestricted))).toBe(false);
  });

  test.each(SEEDS)(
    "while one daemon of eight reports work and refusals that no other sees (seed %i)",
    async (seed) => {
      const kinds = [kind(0, constant(30)), kind(1, constant(80))];
      const onStep: PriorityLoad["onStep"] = (_, cluster) => cluster.wrongWork.set(3, 500);
      const run = await playPriorityLoad({ kinds, seed, durationMs: LATER, onStep });
      expect(run.samples.some(({ shares }) => shares.some(isRestricted))).toBe(false);
    },
  );
});

describe("in a shortage, urgent requests are still served first", () => {
  const failures: readonly { readonly name: string; readonly onStep: NonNullable<PriorityLoad["onStep"]> }[] =
    [
      {
        name: "the coordinator is lost and there is no other one",
        onStep: (timeMs, cluster) => {
          cluster.coordinator = timeMs < 5000 ? 0 : undefined;
        },
      },
      {
        name: "another daemon takes over after 2.8 s",
        onStep: (timeMs, cluster) => {
          cluster.coordinator = timeMs < 4500 ? 0 : timeMs < 7300 ? undefined : 5;
        },
      },
      {
        name: "three daemons are cut off from the coordinator",
        onStep: (timeMs, cluster) => {
          [4, 5, 6].filter(() => timeMs >= 5000).forEach((index) => cluster.cutOff.add(index));
        },
      },
    ];
  const kinds = [kind(0, constant(40)), kind(1, (timeMs) => (timeMs < BURST.from ? 60 : 240))];
  test.each(failures.flatMap((failure) => SEEDS.map((seed) => ({ ...failure, seed }))))(
    "when $name (seed $seed)",
    async ({ onStep, seed }) => {
      const run = await playPriorityLoad({ kinds, seed, durationMs: LATER, onStep });
      const [urgent] = expectPriorities(run, { kinds }, 5000, LATER - 1000);
      expect(urgent).toBeGreaterThan(0.85);
    },
  );
});
