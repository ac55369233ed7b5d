/**
 * Shared estimates of server performance. Each test names its pattern of load; the sizes are those of deployments on
 * which a daemon meets each server too rarely to know it.
 */
import { describe, expect, test } from "vitest";
import { createPerformanceSums, estimateCapacities } from "../src/gateway";
import {
  KEY_COUNT,
  type OwnedRange,
  type RebalanceMove,
  contains,
  createKeyLoad,
  placeUnownedRanges,
  planRebalance,
} from "../src/keyRanges";
import { type FleetOptions, createPerformanceFleet } from "./support/performanceFleet";

const DAEMONS = 75;
const WORK_MS = 160;
const SPEEDS = [0.6, 1, 1.4];
/** A message has at most 3 KB. */
const MAX_MESSAGE_BYTES = 3 * 1024;

const getUnevenSpeed = (index: number) => SPEEDS[index % 3] ?? 1;

function createFleet(change: Partial<FleetOptions> = {}) {
  const servers = change.servers ?? 147;
  return createPerformanceFleet({
    seed: 20_261_206,
    daemons: DAEMONS,
    servers,
    slots: 4,
    workMs: WORK_MS,
    requestsPerSecond: servers * 7,
    isNoisy: true,
    getSpeed: getUnevenSpeed,
    route: (_daemon, random) => Math.floor(random() * servers),
    ...change,
  });
}

type Fleet = ReturnType<typeof createFleet>;

/** Returns the announced times for a unit of work at one daemon, by server; undefined where there is none. */
function listTimes(fleet: Fleet, daemon = 30): readonly (number | undefined)[] {
  const { performance } = fleet.getDaemon(daemon);
  return fleet.servers.map(({ entry }) => performance.find(entry.name)?.processingMs);
}

function listSlots(fleet: Fleet, daemon = 30): readonly (number | undefined)[] {
  const { performance } = fleet.getDaemon(daemon);
  return fleet.servers.map(({ entry }) => performance.find(entry.name)?.effectiveSlots);
}

function mean(values: readonly (number | undefined)[]): number {
  const known = values.filter((value) => value !== undefined);
  return known.reduce((total, value) => total + value, 0) / known.length;
}

const ofSpeed = <Value>(values: readonly Value[], position: number) =>
  values.filter((_, index) => index % 3 === position);

interface KeyedResult {
  /** Utilisation of the busiest server, relative to the mean. */
  readonly busiest: number;
  readonly lateShare: number;
  readonly refused: number;
  readonly moves: number;
}

/** Plays keyed requests to 103 servers whose keys the coordinator places; the moves take no time. */
function playKeyedLoad(isShared: boolean, speeds: (index: number) => number): KeyedResult {
  const owners = new Int32Array(KEY_COUNT);
  const fleet = createFleet({
    servers: 103,
    slots: 3,
    requestsPerSecond: 759,
    isShared,
    getSpeed: speeds,
    route: (_daemon, random) => {
      const key = Math.floor(random() * KEY_COUNT);
      load.record(key);
      return owners[key] ?? 0;
    },
  });
  const load = createKeyLoad(fleet.clock);
  const indexes = new Map(fleet.servers.map(({ entry }, index) => [entry.name, index]));
  const placed = placeUnownedRanges([{ from: 0, to: KEY_COUNT - 1 }], [], listCandidates(), () => 0);
  let owned: OwnedRange[] = placed.map((range) => ({ ...range, token: 1 }));
  let moveCount = 0;
  let plannedAt = 2000;
  let busyKeysMovedAt = 0;
  applyOwners();
  play(60_000);
  fleet.latencies.length = 0;
  fleet.refused = 0;
  moveCount = 0;
  fleet.servers.forEach((server) => {
    server.busyMs = 0;
  });
  play(30_000);
  const busy = fleet.servers.map(({ busyMs }) => busyMs);
  return {
    busiest: Math.max(...busy) / mean(busy),
    lateShare: fleet.latencies.filter((latencyMs) => latencyMs > 608).length / fleet.latencies.length,
    refused: fleet.refused,
    moves: moveCount,
  };

  function play(durationMs: number): void {
    fleet.run(durationMs, () => {
      if (fleet.clock.now() - plannedAt >= 500) {
        plannedAt = fleet.clock.now();
        rebalance();
      }
    });
  }

  function listCandidates() {
    const { loads, performance } = fleet.getDaemon(0);
    const capacities = estimateCapacities(
      fleet.servers.map(({ entry }) => ({
        slots: performance.find(entry.name)?.effectiveSlots ?? entry.slots,
        processingMs: loads.getProcessingMs(entry.name),
        answers: performance.find(entry.name) === undefined ? loads.countAnswers(entry.name) : 1000,
        maxRequestsPerSecond: null,
      })),
    );
    return fleet.servers.map(({ entry }, index) => ({ ...entry, capacity: capacities[index] ?? 0 }));
  }

  function rebalance(): void {
    const candidates = listCandidates();
    const plan = (getLoad: ReturnType<typeof load.measure>, maxMoves: number) =>
      planRebalance({ owned, candidates, getLoad, maxMoves, isMovable: () => true });
    const moves = plan(load.measure(), 51);
    if (moves.length > 0) {
      busyKeysMovedAt = plannedAt;
    }
    const isQuiet = plannedAt - busyKeysMovedAt >= 2000;
    const isSteady = isQuiet && isShared && owned.length <= 2 * candidates.length;
    applyMoves(isSteady ? plan(load.measureSteady(), 12) : moves);
  }

  function applyMoves(moves: readonly RebalanceMove[]): void {
    moveCount += moves.length;
    for (const { piece } of moves) {
      owned = owned.flatMap((range) =>
        contains(range, piece)
          ? [
              { ...range, to: piece.from - 1 },
              { ...piece, token: 1 },
              { ...range, from: piece.to + 1 },
            ].filter(({ from, to }) => from <= to)
          : [range],
      );
    }
    applyOwners();
  }

  function applyOwners(): void {
    owned.forEach(({ server, from, to }) => {
      owners.fill(indexes.get(server) ?? 0, from, to + 1);
    });
  }
}

describe("what a daemon reports of an answer", () => {
  // The answer took 480 ms at a server with 4 slots.
  test.each([
    { name: "an idle server", load: { running: 0, waiting: 0, slowness: 1 }, running: 1, timeMs: 480 },
    {
      name: "a machine that is slow now",
      load: { running: 0, waiting: 0, slowness: 3 },
      running: 1,
      timeMs: 160,
    },
    { name: "a queue", load: { running: 4, waiting: 7, slowness: 1 }, running: 4, timeMs: 160 },
    {
      name: "an impossible slowness",
      load: { running: 2, waiting: 0, slowness: 0 },
      running: 3,
      timeMs: 480,
    },
  ])("$name", ({ load, running, timeMs }) => {
    const fleet = createFleet();
    const { performance } = fleet.getDaemon(0);
    performance.recordAnswer(fleet.getName(0), 480, 1, { ...load, slots: 4 });
    const [observation] = performance.takeObservations(() => true);
    expect(observation?.byRunning).toEqual([{ running, answers: 1, work: 1, timeMs }]);
    // The slowness is part of what requests see on average.
    expect(observation?.slowedMs).toBe(load.slowness === 3 ? 480 : timeMs);
    expect(performance.takeObservations(() => true)).toEqual([]);
  });
});

describe("shared estimates of server performance", () => {
  test("keyed load at servers of uneven speed: slow ones get fewer keys, and keys come to rest", () => {
    const before = playKeyedLoad(false, getUnevenSpeed);
    const after = playKeyedLoad(true, getUnevenSpeed);
    console.log("keyed load, 60 to 90 s, each daemon by itself:", before, "shared:", after);
    expect(after.busiest).toBeLessThan(before.busiest);
    // Plans leave a server at 1.3 times its share, and the requests of 30 s vary by 15% at the busiest of 103 servers.
    expect(after.busiest).toBeLessThan(1.3 * 1.15);
    expect(after.lateShare).toBeLessThan(before.lateShare);
    // One move in a second, at 103 servers.
    expect(after.moves).toBeLessThanOrEqual(30);
  });

  test("noise at servers of equal speed: shared estimates move hardly more keys than none", () => {
    const before = playKeyedLoad(false, () => 1);
    const after = playKeyedLoad(true, () => 1);
    console.log("equal speeds, 60 to 90 s, each daemon by itself:", before, "shared:", after);
    expect(after.moves).toBeLessThanOrEqual(30);
    expect(after.lateShare).toBeLessThan(before.lateShare + 0.01);
  });

  test("many daemons that each meet a server rarely: all know the speeds within 10 s", () => {
    const fleet = createFleet();
    fleet.run(10_000);
    const { loads } = fleet.getDaemon(30);
    const answers = fleet.servers.map(({ entry }) => loads.countAnswers(entry.name));
    const times = listTimes(fleet);
    const [slow, usual, fast] = [0, 1, 2].map((position) => mean(ofSpeed(times, position)));
    console.log(`answers of a server at one daemon ${mean(answers).toFixed(2)}; times`, slow, usual, fast);
    expect(mean(answers)).toBeLessThan(2);
    expect(times).not.toContain(undefined);
    // Speeds of 0.6, 1 and 1.4, less the weight of the median and the smallest change that counts.
    expect((slow ?? 0) / (usual ?? 1)).toBeGreaterThan(1.35);
    expect((fast ?? 1) / (usual ?? 1)).toBeLessThan(0.85);
    expect(listTimes(fleet, 7)).toEqual(times);
    expect(fleet.maxMessageBytes).toBeLessThanOrEqual(MAX_MESSAGE_BYTES);
  });

  // Guards against dividing the speed out of the estimates, which made all servers look alike.
  test("their speeds are known within seconds also if the slowness that they state contains them", () => {
    const fleet = createFleet({ servers: 147, statesSpeed: true });
    fleet.run(10_000);
    const times = listTimes(fleet);
    const [slow, usual, fast] = [0, 1, 2].map((position) => mean(ofSpeed(times, position)));
    // Speeds of 0.6 and 1.4 are 1.67 and 0.71 times the usual time; half of the difference has to show.
    expect((slow ?? 0) / (usual ?? 1)).toBeGreaterThan(1.33);
    expect((fast ?? 1) / (usual ?? 1)).toBeLessThan(0.86);
  });

  test("noise of machines that are slow at times: a settled estimate seldom changes", () => {
    const fleet = createFleet({ getSpeed: () => 1 });
    fleet.run(30_000);
    let changes = 0;
    for (let second = 0; second < 20; second += 1) {
      const known = listTimes(fleet);
      fleet.run(1000);
      changes += listTimes(fleet).filter((time, index) => time !== known[index]).length;
    }
    console.log(`changes of 147 estimates in 20 s: ${changes}`);
    // One estimate in twenty in a second; each of these is over 15%, and moves no key by itself.
    expect(changes).toBeLessThan(147);
  });

  test("servers whose speed falls to half: the estimates follow within 15 s, and those of the others stay", () => {
    const fleet = createFleet({ getSpeed: () => 1 });
    fleet.run(30_000);
    const [slowing, others] = [listTimes(fleet).slice(0, 10), listTimes(fleet).slice(10)];
    for (let index = 0; index < 10; index += 1) {
      fleet.getServer(index).speed = 0.5;
    }
    fleet.run(15_000);
    const times = listTimes(fleet);
    console.log("times before and 15 s after the change:", mean(slowing), mean(times.slice(0, 10)));
    expect(mean(times.slice(0, 10)) / mean(slowing)).toBeGreaterThan(1.5);
    expect(mean(times.slice(10)) / mean(others)).toBeLessThan(1.05);
  });

  test("servers that slow down above two of four requests: half are found, and hardly a healthy one", () => {
    const fleet = createFleet({
      servers: 60,
      requestsPerSecond: 60 * 10,
      getSpeed: () => 1,
      getKnee: (index) => (index % 2 === 0 ? 4 : 2),
    });
    fleet.run(180_000);
    const slots = listSlots(fleet);
    const [healthy, slowing] = [0, 1].map((rest) => slots.filter((_, index) => index % 2 === rest));
    const found = (slowing ?? []).filter((each) => (each ?? 4) < 4).length;
    const wrong = (healthy ?? []).filter((each) => (each ?? 4) < 4).length;
    console.log(`servers that slow down found: ${found} of 30; healthy ones taken for such: ${wrong} of 30`);
    expect(found).toBeGreaterThanOrEqual(15);
    expect(wrong).toBeLessThanOrEqual(1);
  });

  test("few answers: the stated slots count", () => {
    const fleet = createFleet({ getKnee: () => 2, requestsPerSecond: 147 });
    fleet.run(20_000);
    expect(new Set(listSlots(fleet))).toEqual(new Set([4]));
  });

  test("a server with more slots than are counted keeps its stated slots", () => {
    const sums = createPerformanceSums(() => 0);
    const counted = [16, 32].map((running) => ({ running, answers: 500, work: 500, timeMs: 500 * running }));
    sums.add(counted, 24_000);
    expect([sums.findEffectiveSlots(32), sums.findEffectiveSlots(100)]).toEqual([16, undefined]);
  });

  test("a restart: the estimate of the former process no longer counts at any daemon", () => {
    const fleet = createFleet();
    fleet.run(10_000);
    expect(listTimes(fleet)[0]).toBeDefined();
    fleet.restartServer(0);
    expect(listTimes(fleet)[0]).toBeUndefined();
    fleet.run(5000);
    expect(listTimes(fleet)[0]).toBeDefined();
  });

  test("a restarted daemon knows all estimates within 5 s", () => {
    const fleet = createFleet();
    fleet.run(20_000);
    fleet.daemons[30] = fleet.createDaemon(30);
    expect(new Set(listTimes(fleet))).toEqual(new Set([undefined]));
    fleet.run(5000);
    expect(listTimes(fleet)).not.toContain(undefined);
  });

  test("a new coordinator goes on from what was announced", () => {
    const fleet = createFleet();
    fleet.run(20_000);
    const known = listTimes(fleet);
    fleet.coordinator = 3;
    fleet.run(1000);
    const changed = listTimes(fleet).filter((time, index) => time !== known[index]).length;
    expect(changed).toBeLessThan(147 / 10);
    fleet.run(5000);
    expect(listTimes(fleet)).not.toContain(undefined);
  });

  test("no announcements: each daemon uses its own measurements, as without shared estimates", () => {
    const fleet = createFleet();
    fleet.isConnected = false;
    fleet.run(20_000);
    expect(new Set(listTimes(fleet))).toEqual(new Set([undefined]));
    const { loads } = fleet.getDaemon(30);
    const rarelyMet = fleet.servers.filter(({ entry }) => loads.countAnswers(entry.name) === 0);
    const [first] = rarelyMet.map(({ entry }) => loads.getProcessingMs(entry.name));
    expect(new Set(rarelyMet.map(({ entry }) => loads.getProcessingMs(entry.name)))).toEqual(
      new Set([first]),
    );
  });

  test("announcements that end: the last ones hold for 12 s", () => {
    const fleet = createFleet();
    fleet.run(10_000);
    fleet.isConnected = false;
    fleet.run(7000);
    expect(listTimes(fleet)).not.toContain(undefined);
    fleet.run(6000);
    expect(new Set(listTimes(fleet))).toEqual(new Set([undefined]));
  });

  test("two daemons with all requests to 400 servers: messages keep to their size, and no report is dropped", () => {
    const fleet = createFleet({ daemons: 2, servers: 400, requestsPerSecond: 400 * 12 });
    fleet.run(10_000);
    console.log(`largest message ${fleet.maxMessageBytes} bytes`);
    expect(fleet.maxMessageBytes).toBeLessThanOrEqual(MAX_MESSAGE_BYTES);
    expect(fleet.getDaemon(0).counters.totals()).toEqual({});
    expect(listTimes(fleet, 1)).not.toContain(undefined);
  });

  test("a request of a fraction of a millisecond is no impossible report", () => {
    const fleet = createFleet({ requestsPerSecond: 0 });
    const load = { running: 4, waiting: 8, slots: 4, slowness: 3 };
    fleet.getDaemon(5).performance.recordAnswer(fleet.getName(0), 1, 1, load);
    fleet.run(400);
    expect(fleet.getDaemon(0).counters.totals()).toEqual({});
    expect(listTimes(fleet)[0]).toBeDefined();
  });

  test("few servers: nothing is shared, and nothing is sent", () => {
    const fleet = createFleet({ servers: 16 });
    fleet.run(5000);
    expect(fleet.sentBytes).toBe(0);
  });

  test("a queue that another daemon has found: the expected wait is known before the next answer", () => {
    const route: FleetOptions["route"] = (_daemon, random) => 1 + Math.floor(random() * 146);
    const fleet = createFleet({ getSpeed: () => 1, route });
    fleet.run(10_000);
    const server = fleet.getName(0);
    const estimate = () => fleet.getDaemon(30).loads.estimateWaitMs(server, 4);
    expect(estimate()).toBeLessThan(100);
    fleet.getDaemon(5).loads.recordLoad(server, { running: 4, waiting: 12, slots: 4, slowness: 1 });
    fleet.run(400);
    // After 400 ms a report has half of its weight: (0.5 * 16 + 0.5 * 1.6 + 1 - 4) / 4 of 160 ms.
    expect(estimate()).toBeGreaterThan(200);
    // A newer report of its own counts more.
    fleet.getDaemon(30).loads.recordLoad(server, { running: 1, waiting: 0, slots: 4, slowness: 1 });
    fleet.run(400);
    expect(estimate()).toBeLessThan(100);
    const older = { load: { running: 4, waiting: 12, slowness: 1 }, ageMs: 500 };
    fleet.getDaemon(30).loads.mergeLoad(server, 4, older);
    expect(estimate()).toBeLessThan(100);
  });

  test.each([
    { name: "more answers than the slots allow", sums: [4, 10_000, 1_000_000, 1_600_000] },
    { name: "work without time", sums: [4, 5, 500, 0] },
    { name: "time without work", sums: [4, 5, 0, 800] },
    { name: "more running requests than slots", sums: [9, 1, 100, 160] },
    { name: "a time far beyond the others'", sums: [1, 1, 100, 160 * 60] },
  ])("a daemon that reports nonsense, $name: the report is counted and dropped", ({ sums }) => {
    const fleet = createFleet();
    // The time of an exchange, so that a second announcement follows from the same reports.
    fleet.run(4800);
    const known = listTimes(fleet);
    const { counters, options, numbers } = fleet.getDaemon(0);
    const process = numbers.get(fleet.getServer(0).entry);
    expect(counters.totals()["serverPerformance.reportsDropped"]).toBeUndefined();
    fleet.send(0, "serverPerformance.report", { daemon: "d1", report: [[process, sums[3], [sums]]] });
    fleet.getDaemon(0).channel.announce(options);
    expect(counters.totals()["serverPerformance.reportsDropped"]).toBe(1);
    expect(listTimes(fleet)).toEqual(known);
  });

  test("a daemon that claims ten times the usual times moves the estimates by less than a tenth", () => {
    const fleet = createFleet({ getSpeed: () => 1 });
    fleet.run(20_000);
    const known = mean(listTimes(fleet));
    fleet.getDaemon(9).distortion = 10;
    fleet.run(20_000);
    const times = listTimes(fleet);
    console.log(
      `one daemon of 75 with tenfold times: mean ${known.toFixed(0)} ms, then ${mean(times).toFixed(0)}`,
    );
    expect(mean(times) / known).toBeLessThan(1.1);
  });
});
