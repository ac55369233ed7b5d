/** The key coordinator with fake backend servers that enforce grants, and a record of every key that two of them held. */
import { type DiscoveredServer, createServerDirectory } from "../../src/discovery";
import {
  KEY_COUNT,
  type KeyControl,
  type KeyGrant,
  type KeyRange,
  type OwnedRange,
  type ReleaseResult,
  coordinateKeys,
  createKeyLoad,
  createOwnerTable,
  getAssignmentPath,
} from "../../src/keyRanges";
import { silentLogger } from "../../src/observability";
import { createFakeClock } from "./fakeClock";
import { createFakeObjectStore, createPlatformAccess } from "./fakePlatform";
import { createTestServer } from "./gateway";
import { createRestorableTable } from "./restorableTable";

/** The keyed service. */
export const SERVICE = "desk";
const MAX_GRANT_MS = 10_000;
/** Delay after which a grant that got no answer takes effect at the servers in `late`. */
const LATE_GRANT_DELAY_MS = 2500;
export const LAST_KEY = KEY_COUNT - 1;

/** A server process's hold on a range of keys, until its grant expires. */
interface FakeHold extends KeyRange {
  readonly server: string;
  readonly bornAt: number;
  until: number;
}

/**
 * Creates the coordinator's dependencies with fake backend servers that enforce grants, and records every key
 * that two of them held at once.
 */
export function createHarness(names: readonly string[]) {
  const clock = { ...createFakeClock(), waitUntilRunning: () => Promise.resolve(), pause: () => undefined };
  const holds: FakeHold[] = [];
  const conflicts: string[] = [];
  const grants: (KeyGrant & { readonly server: string })[] = [];
  /** Servers that do not answer calls. */
  const silent = new Set<string>();
  /** Servers whose grants get no answer and take effect after {@link LATE_GRANT_DELAY_MS}. */
  const late = new Set<string>();
  /** Servers that refuse connections. */
  const refusing = new Set<string>();
  /** Servers to which a connection takes a time, in milliseconds. */
  const slowConnections = new Map<string, number>();
  /** Servers that get grants, and answer them, after a time in milliseconds. */
  const slowGrants = new Map<string, number>();
  /** Servers that answer releases after a time, in milliseconds. */
  const slowReleases = new Map<string, number>();
  /** Servers that take no new work on released keys, and answer when the running work ends after a time in milliseconds. */
  const runningWork = new Map<string, number>();
  /** Servers whose address now belongs to another server. */
  const replaced = new Set<string>();
  /** Start times of restarted processes whose directory entries still have the old one. */
  const actualBornAt = new Map<string, number>();
  /** Servers to which a slow connection was started. */
  const connecting = new Set<string>();
  const released: (KeyRange & { readonly server: string; readonly token: number })[] = [];
  const directory = createServerDirectory({
    clock,
    logger: silentLogger,
    decode: (_name, value) => value as DiscoveredServer,
    getColdMs: () => 0,
  });
  const owners = createOwnerTable(clock, silentLogger);
  const load = createKeyLoad(clock);
  const storeFaults = createPlatformAccess();
  const table = createRestorableTable();
  const objects = createFakeObjectStore(table, storeFaults, clock as never);
  const control: KeyControl = {
    grant: async (server, grant, isPermitted) => {
      const connectMs = slowConnections.get(server.name);
      if (connectMs !== undefined) {
        connecting.add(server.name);
        await waitFor(connectMs, () => undefined);
      }
      if (!isPermitted()) {
        return { kind: "notSent", detail: "not permitted" };
      }
      grants.push({ ...grant, server: server.name });
      if (silent.has(server.name)) {
        return Promise.resolve({ kind: "unanswered", detail: "silent" });
      }
      if (refusing.has(server.name)) {
        return Promise.resolve({ kind: "notSent", detail: "refused" });
      }
      if (replaced.has(server.name)) {
        return Promise.resolve({ kind: "misdirected" });
      }
      if (late.has(server.name)) {
        clock.schedule(LATE_GRANT_DELAY_MS, () => {
          applyGrant(server, grant);
        });
        return Promise.resolve({ kind: "unanswered", detail: "late" });
      }
      return waitFor(slowGrants.get(server.name), () => ({ kind: applyGrant(server, grant) }));
    },
    release: (server, range, token): Promise<ReleaseResult> => {
      if (silent.has(server.name) || refusing.has(server.name)) {
        return Promise.resolve({ kind: "unanswered", detail: "silent" });
      }
      if (replaced.has(server.name)) {
        return Promise.resolve({ kind: "misdirected" });
      }
      const workMs = runningWork.get(server.name);
      if (workMs !== undefined) {
        released.push({ ...range, server: server.name, token });
      }
      return waitFor(workMs ?? slowReleases.get(server.name), () => applyRelease(server, range, token));
    },
  };
  function waitFor<Value>(delayMs: number | undefined, act: () => Value): Promise<Value> {
    if (delayMs === undefined) {
      return Promise.resolve(act());
    }
    return new Promise((resolve) => {
      clock.schedule(delayMs, () => {
        resolve(act());
      });
    });
  }
  function applyRelease(server: DiscoveredServer, range: KeyRange, token: number): ReleaseResult {
    const now = clock.now();
    const kept = holds.flatMap((hold) =>
      hold.server === server.name && hold.until > now
        ? [
            { ...hold, to: Math.min(hold.to, range.from - 1) },
            { ...hold, from: Math.max(hold.from, range.to + 1) },
          ].filter((part) => part.from <= part.to)
        : [hold],
    );
    holds.splice(0, holds.length, ...kept);
    released.push({ ...range, server: server.name, token });
    return { kind: "released", handover: `from ${server.name}` };
  }

  /** Applies a grant, unless the server has released any of the granted keys under a higher fencing token. */
  function applyGrant(server: DiscoveredServer, grant: KeyGrant): "granted" | "fenced" {
    const isFenced = released.some(
      (each) =>
        each.server === server.name &&
        each.token > grant.token &&
        each.from <= grant.to &&
        each.to >= grant.from,
    );
    if (isFenced) {
      return "fenced";
    }
    const now = clock.now();
    const bornAt = actualBornAt.get(server.name) ?? server.bornAt;
    const isOvertaken = grants.some(
      (each) =>
        each.server !== server.name &&
        each.token >= grant.token &&
        each.from <= grant.to &&
        each.to >= grant.from,
    );
    if (isOvertaken) {
      conflicts.push(
        `${server.name}: ${grant.from}-${grant.to} under token ${grant.token}, which is not the highest`,
      );
    }
    for (const hold of holds) {
      const isOtherProcess = hold.server !== server.name || hold.bornAt !== bornAt;
      if (isOtherProcess && hold.until > now && hold.from <= grant.to && hold.to >= grant.from) {
        conflicts.push(
          `${hold.server} and ${server.name}: ${hold.from}-${hold.to}, ${grant.from}-${grant.to}`,
        );
      }
    }
    const { from, to, durationMs } = grant;
    holds.push({ from, to, server: server.name, bornAt, until: now + durationMs * harness.serverClockRate });
    return "granted";
  }

  const stop = new AbortController();
  const harness = {
    clock,
    directory,
    owners,
    load,
    control,
    objects,
    storeFaults,
    table,
    conflicts,
    grants,
    silent,
    late,
    refusing,
    replaced,
    slowConnections,
    connecting,
    slowGrants,
    slowReleases,
    runningWork,
    stop,
    isCoordinator: true,
    storeSilenceMs: 0,
    /** Time that passes while a server's clock counts one unit of it. */
    serverClockRate: 1,
    getCapacity: (server: DiscoveredServer): number => server.slots,
    areCapacitiesMeasured: false,
    /** Ends a server's process, and with it all its holds. */
    endProcess: (name: string) => {
      const rest = holds.filter((hold) => hold.server !== name);
      holds.splice(0, holds.length, ...rest);
    },
    /** Restarts a server under the same name without a change to its directory entry. */
    restart: (name: string, bornAt: number) => {
      harness.endProcess(name);
      actualBornAt.set(name, bornAt);
      released.splice(0, released.length, ...released.filter((each) => each.server !== name));
    },
    start: (ownersOfDaemon = owners, signal = stop.signal, isFirstStart = true) =>
      coordinateKeys(
        {
          service: SERVICE,
          objects,
          directory,
          owners: ownersOfDaemon,
          control,
          load,
          publish: (_before, _base, { ranges }) => {
            ranges.slice(1).forEach((range, index) => {
              if (range.from <= (ranges[index]?.to ?? -1)) {
                conflicts.push(`stored twice: ${range.from}-${ranges[index]?.to ?? 0}`);
              }
            });
          },
          clock,
          logger: silentLogger,
          isCoordinator: () => harness.isCoordinator,
          getStoreSilenceMs: () => harness.storeSilenceMs,
          isFirstStart,
          getTimeline: () => table.countRestores(),
          maxGrantMs: MAX_GRANT_MS,
          getCapacities: (servers) => servers.map((server) => harness.getCapacity(server)),
          areCapacitiesMeasured: () => harness.areCapacitiesMeasured,
        },
        signal,
      ),
    /** Advances the clock until a condition holds. */
    advanceUntil: async (condition: () => boolean) => {
      while (!condition()) {
        await clock.advance(10);
      }
    },
    /** Advances the clock until a further grant is sent to a server. */
    advanceUntilGrant: (name: string) => {
      const sent = grants.length;
      return harness.advanceUntil(() => grants.slice(sent).some(({ server }) => server === name));
    },
    /** Records requests for every 16th key of a range, in steps of 100 ms. */
    addBusyKeys: async (from: number, to: number, ms: number) => {
      for (let step = 0; step < ms / 100; step += 1) {
        for (let key = from; key < to; key += 16) {
          load.record(key);
        }
        await clock.advance(100);
      }
    },
    /** Starts another coordinator in a daemon that knows no assignment. */
    startSuccessor: (signal = stop.signal) =>
      void harness.start(createOwnerTable(clock, silentLogger), signal),
    /** Holds back the next read of the object store until `release` is called. */
    holdNextRead: () => {
      const read = objects.read.bind(objects);
      let release: () => void = () => undefined;
      const gate = new Promise<void>((resolve) => {
        release = resolve;
      });
      let isReached = false;
      objects.read = async (...parameters) => {
        objects.read = read;
        isReached = true;
        await gate;
        return read(...parameters);
      };
      return {
        isReached: () => isReached,
        release: () => {
          release();
        },
      };
    },
    /** Stores an assignment as an earlier coordinator left it. */
    store: (ranges: readonly OwnedRange[]) => {
      const nextToken = Math.max(...ranges.map(({ token }) => token)) + 1;
      const value = { service: SERVICE, timeline: 0, isProvisional: false, nextToken, ranges };
      table.write(getAssignmentPath(SERVICE), { writeId: "earlier", value }, 0);
    },
    put: (server: DiscoveredServer) => {
      directory.applyChanges([{ path: `servers/${server.name}`, version: 1, value: server }], []);
    },
    findOwners: (keys: readonly number[]) => keys.map((key) => owners.findOwner(SERVICE, key)),
  };
  directory.replaceAll([]);
  names.forEach((name) => {
    harness.put(createServer(name));
  });
  return harness;
}

/** Creates the entry of a backend server of the service. */
export const createServer = (name: string, change: Partial<DiscoveredServer> = {}) =>
  createTestServer(name, 1, { service: SERVICE, ...change });

/** Creates a range that a server owns. */
export function createRange(from: number, to: number, server: string, token = 1): OwnedRange {
  return { from, to, server, bornAt: 1, token };
}

/**
 * Creates a harness whose coordinator has placed all keys.
 *
 * @param names - Names of the servers.
 * @returns The harness, and the controller that ends the coordinator's term.
 */
export async function startHarness(names: readonly string[]) {
  const harness = createHarness(names);
  const term = new AbortController();
  void harness.start(harness.owners, term.signal);
  await harness.clock.advance(3000);
  return { harness, term };
}
