/**
 * Watches all objects under one prefix of the object store: lists them once, then watches for changes. A watch
 * returns each version in full; a history that is larger than the state is not read, but the state listed again.
 */
import murmurhash from "murmurhash";
import { HistoryGoneError, describeError } from "../errors";
import {
  CallPriority,
  Freshness,
  type ObjectChanges,
  type ObjectStore,
  type StoredObject,
  getTimeline,
} from "../objectStore";
import { Event, type Logger } from "../observability";
import { type CancelTimer, type Clock, type Version, sleep } from "../types";

/**
 * Bounds the calls of checked daemons while nothing changes: one call per prefix in this time. Shorter than the history
 * of the store, which a watch that waits for longer would outlive.
 */
const CHECKED_WATCH_WAIT_MS = 15_000;
/** The same for daemons without contact to the coordinator, which poll the store at intervals besides. */
const UNCHECKED_WATCH_WAIT_MS = 2000;
/**
 * The same for the coordinator, whose state the others are compared with, unless a watcher has its own limit. When
 * all watches have died at once, all daemons agree, and only a watch that is not answered in time shows it. With
 * the margin and the time in which the others notice a difference this must stay below the shortest bound.
 */
const REFERENCE_WATCH_WAIT_MS = 750;
/**
 * Exceeds the time that an answer takes unless the store is slow. A watch that is not answered by then is replaced by
 * a poll on another connection: one more call if the store was only slow.
 */
const WATCH_MARGIN_MS = 350;
/** Base of the exponential backoff after failed calls. */
const RETRY_BASE_MS = 100;
/** Maximum of the backoff before jitter, so that a recovered store is noticed within about a second. */
const MAX_RETRY_MS = 700;
/** A smaller answer takes less time on a link of 10 Mbit/s than the pause after it. */
const LARGE_HISTORY_BYTES = 65_536;
/** After a restore, operators and backend servers write what they had written since the copy within this time. */
const RESTORE_GRACE_MS = 2000;
/** Maximum size of a history relative to that of the state: one copy of the state, and its framing. */
const MAX_HISTORY_RATIO = 1.25;

/** A refresh or the end of a grace period cancelled the pending watch; this is not a failure of the store. */
class WatchCancelledError extends Error {}

/** Receives the objects of a prefix and their changes. */
export interface PrefixListener {
  /** Called with the complete list; objects that are not in it no longer exist. */
  readonly onList: (objects: readonly StoredObject[]) => void;
  /** Called with the changed objects and the paths of the removed ones. */
  readonly onChange: (objects: readonly StoredObject[], removed: readonly string[]) => void;
  /** Called when the store answers again after failed calls, before its answer is passed on. */
  readonly onStoreRecovered?: () => void;
}

/** Options for {@link createPrefixWatcher}. */
export interface PrefixWatcherOptions extends PrefixListener {
  readonly objects: ObjectStore;
  readonly prefix: string;
  /** Pause after each change, in milliseconds, so that changes in quick succession arrive in one answer. */
  readonly pauseMs: number;
  /** Returns whether digests are compared with the coordinator's, so that cheaper, stale watches suffice. */
  readonly isFreshnessChecked: () => boolean;
  /** Returns whether the others' digests are compared with this daemon's. */
  readonly isReference: () => boolean;
  /** Maximum wait of a watch while this daemon is the reference, in milliseconds; a default unless set. */
  readonly referenceWaitMs?: number | undefined;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly random: () => number;
}

/** Watches one prefix. */
export interface PrefixWatcher {
  readonly prefix: string;
  /**
   * Returns the local time since which the state is known: when the latest read of the newest state began, or when
   * the state was last confirmed. Negative infinity while only stale answers were read.
   */
  getCurrentAt(): number;
  /** Returns whether the latest call was answered, or may still be answered in time. */
  isAnswered(): boolean;
  /** Returns the version of the store up to which the changes are known; 0 when that is not known. */
  getVersion(): Version;
  /** Records that the state equals the newest one, as another daemon knows it. */
  confirm(): void;
  /** Computes a digest of the known versions; equal digests almost certainly mean equal versions. */
  computeDigest(): number;
  /** Cancels a pending watch, whose connection may be dead without an error, and polls at once. */
  refresh(): void;
  /** Lists and watches until aborted. */
  run(signal: AbortSignal): Promise<void>;
}

/**
 * Creates a prefix watcher.
 *
 * @param options - Object store, prefix and listener.
 * @returns The watcher; it makes no calls until it is run.
 */
export function createPrefixWatcher(options: PrefixWatcherOptions): PrefixWatcher {
  const { objects, prefix, pauseMs, clock, logger } = options;
  const versions = new Map<string, number>();
  let since: number | undefined;
  let failures = 0;
  let mustPoll = false;
  /** Whether no call was answered since a watch was not answered in time. */
  let isOverdue = false;
  /** The state is read again instead of its history, which may be larger. */
  let mustList = false;
  let currentAt = Number.NEGATIVE_INFINITY;
  let stateBytes = 0;
  /** Whether the store was restored so lately that objects which it lacks may still be written again. */
  let isInGrace = false;
  /** Whether the listener may have objects that a restored store lacks. */
  let mustDeliverList = false;
  let cancelGrace: CancelTimer | undefined;
  let pendingWatch: AbortController | undefined;
  /** Kind and start of the latest call, for logs. */
  let currentCall: "list" | "watch" | "poll" = "list";
  let callStartedAt = clock.now();

  return {
    prefix,
    getCurrentAt: () => currentAt,
    isAnswered: () => failures === 0 && !isOverdue,
    getVersion: () => since ?? 0,
    confirm: () => {
      currentAt = clock.now();
    },
    computeDigest,
    refresh,
    run: async (signal) => {
      while (!signal.aborted) {
        try {
          await readNext(signal);
        } catch (error) {
          await handleFailure(error, signal);
        }
      }
    },
  };

  function refresh(): void {
    mustPoll = true;
    pendingWatch?.abort();
  }

  async function readNext(signal: AbortSignal): Promise<void> {
    callStartedAt = clock.now();
    const hasChanged = since === undefined || mustList ? await listState() : await readHistory(since, signal);
    if (hasChanged) {
      await sleep(clock, pauseMs, signal);
    }
  }

  /** Lists all objects. Returns whether they differ from those known before. */
  async function listState(): Promise<boolean> {
    currentCall = "list";
    const listed = await listAtLeast(since);
    recordSuccess();
    stateBytes = listed.transfer?.bytes ?? 0;
    const isFirst = since === undefined;
    if (since !== undefined && getTimeline(listed.version) > getTimeline(since)) {
      startGrace(listed.version);
    }
    const added = listed.objects.filter((object) => versions.get(object.path) !== object.version);
    const hasChanged = added.length > 0 || listed.objects.length !== versions.size;
    versions.clear();
    listed.objects.forEach(recordVersion);
    deliverList(listed, isFirst || hasChanged);
    since = listed.version;
    // Large changes in quick succession are read as state until they end: their history would grow.
    const changedBytes = stateBytes * (added.length / Math.max(1, listed.objects.length));
    mustList = !isFirst && changedBytes >= LARGE_HISTORY_BYTES;
    return !isFirst && hasChanged;
  }

  /** Lists with a stale answer if the state is compared afterwards, unless that is older than the known state. */
  async function listAtLeast(known: Version | undefined): Promise<ObjectChanges> {
    if (options.isFreshnessChecked() && !mustPoll) {
      const stale = await objects.list(prefix, CallPriority.Configuration, Freshness.Stale);
      if (known === undefined || stale.version >= known) {
        return stale;
      }
    }
    const startedAt = clock.now();
    mustPoll = false;
    const newest = await objects.list(prefix, CallPriority.Configuration);
    currentAt = startedAt;
    return newest;
  }

  /** Passes a list on if it differs from what the listener knows: without removals during the grace period. */
  function deliverList(listed: ObjectChanges, hasChanged: boolean): void {
    if (hasChanged) {
      logRead(listed, since);
    }
    if (isInGrace) {
      options.onChange(listed.objects, []);
    } else if (hasChanged || mustDeliverList) {
      mustDeliverList = false;
      options.onList(listed.objects);
    }
  }

  function startGrace(version: Version): void {
    logger.log(Event.StoreRestored, { prefix, since, version });
    isInGrace = true;
    mustDeliverList = true;
    cancelGrace?.();
    cancelGrace = clock.schedule(RESTORE_GRACE_MS, () => {
      isInGrace = false;
      mustList = true;
      pendingWatch?.abort();
    });
    options.onStoreRecovered?.();
  }

  /** Reads the changes since a version. Returns whether there are any. */
  async function readHistory(from: Version, signal: AbortSignal): Promise<boolean> {
    const changes = await watchOrPoll(from, signal);
    recordSuccess();
    since = Math.max(from, changes.version);
    const removed = changes.removed ?? [];
    if (changes.objects.length + removed.length === 0) {
      return false;
    }
    changes.objects.forEach(recordVersion);
    removed.forEach((path) => versions.delete(path));
    options.onChange(changes.objects, removed);
    logRead(changes, from);
    return true;
  }

  async function watchOrPoll(from: number, signal: AbortSignal) {
    const maxBytes = Math.max(LARGE_HISTORY_BYTES, stateBytes * MAX_HISTORY_RATIO);
    const startedAt = clock.now();
    if (mustPoll) {
      currentCall = "poll";
      mustPoll = false;
      const polled = await objects
        .watch(prefix, from, { waitMs: 0, signal, maxBytes })
        .catch((error: unknown) => {
          mustPoll = true;
          throw error;
        });
      currentAt = startedAt;
      return polled;
    }
    currentCall = "watch";
    const current = new AbortController();
    pendingWatch = current;
    const isChecked = options.isFreshnessChecked();
    const waitMs = getWatchWaitMs(isChecked);
    // Another connection may work, so this is no failure of the store unless the poll fails as well.
    const cancelTimeout = clock.schedule(waitMs + WATCH_MARGIN_MS, () => {
      isOverdue = true;
      refresh();
    });
    try {
      const freshness = isChecked ? Freshness.Stale : Freshness.Newest;
      const combined = AbortSignal.any([signal, current.signal]);
      const watched = await objects.watch(prefix, from, { waitMs, signal: combined, freshness, maxBytes });
      currentAt = isChecked ? currentAt : startedAt;
      return watched;
    } catch (error) {
      throw current.signal.aborted ? new WatchCancelledError() : error;
    } finally {
      cancelTimeout();
      pendingWatch = undefined;
    }
  }

  function getWatchWaitMs(isChecked: boolean): number {
    if (isChecked) {
      return CHECKED_WATCH_WAIT_MS;
    }
    return options.isReference()
      ? (options.referenceWaitMs ?? REFERENCE_WATCH_WAIT_MS)
      : UNCHECKED_WATCH_WAIT_MS;
  }

  function computeDigest(): number {
    let digest = 0;
    for (const [path, version] of versions) {
      digest ^= murmurhash.v3(`${path}@${version}`);
    }
    return digest >>> 0;
  }

  function recordVersion(object: StoredObject): void {
    versions.set(object.path, object.version);
  }

  function logRead(changes: ObjectChanges, from: Version | undefined): void {
    logger.log(Event.StateRead, {
      prefix,
      call: currentCall,
      objects: changes.objects.length,
      bytes: changes.transfer?.bytes,
      transferMs: changes.transfer === undefined ? undefined : Math.round(changes.transfer.durationMs),
      tookMs: Math.round(clock.now() - callStartedAt),
      from,
      version: changes.version,
    });
  }

  function recordSuccess(): void {
    if (failures > 0) {
      logger.log(Event.PlatformAvailable, { prefix, failures });
      options.onStoreRecovered?.();
    }
    failures = 0;
    isOverdue = false;
  }

  async function handleFailure(error: unknown, signal: AbortSignal): Promise<void> {
    if (signal.aborted || error instanceof WatchCancelledError) {
      return;
    }
    if (error instanceof HistoryGoneError) {
      logger.log(Event.HistoryLost, { prefix, since, error: describeError(error) });
      mustList = true;
      return;
    }
    failures += 1;
    // The history has grown meanwhile, and may be larger than the state.
    mustList = true;
    logger.log(Event.StateReadFailed, {
      prefix,
      call: currentCall,
      failures,
      tookMs: Math.round(clock.now() - callStartedAt),
      error: describeError(error),
    });
    if (failures === 1) {
      logger.log(Event.PlatformUnavailable, { prefix, error: describeError(error) });
    }
    const retryMs = Math.min(MAX_RETRY_MS, RETRY_BASE_MS * 2 ** Math.min(failures, 8));
    await sleep(clock, retryMs * (0.5 + options.random()), signal);
  }
}
