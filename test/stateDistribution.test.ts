/**
 * Distribution of state through the coordinator: each change is in force at every daemon that reaches the store within
 * 2.5 s of its acceptance, in every single failure, and what daemons know is always what the store had.
 */
import { setMaxListeners } from "node:events";
import { unpack } from "msgpackr";
import murmurhash from "murmurhash";
import { describe, expect, test } from "vitest";
import {
  ChangeVerdict,
  ConfirmationVerdict,
  type PrefixWatcher,
  type StateChange,
  createChangeFeed,
  createFreshnessCheck,
  createPeerStates,
  createPrefixWatcher,
  findWatchedAt,
  judgeChange,
  judgeConfirmation,
} from "../src/discovery";
import { createDatagramChannel } from "../src/membership";
import { type StoredObject, createVersion } from "../src/objectStore";
import { createCounters, silentLogger } from "../src/observability";
import type { Version } from "../src/types";
import { createConnectedStore } from "./support/connectedStore";
import { createFakeClock, createProcessClock } from "./support/fakeClock";
import { createFakeNetwork } from "./support/fakeNetwork";
import { unsharedState } from "./support/gateway";

const BOUND_MS = 2500;
const PREFIXES = ["config/", "servers/", "evacuations/"] as const;
const BATCH_PAUSE_MS = 500;
const SIZE = 25;
const LEASE_MS = 2000;
/** The coordinator has counted the daemons, and their state has been confirmed. */
const SETTLED_MS = 5000;
/** Seconds old, so that a stale answer never has a change in time. */
const STALE_LAG_MS = 3000;

interface DeploymentOptions {
  readonly size?: number;
  readonly drainMs?: number;
  readonly staleLagMs?: number;
  /** Whether all daemons start in the same instant. */
  readonly isSimultaneous?: boolean;
}

function createRandom(seed: number) {
  let count = 0;
  return () => {
    count += 1;
    return murmurhash.v3(`${seed}/${count}`) / 2 ** 32;
  };
}

/** Starts daemons, of which the first one is the coordinator. No other takes its place. */
function startDaemons(options: DeploymentOptions = {}) {
  const { size = SIZE, drainMs = BOUND_MS, staleLagMs = STALE_LAG_MS } = options;
  const clock = createFakeClock();
  const network = createFakeNetwork(clock);
  const store = createConnectedStore(clock, staleLagMs);
  const stop = new AbortController();
  // All daemons of a test share the signal.
  setMaxListeners(0, stop.signal);
  const stopReads = new AbortController();
  setMaxListeners(0, stopReads.signal);
  let coordinator = 0;
  let cutAt = Number.POSITIVE_INFINITY;
  let isRefused = () => false;
  /** Daemons other than the coordinator that the store refuses. */
  const refusedDaemons = new Set<number>();
  /** Confirmations of a state that lacked a change which the store had accepted by then. */
  const wrongConfirmations: string[] = [];
  store.put("config/main", 1);
  store.put("servers/s0", 1);
  const createDaemon = (index: number) => {
    const address = { host: "d", port: index + 1 };
    const processClock = createProcessClock(clock);
    const random = createRandom(index);
    const isCoordinator = () => index === coordinator && clock.now() < cutAt + LEASE_MS;
    const access = store.createAccess(
      () => (index !== 0 || !isRefused()) && !refusedDaemons.has(index),
      processClock,
    );
    const transport = network.createTransport(address, processClock);
    const counters = createCounters("test");
    const channel = createDatagramChannel(transport, counters);
    const peers = createPeerStates(processClock);
    const known = new Map<string, Version>();
    const distribution = createChangeFeed({
      channel,
      peers: () => peers.getAddresses(),
      isCoordinator,
      isInContact: () => freshness.isFreshnessChecked(),
      findCountedSize: () => freshness.findCountedSize(),
      drainMs,
      clock: processClock,
      logger: silentLogger,
      counters,
      random,
    });
    const record = (objects: readonly StoredObject[]) => {
      objects.forEach(({ path, version }) => known.set(path, version));
    };
    const watchers = PREFIXES.map((prefix) =>
      createPrefixWatcher({
        objects: access.objects,
        prefix,
        pauseMs: BATCH_PAUSE_MS,
        isFreshnessChecked: () => freshness.isFreshnessChecked(),
        isReference: isCoordinator,
        follower: distribution.createFollower(prefix),
        clock: processClock,
        logger: silentLogger,
        random,
        onList: (objects) => {
          [...known.keys()].filter((path) => path.startsWith(prefix)).forEach((path) => known.delete(path));
          record(objects);
        },
        onChange: (objects, removed) => {
          record(objects);
          removed.forEach((path) => known.delete(path));
        },
      }),
    );
    const freshness = createFreshnessCheck({
      daemon: `d${address.port}`,
      address,
      processors: 1,
      channel,
      watchers,
      peers,
      clock: processClock,
      logger: silentLogger,
      isCoordinator,
      findCoordinator: () => ({ host: "d", port: coordinator + 1 }),
      findStoredSize: () => undefined,
      getLeaseVersion: () => 1,
      confirmLease: () => undefined,
      rateLimits: { share: () => [], merge: () => undefined },
      ...unsharedState,
      departures: { share: () => [], merge: () => undefined },
      ownerShares: { share: () => [], replace: () => undefined },
      distribution: {
        getAges: () => distribution.getAges(),
        confirm: (prefix, confirmation) => {
          distribution.confirm(prefix, confirmation);
          const version = watchers.find((watcher) => watcher.prefix === prefix)?.getVersion() ?? 0;
          if (version < store.findAccepted(prefix, confirmation.at)) {
            wrongConfirmations.push(`${prefix} at ${confirmation.at} with ${version}`);
          }
        },
      },
    });
    const start = () => {
      const signal = index === 0 ? AbortSignal.any([stop.signal, stopReads.signal]) : stop.signal;
      watchers.forEach((watcher) => void watcher.run(signal));
      void freshness.run(stop.signal);
    };
    // Daemons start at different times, so that their calls and checks do not coincide.
    clock.schedule(options.isSimultaneous === true ? 0 : (index * 90) % 1000, start);
    return { known, watchers, counters, access, processClock, distribution };
  };
  const daemons = Array.from({ length: size }, (_value, index) => createDaemon(index));
  return {
    clock,
    store,
    daemons,
    stop,
    createDaemon,
    blockPair: (from: number, to: number) => network.blockedPairs.add(`d:${from + 1}>d:${to + 1}`),
    unblockPair: (from: number, to: number) => network.blockedPairs.delete(`d:${from + 1}>d:${to + 1}`),
    wrongConfirmations,
    setCoordinator: (index: number) => {
      coordinator = index;
    },
    stopReads: () => {
      stopReads.abort();
    },
    refuseCoordinator: () => {
      cutAt = clock.now();
      isRefused = () => true;
    },
    refusedDaemons,
    pauseCoordinator: () => {
      cutAt = clock.now();
      daemons[0]?.processClock.pause();
    },
    countCalls: () => daemons.map(({ access }) => ({ ...access.counts })),
  };
}

type Deployment = ReturnType<typeof startDaemons>;
type Daemon = Deployment["daemons"][number];

/** Returns how the state that a daemon knows differs from that of the store at the version that it claims to know. */
function findErrors({ store }: Deployment, { known, watchers }: Daemon): readonly string[] {
  return watchers.flatMap((watcher: PrefixWatcher) => {
    const expected = [...store.getVersionsAt(watcher.prefix, watcher.getVersion())].sort();
    const actual = [...known].filter(([path]) => path.startsWith(watcher.prefix)).sort();
    const isEqual = JSON.stringify(actual) === JSON.stringify(expected);
    return isEqual ? [] : [`${watcher.prefix}: ${JSON.stringify(actual)}, not ${JSON.stringify(expected)}`];
  });
}

const ONE_TIMELINE = createVersion(1, 0);
const content: StateChange["content"] = { objects: [], removed: ["servers/s1"] };

describe("decisions about changes", () => {
  // Guards against state that goes back, or that lacks a change, after datagrams were lost, repeated or reordered.
  test.each<[string, Version | undefined, StateChange, ChangeVerdict]>([
    ["follows the known version", 10, { base: 10, version: 12, content }, ChangeVerdict.Apply],
    ["applies to an unchanged earlier one", 11, { base: 8, version: 12, content }, ChangeVerdict.Apply],
    ["lacks its predecessor", 10, { base: 11, version: 12, content }, ChangeVerdict.Read],
    ["is only announced", 10, { base: 10, version: 12, content: null }, ChangeVerdict.Read],
    ["is known", 12, { base: 10, version: 12, content }, ChangeVerdict.Ignore],
    ["is older", 13, { base: 10, version: 12, content }, ChangeVerdict.Ignore],
    ["arrives before the first list", undefined, { base: 0, version: 12, content }, ChangeVerdict.Ignore],
    ["starts a timeline", 10, { base: 10, version: ONE_TIMELINE + 1, content }, ChangeVerdict.Read],
    ["is of an earlier timeline", ONE_TIMELINE, { base: 9, version: 12, content }, ChangeVerdict.Ignore],
  ])("a change that %s", (_name, known, change, verdict) => {
    expect(judgeChange(known, change)).toBe(verdict);
  });

  // Guards against a daemon that relies on a state that the coordinator has not had.
  test.each<[string, Version | undefined, number, Version, ConfirmationVerdict]>([
    ["of the known state", 10, 90, 12, ConfirmationVerdict.Accept],
    ["of empty state on a new timeline", 10, 90, ONE_TIMELINE, ConfirmationVerdict.Read],
    ["of empty state on an earlier timeline", ONE_TIMELINE, 90, 12, ConfirmationVerdict.Ignore],
    ["for an earlier process", 10, 101, 12, ConfirmationVerdict.Ignore],
    ["before the first list", undefined, 90, 12, ConfirmationVerdict.Ignore],
  ])("a confirmation %s", (_name, known, at, version, verdict) => {
    expect(judgeConfirmation(known, { at, version }, 100)).toBe(verdict);
  });

  // Guards against state that counts as newer than the answer that reported it.
  test.each([
    ["without changes after its whole wait", false, 1410, 1400],
    ["without changes before its end", false, 1200, 1000],
    ["with changes", true, 1410, 1000],
  ])("a watch that is answered %s", (_name, hasChanges, answeredAt, expected) => {
    expect(findWatchedAt(1000, 400, hasChanges, answeredAt)).toBe(expected);
  });
});

describe("daemons that the store refuses", () => {
  // Guards against calls to the store for state that the coordinator has confirmed, once a read has failed.
  test("stop calling it as soon as the coordinator confirms their state", async () => {
    const deployment = startDaemons();
    const { clock, store, daemons, blockPair, unblockPair, refusedDaemons, stop } = deployment;
    const refused = [17, 18, 19, 20, 21, 22, 23, 24];
    await clock.advance(SETTLED_MS);
    refused.forEach((index) => {
      refusedDaemons.add(index);
      blockPair(0, index);
    });
    await clock.advance(3000);
    refused.forEach((index) => unblockPair(0, index));
    await clock.advance(3000);
    const before = deployment.countCalls();
    for (let change = 0; change < 10; change += 1) {
      store.put("servers/s0", change);
      await clock.advance(500);
    }
    const after = deployment.countCalls();
    for (const index of refused) {
      expect(after[index], `daemon ${index}`).toEqual(before[index]);
      const daemon = daemons[index];
      expect(daemon === undefined ? undefined : findErrors(deployment, daemon)).toEqual([]);
    }
    stop.abort();
  });
});

interface Trouble {
  readonly name: string;
  readonly start: (deployment: Deployment) => void;
  /** Daemons that need not know the change. */
  readonly excused?: readonly number[];
}

const blockCoordinator = ({ daemons, blockPair }: Deployment) => {
  daemons.forEach((_daemon, index) => {
    blockPair(0, index);
    blockPair(index, 0);
  });
};

const troubles: readonly Trouble[] = [
  { name: "the coordinator works", start: () => undefined },
  {
    name: "the coordinator is killed or cut off",
    excused: [0],
    start: blockCoordinator,
  },
  {
    name: "the coordinator is paused",
    excused: [0],
    start: ({ pauseCoordinator }) => {
      pauseCoordinator();
    },
  },
  {
    name: "the store does not answer the coordinator",
    excused: [0],
    start: ({ refuseCoordinator }) => {
      refuseCoordinator();
    },
  },
  {
    name: "all connections to the store go silent",
    start: ({ store }) => {
      store.silence();
    },
  },
  {
    name: "the coordinator's datagrams to one daemon are lost",
    start: ({ blockPair }) => blockPair(0, 7),
  },
  {
    name: "all datagrams of the coordinator are lost for 0.9 s",
    start: ({ daemons, blockPair, unblockPair, clock }) => {
      daemons.forEach((_daemon, index) => {
        blockPair(0, index);
        clock.schedule(900, () => unblockPair(0, index));
      });
    },
  },
  {
    name: "the data centres are partitioned",
    start: ({ daemons, blockPair }) => {
      const far = daemons.map((_daemon, index) => index).filter((index) => index >= SIZE / 2);
      far.forEach((index) => {
        blockPair(0, index);
        blockPair(index, 0);
      });
    },
  },
  {
    // Its digests go on to equal those of the others, and it counts as answered.
    name: "the coordinator hangs in its reads",
    excused: [0],
    start: ({ stopReads }) => {
      stopReads();
    },
  },
  {
    name: "the store is slow",
    start: ({ store }) => {
      store.setLatency(300);
    },
  },
];

/** Moments of the change after the trouble, and the other way around, in all phases of watches and replies. */
const CHANGED_AFTER_MS = [-900, -420, -160, -8, -4, 3, 130, 310, 470, 900, 1300, 1800];

describe("a change with 25 daemons", () => {
  // Guards against daemons without watches that do not notice that the coordinator no longer tells them changes.
  test.each(troubles)("is known everywhere in 2.5 s while $name", async ({ start, excused = [] }) => {
    for (const [index, changedAfterMs] of CHANGED_AFTER_MS.entries()) {
      const deployment = startDaemons();
      const { clock, store, daemons, stop } = deployment;
      await clock.advance(SETTLED_MS + index * 37);
      const change = () => {
        const version = store.put("servers/s0", 2);
        store.put("servers/s1", 1);
        store.put("config/main", 2);
        store.put("evacuations/a", {});
        return version;
      };
      if (changedAfterMs >= 0) {
        start(deployment);
        await clock.advance(changedAfterMs);
      }
      change();
      if (changedAfterMs < 0) {
        await clock.advance(-changedAfterMs);
        start(deployment);
      }
      await clock.advance(BOUND_MS + Math.min(0, changedAfterMs));
      const last = PREFIXES.flatMap((prefix) => [...store.getVersionsAt(prefix, Infinity)]).sort();
      const late = daemons
        .map(({ known }, each) => ({
          each,
          isLate: JSON.stringify([...known].sort()) !== JSON.stringify(last),
        }))
        .filter(({ each, isLate }) => isLate && !excused.includes(each));
      expect(late, `changed after ${changedAfterMs}`).toEqual([]);
      expect(deployment.wrongConfirmations).toEqual([]);
      stop.abort();
    }
  });

  // Guards against state that the store never had, removed entries that come back, and confirmations of old state, with
  // lost datagrams, answers that changes from the coordinator overtake, paused daemons, and a new coordinator.
  test.each([1, 2, 3])("in a quick series of others is applied exactly (seed %d)", async (seed) => {
    const deployment = startDaemons({ staleLagMs: 200 });
    const { clock, store, daemons, stop, blockPair, unblockPair } = deployment;
    const random = createRandom(seed);
    await clock.advance(SETTLED_MS);
    store.setTransferTime(60);
    const newest = daemons.map(() => [0, 0, 0]);
    for (let round = 0; round < 300; round += 1) {
      const name = `servers/s${Math.floor(random() * 6)}`;
      if (random() < 0.5) {
        store.put(name, random() < 0.4 ? undefined : round);
      }
      daemons.forEach(({ processClock }, index) => {
        (random() < 0.2 ? blockPair : unblockPair)(0, index);
        if (random() < 0.02) {
          processClock.pause();
          clock.schedule(random() * 900, () => {
            processClock.resume();
          });
        }
      });
      if (round === 150) {
        deployment.setCoordinator(4);
      }
      await clock.advance(Math.floor(random() * 40));
      daemons.forEach((daemon, index) => {
        expect(findErrors(deployment, daemon), `daemon ${index}`).toEqual([]);
        const versions = daemon.watchers.map((watcher) => watcher.getVersion());
        expect(versions.every((version, each) => version >= (newest[index]?.[each] ?? 0))).toBe(true);
        newest[index] = versions;
      });
    }
    await clock.advance(BOUND_MS);
    expect(deployment.wrongConfirmations).toEqual([]);
    const last = [...store.getVersionsAt("servers/", Infinity)].sort();
    const isKnown = daemons.map(({ known }) => last.every(([path, version]) => known.get(path) === version));
    expect(isKnown).toEqual(daemons.map(() => true));
    stop.abort();
  });

  // Guards against daemons that stay on the state of before a restore, since the coordinator confirms it.
  test("of the timeline reaches all daemons in 2.5 s", async () => {
    const deployment = startDaemons();
    const { clock, store, daemons, stop } = deployment;
    await clock.advance(SETTLED_MS);
    store.put("servers/s1", 1);
    store.put("evacuations/a", {});
    await clock.advance(1000);
    store.restore(2);
    store.put("servers/s2", 1);
    store.put("config/main", 2);
    await clock.advance(BOUND_MS);
    const timeline = createVersion(1, 0);
    expect(daemons.map(({ watchers }) => watchers.every((each) => each.getVersion() > timeline))).toEqual(
      daemons.map(() => true),
    );
    expect(daemons.map(({ known }) => [known.get("servers/s2"), known.get("config/main")])).toEqual(
      daemons.map(() => [timeline + 3, timeline + 4]),
    );
    // Objects that the store lacks stay for the grace period, which ends 2 s after each daemon's own list.
    await clock.advance(2500);
    expect(daemons.flatMap((daemon) => findErrors(deployment, daemon))).toEqual([]);
    stop.abort();
  });

  // Guards against a configuration that no datagram can hold and that daemons learn of by digests only.
  test.each([
    { staleLagMs: 50, newest: 0 },
    { staleLagMs: STALE_LAG_MS, newest: 1 },
  ])("of 300 KB is announced, and read with a stale answer first ($staleLagMs ms old)", async (expected) => {
    const { clock, store, daemons, stop, countCalls } = startDaemons(expected);
    await clock.advance(SETTLED_MS);
    const before = countCalls();
    const version = store.put("config/main", "x".repeat(300_000));
    await clock.advance(800);
    expect(daemons.map(({ known }) => known.get("config/main"))).toEqual(daemons.map(() => version));
    expect(daemons[0]?.counters.totals()["distribution.sent:announced"]).toBe(SIZE - 1);
    const calls = countCalls().map(({ newest, stale }, index) => [
      newest - (before[index]?.newest ?? 0),
      stale - (before[index]?.stale ?? 0),
    ]);
    expect(calls.slice(1)).toEqual(calls.slice(1).map(() => [expected.newest, 1]));
    stop.abort();
  });
});

describe("the message of a change", () => {
  const peers = [1, 2].map((port) => ({ host: "d", port }));

  function publish(value: unknown) {
    const sent: Uint8Array[] = [];
    const channel = createDatagramChannel(
      { send: (_target, message) => sent.push(message), receive: () => undefined, close: () => undefined },
      createCounters("test"),
    );
    const feed = createChangeFeed({
      channel,
      peers: () => peers,
      isCoordinator: () => true,
      isInContact: () => false,
      findCountedSize: () => SIZE,
      drainMs: BOUND_MS,
      clock: createFakeClock(),
      logger: silentLogger,
      counters: createCounters("test"),
      random: () => 0,
    });
    const objects = [{ path: "servers/s1", version: 12, value }];
    feed.createFollower("servers/").publish({ base: 10, version: 12, content: { objects, removed: [] } });
    return sent;
  }

  // Guards against a message that is packed for each daemon.
  test("is packed once for all daemons", () => {
    const [first, second] = publish({ a: 1 });
    expect(second).toBe(first);
  });

  // Guards against entries that no message can hold, and which must not end the coordinator's reads.
  test.each([
    ["too long", "x".repeat(9000)],
    ["nested too deeply", JSON.parse(`${"[".repeat(100_000)}${"]".repeat(100_000)}`) as unknown],
  ])("leaves out a value that is %s", (_name, value) => {
    const [message] = publish(value);
    expect(unpack(message ?? new Uint8Array())).toEqual({
      kind: "stateChange",
      content: { prefix: "servers/", base: 10, version: 12, content: null },
    });
  });
});

describe("calls to the store", () => {
  // Guards against watches that all daemons keep, which cost a call of each daemon for each change.
  test("with 25 daemons are those of the coordinator, however many changes there are", async () => {
    const { clock, store, daemons, stop, countCalls } = startDaemons();
    await clock.advance(SETTLED_MS);
    const before = countCalls();
    for (let round = 0; round < 40; round += 1) {
      store.put(`servers/s${round}`, round);
      await clock.advance(500);
    }
    const calls = countCalls().map(({ newest, stale }, index) => ({
      newest: newest - (before[index]?.newest ?? 0),
      stale: stale - (before[index]?.stale ?? 0),
    }));
    const [coordinator, ...others] = calls;
    expect(others).toEqual(others.map(() => ({ newest: 0, stale: 0 })));
    // Three watches of 0.4 s, and one call and a pause more for each change.
    expect(coordinator?.newest).toBeLessThanOrEqual((3 / 0.4) * 20 + 40);
    expect(daemons.map(({ known }) => known.size)).toEqual(daemons.map(() => 41));
    stop.abort();
  });

  // Guards against a change of behaviour where the distribution is off.
  test.each([
    ["23 daemons", { size: 23 }],
    ["a drain bound of 2 s", { drainMs: 2000 }],
  ])("with %s are those of each daemon", async (_name, options) => {
    const { clock, store, daemons, stop } = startDaemons({ ...options, staleLagMs: 0 });
    await clock.advance(SETTLED_MS);
    const before = daemons.map(({ access }) => access.counts.stale);
    store.put("servers/s1", 1);
    await clock.advance(600);
    const calls = daemons.map(({ access }, index) => access.counts.stale - (before[index] ?? 0));
    expect(calls.slice(1)).toEqual(calls.slice(1).map(() => 1));
    expect(daemons.some(({ counters }) => "distribution.sent:whole" in counters.totals())).toBe(false);
    stop.abort();
  });

  // Guards against a burst of calls at the store when the coordinator is lost.
  test("after the loss of the coordinator are spread", async () => {
    const deployment = startDaemons({ isSimultaneous: true });
    const { clock, daemons, stop } = deployment;
    await clock.advance(SETTLED_MS);
    const lostAt = clock.now();
    blockCoordinator(deployment);
    await clock.advance(BOUND_MS);
    const first = daemons
      .slice(1)
      .map(({ access }) => Math.min(...access.newestAt.filter((at) => at >= lostAt)));
    const inSameWindow = first.map((at) => first.filter((other) => Math.abs(other - at) <= 10).length);
    expect(Math.max(...inSameWindow)).toBeLessThanOrEqual(SIZE / 3);
    expect(Math.max(...first) - lostAt).toBeLessThanOrEqual(2000);
    stop.abort();
  });

  // Guards against a start that costs calls for the newest state where stale answers suffice.
  test("of a daemon that starts are stale lists, and none follow", async () => {
    const { clock, stop, createDaemon, store } = startDaemons();
    await clock.advance(SETTLED_MS);
    const daemon = createDaemon(SIZE);
    await clock.advance(2000);
    expect(daemon.access.counts.newest).toBe(0);
    expect(daemon.access.counts.stale).toBeLessThanOrEqual(2 * PREFIXES.length);
    const before = { ...daemon.access.counts };
    store.put("servers/s1", 1);
    await clock.advance(20_000);
    expect(daemon.known.has("servers/s1")).toBe(true);
    expect(daemon.access.counts).toEqual(before);
    stop.abort();
  });
});
