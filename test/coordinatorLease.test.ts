/** Coordinator lease: at most one daemon holds it at a time, whatever the object store and the clocks do. */
import { describe, expect, test } from "vitest";
import { getClaimDelayMs, createCoordinatorLease } from "../src/keyRanges";
import type { ObjectStore, StoredObject } from "../src/objectStore";
import { PlatformUnavailableError } from "../src/errors";
import { silentLogger } from "../src/observability";
import { sleep } from "../src/types";
import { createRandom } from "../standins/scenarios/callers";
import { type FakeClock, createFakeClock } from "./support/fakeClock";

const SEED = 20_261_204;
const VERSIONS_PER_TIMELINE = 2 ** 40;

/** Creates an object store with one object, to which the connection of each daemon can fail separately. */
function createLeaseStore() {
  let object: StoredObject | undefined;
  let copied: StoredObject | undefined;
  let version = 0;
  let restores = 0;
  const disconnected = new Set<string>();
  const lostAnswers = new Map<string, number>();
  const reads = new Map<string, number>();
  return {
    disconnected,
    reads,
    lostAnswers,
    /** Keeps a copy of the lease as it is, or of no lease if `isAbsent`. */
    copy: (isAbsent = false) => {
      copied = isAbsent ? undefined : object;
    },
    /** Goes back to the copy. All versions after a restore are higher than those before it. */
    restore: () => {
      restores += 1;
      version = restores * VERSIONS_PER_TIMELINE + ((copied?.version ?? 0) % VERSIONS_PER_TIMELINE);
      object = copied === undefined ? undefined : { ...copied, version };
    },
    findHolder: () => (object?.value as { daemon: string } | undefined)?.daemon,
    createClient: (daemon: string): ObjectStore => {
      const throwIfDisconnected = () => {
        if (disconnected.has(daemon)) {
          throw new PlatformUnavailableError("disconnected", { props: { step: "call" } });
        }
      };
      return {
        read: () => Promise.reject(new Error("not expected")),
        write: (path, value, base) =>
          Promise.resolve().then(() => {
            throwIfDisconnected();
            if ((object?.version ?? 0) !== base) {
              return { kind: "conflict", current: object };
            }
            version += 1;
            object = { path, version, value: structuredClone(value) };
            const lostCount = lostAnswers.get(daemon) ?? 0;
            if (lostCount > 0) {
              lostAnswers.set(daemon, lostCount - 1);
              throw new PlatformUnavailableError("answer lost", { props: { step: "call" } });
            }
            return { kind: "written", version };
          }),
        list: () =>
          Promise.resolve().then(() => {
            throwIfDisconnected();
            reads.set(daemon, (reads.get(daemon) ?? 0) + 1);
            return { objects: object === undefined ? [] : [object], version };
          }),
        watch: () => Promise.resolve({ objects: [], version }),
      };
    },
  };
}

function createHarness(names: readonly string[]) {
  const clock = createFakeClock();
  const store = createLeaseStore();
  const random = createRandom(SEED);
  const stop = new AbortController();
  const timeOfDayShiftMs = new Map<string, number>();
  const claimDelayMs = new Map<string, number>();
  const processes = new Map<string, AbortController>();
  const startDaemon = (
    daemon: string,
    incarnation: number,
    signal = stop.signal,
    isFirstStart = incarnation === 1,
  ) => {
    const lease = createCoordinatorLease({
      objects: store.createClient(daemon),
      self: { daemon, incarnation },
      address: { host: "127.0.0.1", port: 1 },
      isFirstStart,
      clock,
      timeOfDay: () => 1_000_000 + clock.now() + (timeOfDayShiftMs.get(daemon) ?? 0),
      random,
      logger: silentLogger,
      findCountedSize: () => undefined,
      getClaimDelayMs: () => claimDelayMs.get(daemon) ?? 0,
      onElected: () => undefined,
      onLost: () => undefined,
    });
    const process = new AbortController();
    processes.set(daemon, process);
    void lease.run(AbortSignal.any([signal, process.signal]));
    return lease;
  };
  const endProcess = (daemon: string) => processes.get(daemon)?.abort();
  const leases = new Map(names.map((name) => [name, startDaemon(name, 1)]));
  const getHolders = () => [...leases].filter(([, lease]) => lease.isHeld()).map(([name]) => name);
  return { clock, store, leases, getHolders, startDaemon, endProcess, stop, timeOfDayShiftMs, claimDelayMs };
}

/**
 * Advances the clock and checks at each step that there is at most one holder. Returns the time until the
 * holder is as expected, in milliseconds; infinity if that takes longer than `maxMs`.
 */
async function runUntil(
  clock: FakeClock,
  getHolders: () => readonly string[],
  maxMs: number,
  isExpected: (holder: string | undefined) => boolean,
): Promise<number> {
  for (let passedMs = 0; passedMs <= maxMs; passedMs += 20) {
    expect(getHolders().length).toBeLessThanOrEqual(1);
    if (isExpected(getHolders()[0])) {
      return passedMs;
    }
    await clock.advance(20);
  }
  return Number.POSITIVE_INFINITY;
}

describe("coordinator lease", () => {
  test("one of several daemons is elected at once", async () => {
    const { clock, getHolders, stop } = createHarness(["a", "b", "c"]);
    expect(await runUntil(clock, getHolders, 1000, (holder) => holder !== undefined)).toBeLessThan(1000);
    await runUntil(clock, getHolders, 10_000, () => false);
    expect(getHolders()).toHaveLength(1);
    stop.abort();
  });

  const CALL_TIMEOUT_MS = 900;
  // Guards against an election, in which no key moves, because one renewal is lost on a silent connection.
  test.each([0, 0.5, 0.99])("the coordinator keeps its lease, at random numbers of %s", async (random) => {
    for (let silentAfterMs = 4000; silentAfterMs < 4700; silentAfterMs += 50) {
      const clock = createFakeClock();
      const stop = new AbortController();
      let isSilent = false;
      let version = 0;
      const lease = createCoordinatorLease({
        objects: {
          ...createLeaseStore().createClient("d1"),
          write: async () => {
            const isLost = isSilent;
            // What is not answered closes all connections; the next call uses a new one.
            isSilent = false;
            await sleep(clock, isLost ? CALL_TIMEOUT_MS : 5);
            if (isLost) {
              throw new PlatformUnavailableError("no answer", { props: { step: "call" } });
            }
            version += 1;
            return { kind: "written", version };
          },
        },
        self: { daemon: "d1", incarnation: 1 },
        address: { host: "127.0.0.1", port: 1 },
        isFirstStart: true,
        clock,
        timeOfDay: () => clock.now(),
        random: () => random,
        logger: silentLogger,
        findCountedSize: () => undefined,
        getClaimDelayMs: () => 0,
        onElected: () => undefined,
        onLost: () => undefined,
      });
      void lease.run(stop.signal);
      await clock.advance(silentAfterMs);
      isSilent = true;
      for (let passedMs = 0; passedMs < 3000; passedMs += 20) {
        await clock.advance(20);
        expect(lease.isHeld(), `silent at ${silentAfterMs}, ${passedMs} ms ago`).toBe(true);
      }
      stop.abort();
    }
  });

  test("a holder that cannot reach the store stops holding the lease before another daemon holds it", async () => {
    const { clock, store, getHolders, stop } = createHarness(["a", "b", "c"]);
    await clock.advance(2000);
    const [first = ""] = getHolders();
    store.disconnected.add(first);
    const passedMs = await runUntil(
      clock,
      getHolders,
      10_000,
      (holder) => holder !== undefined && holder !== first,
    );
    expect(passedMs).toBeGreaterThan(1300);
    expect(passedMs).toBeLessThan(3000);
    stop.abort();
  });

  test("nobody holds the lease once a store outage has outlasted it, and one daemon does soon after the outage", async () => {
    const { clock, store, getHolders, stop } = createHarness(["a", "b"]);
    await clock.advance(2000);
    ["a", "b"].forEach((name) => store.disconnected.add(name));
    await clock.advance(9000);
    expect(getHolders()).toEqual([]);
    store.disconnected.clear();
    expect(await runUntil(clock, getHolders, 1500, (holder) => holder !== undefined)).toBeLessThan(1500);
    await runUntil(clock, getHolders, 5000, () => false);
    stop.abort();
  });

  test("a holder recognises its own renewal after the answer to it was lost", async () => {
    const { clock, store, getHolders, stop } = createHarness(["a", "b"]);
    await clock.advance(2000);
    const [first = ""] = getHolders();
    store.lostAnswers.set(first, 1);
    await runUntil(clock, getHolders, 6000, () => false);
    expect(getHolders()).toEqual([first]);
    stop.abort();
  });

  test("a holder whose machine may have been suspended does not hold the lease until it has renewed it", async () => {
    const { clock, timeOfDayShiftMs, leases, getHolders, stop } = createHarness(["a"]);
    await clock.advance(2100);
    expect(leases.get("a")?.isHeld()).toBe(true);
    timeOfDayShiftMs.set("a", 5000);
    expect(leases.get("a")?.isHeld()).toBe(false);
    expect(await runUntil(clock, getHolders, 1500, (holder) => holder === "a")).toBeLessThan(1500);
    stop.abort();
  });

  test("a daemon claims the lease of its own earlier process at once", async () => {
    const { clock, store, startDaemon, stop } = createHarness([]);
    const first = new AbortController();
    startDaemon("a", 1, first.signal);
    await clock.advance(1000);
    first.abort();
    const second = startDaemon("a", 2);
    await clock.advance(400);
    expect(second.isHeld()).toBe(true);
    expect(store.findHolder()).toBe("a");
    stop.abort();
  });

  test("another daemon does not read a lease that its holder confirms, and claims it when the confirmations stop", async () => {
    const { clock, store, leases, getHolders, stop } = createHarness(["a", "b"]);
    await clock.advance(1000);
    const [holder = ""] = getHolders();
    const [otherDaemon = ""] = [...leases.keys()].filter((name) => name !== holder);
    const confirmFor = async (durationMs: number) => {
      for (let passedMs = 0; passedMs < durationMs; passedMs += 400) {
        leases.get(otherDaemon)?.confirm(leases.get(holder)?.getVersion() ?? 0);
        await clock.advance(400);
      }
    };
    await confirmFor(1200);
    const readsBefore = store.reads.get(otherDaemon);
    await confirmFor(8000);
    expect(store.reads.get(otherDaemon)).toBe(readsBefore);
    expect(getHolders()).toEqual([holder]);
    store.disconnected.add(holder);
    const passedMs = await runUntil(clock, getHolders, 5000, (name) => name === otherDaemon);
    expect(passedMs).toBeLessThan(3000);
    stop.abort();
  });

  test("a small VM leaves a free lease to a larger one, and claims it when no other does", async () => {
    const { clock, store, leases, getHolders, stop, claimDelayMs } = createHarness(["a", "b", "c"]);
    await clock.advance(2000);
    const [first = ""] = getHolders();
    const [small = "", large = ""] = [...leases.keys()].filter((name) => name !== first);
    // 0.27 cores for the small VM, 1.35 for the large one.
    claimDelayMs.set(small, getClaimDelayMs(0.27, 1.35));
    claimDelayMs.set(large, getClaimDelayMs(1.35, 1.35));
    await Promise.all([leases.get(first)?.resign(), clock.advance(1)]);
    expect(await runUntil(clock, getHolders, 3000, (holder) => holder === large)).toBeLessThan(1000);
    store.disconnected.add(large);
    expect(await runUntil(clock, getHolders, 8000, (holder) => holder === small)).toBeLessThan(4500);
    stop.abort();
  });

  test("a lease that was resigned is claimed by another daemon within a second", async () => {
    const { clock, leases, getHolders, stop } = createHarness(["a", "b", "c"]);
    await clock.advance(2000);
    const [first = ""] = getHolders();
    await Promise.all([leases.get(first)?.resign(), clock.advance(1)]);
    const passedMs = await runUntil(clock, getHolders, 3000, (holder) => holder !== undefined);
    expect(passedMs).toBeLessThan(1000);
    expect(getHolders()).not.toContain(first);
    stop.abort();
  });
});

describe("coordinator lease after the object store was restored from a copy", () => {
  interface RestoreCase {
    readonly name: string;
    readonly isAbsent: boolean;
    readonly resigns: boolean;
    readonly restarts: boolean;
  }

  const cases: readonly RestoreCase[] = [
    { name: "names a holder", isAbsent: false, resigns: false, restarts: false },
    { name: "was resigned", isAbsent: false, resigns: true, restarts: false },
    { name: "names an earlier process of a daemon", isAbsent: false, resigns: false, restarts: true },
    { name: "is absent", isAbsent: true, resigns: false, restarts: false },
    {
      name: "is absent, and a daemon that knew it was restarted",
      isAbsent: true,
      resigns: false,
      restarts: true,
    },
  ];

  // Guards against a claim that believes a copy of the lease: whoever holds it may have claimed it since the copy.
  test.each(cases)(
    "two daemons never hold it at once when the copy of it $name",
    async ({ isAbsent, resigns, restarts }) => {
      const { clock, store, leases, getHolders, startDaemon, endProcess, stop } = createHarness(["a", "b"]);
      await clock.advance(2000);
      const [first = ""] = getHolders();
      const second = first === "a" ? "b" : "a";
      if (resigns) {
        await leases.get(first)?.resign();
      } else if (!isAbsent) {
        store.disconnected.add(first);
      }
      store.copy(isAbsent);
      await runUntil(clock, getHolders, 10_000, (holder) => isAbsent || holder === second);
      const [holder = ""] = getHolders();
      const other = holder === "a" ? "b" : "a";
      await clock.advance(1000);
      store.disconnected.clear();
      // The holder is cut off from the store and does not learn that it was restored.
      store.disconnected.add(holder);
      store.restore();
      if (restarts) {
        endProcess(other);
        leases.set(other, startDaemon(other, 2));
      }
      const changedAfterMs = await runUntil(clock, getHolders, 6000, (current) => current === other);
      expect(changedAfterMs).toBeLessThan(6000);
      store.disconnected.clear();
      await runUntil(clock, getHolders, 4000, () => false);
      stop.abort();
    },
  );

  test("a lease that was claimed and resigned since the restore is free at once", async () => {
    const { clock, store, leases, getHolders, stop } = createHarness(["a", "b"]);
    await clock.advance(2000);
    store.copy(true);
    store.restore();
    await runUntil(clock, getHolders, 1000, (holder) => holder === undefined);
    await runUntil(clock, getHolders, 6000, (holder) => holder !== undefined);
    const [holder = ""] = getHolders();
    await leases.get(holder)?.resign();
    expect(await runUntil(clock, getHolders, 1000, (next) => next !== undefined)).toBeLessThan(1000);
    stop.abort();
  });

  test("two daemons never hold it at once when the store goes back twice to a time without a lease", async () => {
    const { clock, store, getHolders, stop } = createHarness(["a", "b"]);
    await clock.advance(2000);
    const [first = ""] = getHolders();
    const second = first === "a" ? "b" : "a";
    store.copy(true);
    // Neither sees the other's claim before the store goes back again.
    store.disconnected.add(first);
    store.restore();
    await clock.advance(2000);
    store.disconnected.add(second);
    store.disconnected.delete(first);
    await runUntil(clock, getHolders, 4000, (holder) => holder === first);
    expect(getHolders()).toEqual([first]);
    store.disconnected.add(first);
    store.restore();
    store.disconnected.delete(second);
    await runUntil(clock, getHolders, 6000, (holder) => holder === second);
    expect(getHolders()).toEqual([second]);
    stop.abort();
  });

  test("a holder whose lease has lapsed does not renew a copy of it, since another may have claimed it", async () => {
    const { clock, store, getHolders, stop } = createHarness(["a", "b"]);
    await clock.advance(2000);
    const [first = ""] = getHolders();
    store.copy();
    store.disconnected.add(first);
    await runUntil(clock, getHolders, 10_000, (holder) => holder !== undefined && holder !== first);
    const [second = ""] = getHolders();
    store.restore();
    store.disconnected.clear();
    store.disconnected.add(second);
    await runUntil(clock, getHolders, 6000, (holder) => holder === first);
    stop.abort();
  });
});
