/** Load imbalance and churn of slot placement, compared with simpler placements of the same keys and load. */
import murmurhash from "murmurhash";
import { formatTable } from "../src/cli/output";
import {
  type Assignment,
  type Candidate,
  commitMoves,
  computeSlot,
  createAssignment,
  listUnownedSlots,
  placeSlots,
  planBalancingMoves,
  getOwnedSlots,
} from "../src/ownership";
import { createRandom, createZipf } from "../standins/scenarios/callers";

const KEY_COUNT = 100_000;
const REQUEST_COUNT = 400_000;
const SLOT_COUNT = 1024;
const ZIPF_EXPONENT = 0.99;
const WINDOW_SECONDS = 10;
const BALANCING_ROUNDS = 6;
const RING_POINTS_PER_SERVER = 100;
/** Maximum number of keys per server in consistent hashing, as a multiple of the mean. */
const KEY_COUNT_BOUND = 1.25;
const SEED = 42;

/** Prints the load imbalance and the churn of each placement, for several numbers of servers. */
export function measurePlacement(): void {
  for (const serverCount of [5, 20, 25]) {
    const sample = sampleKeys(0);
    const even = placeEvenly(serverCount);
    const balanced = balance(even, sample);
    const moved = sampleKeys(KEY_COUNT / 2);
    const rebalanced = balance(balanced.assignment, moved);
    const hottestKeyRatio = computeLargestShare(sample) * serverCount;
    const rows = [
      [
        "hash modulo servers",
        computeImbalance(sample, serverCount, (key) => murmurhash.v3(key) % serverCount),
        computeLossChurn("modulo", serverCount),
      ],
      [
        "consistent hashing, bounded loads",
        computeImbalanceOfRing(sample, serverCount),
        computeLossChurn("ring", serverCount),
      ],
      ["slots, even counts", computeImbalanceOfSlots(sample, even), "1.00"],
      [
        `slots, balanced (${balanced.moves} moves)`,
        computeImbalanceOfSlots(sample, balanced.assignment),
        "1.00",
      ],
      ["the same after all hot keys changed", computeImbalanceOfSlots(moved, balanced.assignment), ""],
      [`rebalanced (${rebalanced.moves} moves)`, computeImbalanceOfSlots(moved, rebalanced.assignment), ""],
    ] as const;
    process.stdout.write(
      `${serverCount} servers, Zipf ${ZIPF_EXPONENT}, hottest key alone ${hottestKeyRatio.toFixed(2)} of a server's mean\n` +
        `${formatTable(["placement", "busiest / mean", "moves when a server is lost / least possible"], rows)}\n`,
    );
  }
}

function sampleKeys(offset: number): readonly string[] {
  const nextRank = createZipf(KEY_COUNT, ZIPF_EXPONENT, createRandom(SEED));
  return Array.from({ length: REQUEST_COUNT }, () => `key-${(nextRank() + offset) % KEY_COUNT}`);
}

function placeEvenly(serverCount: number): Assignment {
  const servers = Array.from({ length: serverCount }, (_unused, index) => ({
    name: `server-${index}`,
    dataCentre: "north",
    generation: 1,
    leaseholder: null,
    predecessors: [],
  }));
  const empty = { ...createAssignment("desk", SLOT_COUNT), servers };
  return commitMoves(empty, placeSlots(empty, listUnownedSlots(empty), listCandidates(empty), new Map()));
}

function listCandidates(assignment: Assignment): readonly Candidate[] {
  return assignment.servers.map((server) => ({ name: server.name, weight: 4 }));
}

/** Runs as many balancing rounds as the planner does in a minute. */
function balance(assignment: Assignment, sample: readonly string[]) {
  const loads = new Map<number, number>();
  for (const key of sample) {
    const slot = computeSlot(key, SLOT_COUNT);
    loads.set(slot, (loads.get(slot) ?? 0) + 1 / WINDOW_SECONDS);
  }
  let current = assignment;
  let moves = 0;
  for (let round = 0; round < BALANCING_ROUNDS; round += 1) {
    const limits = { tolerance: 1.1, maxMoves: 32, windowSeconds: WINDOW_SECONDS };
    const planned = planBalancingMoves(current, listCandidates(current), loads, limits);
    current = commitMoves(current, planned);
    moves += planned.length;
  }
  return { assignment: current, moves };
}

function computeImbalanceOfSlots(sample: readonly string[], assignment: Assignment): string {
  return computeImbalance(
    sample,
    assignment.servers.length,
    (key) => assignment.owners[computeSlot(key, SLOT_COUNT)] ?? 0,
  );
}

function computeImbalance(
  sample: readonly string[],
  serverCount: number,
  getOwner: (key: string) => number,
): string {
  const counts = new Array<number>(serverCount).fill(0);
  for (const key of sample) {
    const owner = getOwner(key);
    counts[owner] = (counts[owner] ?? 0) + 1;
  }
  return (Math.max(...counts) / (sample.length / serverCount)).toFixed(2);
}

function computeLargestShare(sample: readonly string[]): number {
  const counts = new Map<string, number>();
  for (const key of sample) {
    counts.set(key, (counts.get(key) ?? 0) + 1);
  }
  return Math.max(...counts.values()) / sample.length;
}

/**
 * Returns the load imbalance of consistent hashing with bounded loads. The number of keys per server is
 * bounded, since consistent hashing does not know the load of each key.
 */
function computeImbalanceOfRing(sample: readonly string[], serverCount: number): string {
  const ring = createRing(serverCount);
  const keys = [...new Set(sample)];
  const bound = Math.ceil((keys.length / serverCount) * KEY_COUNT_BOUND);
  const counts = new Array<number>(serverCount).fill(0);
  const owners = new Map<string, number>();
  for (const key of keys) {
    const owner = findRingOwner(ring, key, (server) => (counts[server] ?? 0) < bound);
    counts[owner] = (counts[owner] ?? 0) + 1;
    owners.set(key, owner);
  }
  return computeImbalance(sample, serverCount, (key) => owners.get(key) ?? 0);
}

function createRing(serverCount: number): readonly { readonly point: number; readonly server: number }[] {
  const points = Array.from({ length: serverCount * RING_POINTS_PER_SERVER }, (_unused, index) => {
    const server = index % serverCount;
    return { point: murmurhash.v3(`${server}#${index}`), server };
  });
  return points.sort((left, right) => left.point - right.point);
}

function findRingOwner(
  ring: ReturnType<typeof createRing>,
  key: string,
  accepts: (server: number) => boolean,
): number {
  const hash = murmurhash.v3(key);
  const start = Math.max(
    0,
    ring.findIndex((entry) => entry.point >= hash),
  );
  for (let step = 0; step < ring.length; step += 1) {
    const { server } = ring[(start + step) % ring.length] ?? { server: 0 };
    if (accepts(server)) {
      return server;
    }
  }
  return 0;
}

/** Returns how many keys change owners when a server is lost, divided by the number that it owned. */
function computeLossChurn(kind: "modulo" | "ring", serverCount: number): string {
  const keys = Array.from({ length: 20_000 }, (_unused, index) => `key-${index}`);
  const ring = createRing(serverCount);
  const lost = serverCount - 1;
  const before = (key: string) =>
    kind === "modulo" ? murmurhash.v3(key) % serverCount : findRingOwner(ring, key, () => true);
  const after = (key: string) =>
    kind === "modulo"
      ? murmurhash.v3(key) % (serverCount - 1)
      : findRingOwner(ring, key, (server) => server !== lost);
  const moved = keys.filter((key) => before(key) !== after(key)).length;
  const minMoves = keys.filter((key) => before(key) === lost).length;
  return (moved / minMoves).toFixed(2);
}

/** Prints how many slots change owners when a server is lost, when it returns, and under steady load. */
export function measureChurn(): void {
  const before = placeEvenly(20);
  const lost = "server-7";
  const owned = getOwnedSlots(before, lost).map((owner) => owner.slot);
  const others = listCandidates(before).filter((candidate) => candidate.name !== lost);
  const afterLoss = commitMoves(before, placeSlots(before, owned, others, new Map()));
  const limits = { tolerance: 1.1, maxMoves: 1024, windowSeconds: WINDOW_SECONDS };
  const returnMoves = planBalancingMoves(afterLoss, listCandidates(afterLoss), new Map(), limits);
  const share = SLOT_COUNT / 20;
  const rows = [
    ["loss of one of 20 servers", owned.length, owned.length, "1.00"],
    ["its return", returnMoves.length, Math.floor(share), (returnMoves.length / share).toFixed(2)],
    ["steady load", planBalancingMoves(before, listCandidates(before), new Map(), limits).length, 0, ""],
  ] as const;
  process.stdout.write(`${formatTable(["event", "slots moved", "least possible", "ratio"], rows)}\n`);
}
