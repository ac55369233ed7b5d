/** An object store whose connections can go silent, whose stale answers lag behind, and which can be restored. */
import { setMaxListeners } from "node:events";
import { HistoryGoneError, PlatformUnavailableError } from "../../src/errors";
import {
  Freshness,
  type ObjectChanges,
  type ObjectStore,
  type StoredObject,
  createVersion,
  getTimeline,
} from "../../src/objectStore";
import { type Clock, type Version, sleep } from "../../src/types";

const STORE_LATENCY_MS = 5;
/** How long the platform's client waits for an answer, beyond the waiting time of a watch. */
const CALL_TIMEOUT_MS = 900;
const CLIENT_MARGIN_MS = 1000;

/** A change of one object; the value is undefined when the object was removed. */
export interface Change {
  readonly path: string;
  readonly value: unknown;
}

/** One daemon's access to the store, and the calls that it has made. */
export interface StoreAccess {
  readonly objects: ObjectStore;
  readonly counts: { newest: number; stale: number };
  /** Starts of the calls for the newest state, on the store's clock. */
  readonly newestAt: readonly number[];
}

/**
 * Creates a store; a call on a new connection is answered after a silence.
 *
 * @param clock - Clock of the store.
 * @param staleLagMs - Age of stale answers.
 * @returns The store, with the controls of the test.
 */
export function createConnectedStore(clock: Clock, staleLagMs = 0) {
  const history: (Change & { readonly version: Version; readonly at: number })[] = [];
  let timeline = 0;
  let latencyMs = STORE_LATENCY_MS;
  /** Time that an answer is on its way after the store has created it. */
  let transferMs = 0;
  let silences = 0;
  /** Wakes the watches that wait. */
  let wake = createWake();
  const wakeAll = () => {
    wake.abort();
    wake = createWake();
  };
  const put = (path: string, value: unknown): Version => {
    const version = createVersion(timeline, history.length + 1);
    history.push({ path, value, version, at: clock.now() });
    wakeAll();
    return version;
  };
  /** Returns the latest state of each object that changed after one version and up to another. */
  const findLatest = (prefix: string, since: Version, until: Version) => {
    const latest = new Map<string, StoredObject>();
    for (const entry of history) {
      if (entry.path.startsWith(prefix) && entry.version > since && entry.version <= until) {
        latest.set(entry.path, entry);
      }
    }
    return [...latest.values()];
  };
  const read = (prefix: string, since: Version, freshness = Freshness.Newest as Freshness): ObjectChanges => {
    const seen = history.filter(({ at }) => freshness === Freshness.Newest || at <= clock.now() - staleLagMs);
    const version = seen.at(-1)?.version ?? createVersion(timeline, 0);
    const changed = findLatest(prefix, since, version);
    return {
      objects: changed.filter(({ value }) => value !== undefined),
      removed: changed.filter(({ value }) => value === undefined).map(({ path }) => path),
      version,
      transfer: { bytes: JSON.stringify(changed.map(({ value }) => value ?? null)).length, durationMs: 0 },
    };
  };
  /** Creates one daemon's access, which is answered only while it is connected. */
  function createAccess(isConnected: () => boolean, ownClock: Clock = clock): StoreAccess {
    const counts = { newest: 0, stale: 0 };
    const newestAt: number[] = [];
    const count = (freshness: Freshness = Freshness.Newest) => {
      counts[freshness] += 1;
      if (freshness === Freshness.Newest) {
        newestAt.push(clock.now());
      }
    };
    const fail = () => new PlatformUnavailableError("no answer", { props: { step: "call" } });
    const transfer = async (changes: ObjectChanges) => {
      await sleep(ownClock, transferMs);
      return changes;
    };
    const objects: ObjectStore = {
      read: () => Promise.reject(fail()),
      write: () => Promise.reject(fail()),
      list: async (prefix, _priority, freshness) => {
        count(freshness);
        await sleep(ownClock, isConnected() ? latencyMs : CALL_TIMEOUT_MS);
        if (!isConnected()) {
          throw fail();
        }
        return transfer(read(prefix, 0, freshness));
      },
      watch: async (prefix, since, { waitMs, signal, freshness }) => {
        count(freshness);
        const silencesBefore = silences;
        const endAt = clock.now() + Math.max(waitMs, latencyMs);
        const lostAt = clock.now() + (waitMs === 0 ? CALL_TIMEOUT_MS : waitMs + CLIENT_MARGIN_MS);
        await sleep(ownClock, latencyMs);
        for (;;) {
          const isSilent = silences !== silencesBefore || !isConnected();
          if (!isSilent && getTimeline(since) !== timeline) {
            throw new HistoryGoneError("restored", { props: { step: "watch" } });
          }
          const changes = read(prefix, since, freshness);
          const hasChanges = changes.objects.length + (changes.removed ?? []).length > 0;
          if (!isSilent && (hasChanges || clock.now() >= endAt)) {
            return transfer(changes);
          }
          if (signal.aborted || clock.now() >= lostAt) {
            throw fail();
          }
          await sleep(
            ownClock,
            (isSilent ? lostAt : endAt) - clock.now(),
            AbortSignal.any([signal, wake.signal]),
          );
        }
      },
    };
    return { objects, counts, newestAt };
  }
  return {
    put,
    createAccess,
    /** Returns the version of each object under a prefix as of a version. */
    getVersionsAt: (prefix: string, version: Version): ReadonlyMap<string, Version> =>
      new Map(
        findLatest(prefix, 0, version)
          .filter(({ value }) => value !== undefined)
          .map((object) => [object.path, object.version]),
      ),
    silence: () => {
      silences += 1;
      wakeAll();
    },
    /** Starts a new timeline with the state of all but the latest changes. */
    restore: (lostChanges: number) => {
      timeline += 1;
      const kept = history.splice(0).slice(0, -lostChanges);
      kept.forEach((entry, index) => {
        history.push({ ...entry, version: createVersion(timeline, index + 1) });
      });
      wakeAll();
    },
    setLatency: (ms: number) => {
      latencyMs = ms;
    },
    setTransferTime: (ms: number) => {
      transferMs = ms;
    },
    /** Returns the version of the latest change under a prefix that the store had accepted by a time. */
    findAccepted: (prefix: string, at: number): Version =>
      history.findLast((entry) => entry.path.startsWith(prefix) && entry.at <= at)?.version ?? 0,
  };
}

function createWake(): AbortController {
  const wake = new AbortController();
  // All watches of all daemons wait for the same change.
  setMaxListeners(0, wake.signal);
  return wake;
}
