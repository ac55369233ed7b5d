/** Follows all objects under one prefix of the object API: a list first, then watches. */
import murmurhash from "murmurhash";
import { HistoryGoneError, describeError } from "../errors";
import { CallPriority, Freshness, type ObjectStore, type StoredObject } from "../objectStore";
import { Event, type Logger } from "../observability";
import { type Clock, sleep } from "../types";

/** Bounds the price of a quiet period: one call in this time for each prefix. */
const WATCH_WAIT_MS = 25_000;
/** First and longest pause after a call without an answer; the longest keeps a regained store known within a second. */
const RETRY_BASE_MS = 100;
const MAX_RETRY_MS = 700;

/** A watch was ended on purpose. */
class WatchCancelledError extends Error {}

/** What a follower reports. */
export interface PrefixListener {
  /** Receives everything that exists. Objects that are missing are gone. */
  readonly onList: (objects: readonly StoredObject[]) => void;
  /** Receives changed objects and the paths of removed ones. */
  readonly onChange: (objects: readonly StoredObject[], removed: readonly string[]) => void;
  /** Called when the store answers again after calls without an answer, before what it says is passed on. */
  readonly onStoreRecovered?: () => void;
}

/** What a follower is made from. */
export interface PrefixWatcherOptions extends PrefixListener {
  readonly objects: ObjectStore;
  readonly prefix: string;
  /** Pause after each change, which gathers changes that come in series into one answer, in milliseconds. */
  readonly pauseMs: number;
  /** Whether others check what this daemon knows, so that cheaper watches that may be stale are enough. */
  readonly isFreshnessChecked: () => boolean;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly random: () => number;
}

/** Follows one prefix. */
export interface PrefixWatcher {
  readonly prefix: string;
  /** Number that is the same, in all likelihood only, at daemons that know the same versions of the objects. */
  computeDigest(): number;
  /** Ends a watch that waits, whose connection may have gone silent, and asks for changes at once. */
  refresh(): void;
  /** Follows until aborted. */
  run(signal: AbortSignal): Promise<void>;
}

/**
 * Creates a follower.
 *
 * @param options - Store, prefix and listener.
 * @returns The follower.
 */
export function createPrefixWatcher(options: PrefixWatcherOptions): PrefixWatcher {
  const { objects, prefix, pauseMs, clock, logger } = options;
  const versions = new Map<string, number>();
  let since: number | undefined;
  let failures = 0;
  let mustPoll = false;
  let pendingWatch: AbortController | undefined;

  return {
    prefix,
    computeDigest: () => {
      let digest = 0;
      for (const [path, version] of versions) {
        digest ^= murmurhash.v3(`${path}@${version}`);
      }
      return digest >>> 0;
    },
    refresh: () => {
      if (pendingWatch !== undefined) {
        mustPoll = true;
        pendingWatch.abort();
      }
    },
    run: async (signal) => {
      while (!signal.aborted) {
        try {
          await listOrWatch(signal);
        } catch (error) {
          await handleFailure(error, signal);
        }
      }
    },
  };

  async function listOrWatch(signal: AbortSignal): Promise<void> {
    if (since === undefined) {
      const listed = await objects.list(prefix, CallPriority.Configuration);
      recordSuccess();
      mustPoll = false;
      versions.clear();
      listed.objects.forEach(recordVersion);
      options.onList(listed.objects);
      since = listed.version;
      return;
    }
    const changes = await watchOrPoll(since, signal);
    recordSuccess();
    mustPoll = false;
    since = Math.max(since, changes.version);
    const removed = changes.removed ?? [];
    if (changes.objects.length + removed.length > 0) {
      changes.objects.forEach(recordVersion);
      removed.forEach((path) => versions.delete(path));
      options.onChange(changes.objects, removed);
      await sleep(clock, pauseMs, signal);
    }
  }

  async function watchOrPoll(from: number, signal: AbortSignal) {
    if (failures > 0 || mustPoll) {
      return objects.watch(prefix, from, 0, signal);
    }
    const current = new AbortController();
    pendingWatch = current;
    try {
      const freshness = options.isFreshnessChecked() ? Freshness.Stale : Freshness.Newest;
      const ended = AbortSignal.any([signal, current.signal]);
      return await objects.watch(prefix, from, WATCH_WAIT_MS, ended, freshness);
    } catch (error) {
      throw current.signal.aborted ? new WatchCancelledError() : error;
    } finally {
      pendingWatch = undefined;
    }
  }

  function recordVersion(object: StoredObject): void {
    versions.set(object.path, object.version);
  }

  function recordSuccess(): void {
    if (failures > 0) {
      logger.log(Event.PlatformAvailable, { prefix, failures });
      options.onStoreRecovered?.();
    }
    failures = 0;
  }

  async function handleFailure(error: unknown, signal: AbortSignal): Promise<void> {
    if (signal.aborted || error instanceof WatchCancelledError) {
      return;
    }
    if (error instanceof HistoryGoneError) {
      logger.log(Event.HistoryLost, { prefix, since });
      since = undefined;
      return;
    }
    failures += 1;
    if (failures === 1) {
      logger.log(Event.PlatformUnavailable, { prefix, error: describeError(error) });
    }
    const retryMs = Math.min(MAX_RETRY_MS, RETRY_BASE_MS * 2 ** Math.min(failures, 8));
    await sleep(clock, retryMs * (0.5 + options.random()), signal);
  }
}
