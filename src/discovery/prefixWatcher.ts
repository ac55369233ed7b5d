/**
 * Watches all objects under one prefix of the object store: lists them once, then watches for changes. A watch
 * returns each version in full; a history that is larger than the state is not read, but the state listed again.
 */
import { HistoryGoneError, describeError } from "../errors";
import { CallPriority, Freshness, type ObjectChanges, getTimeline } from "../objectStore";
import { Event } from "../observability";
import { type CancelTimer, type Version, sleep } from "../types";
import { FollowEnd } from "./changeFeed";
import { createObjectVersions } from "./objectVersions";
import type { PrefixWatcher, PrefixWatcherOptions } from "./prefixWatcherTypes";
import { findWatchedAt } from "./stateChange";
import { choosePauseMs, chooseWatchWaitMs } from "./watchTiming";

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

/**
 * Creates a prefix watcher.
 *
 * @param options - Object store, prefix and listener.
 * @returns The watcher; it makes no calls until it is run.
 */
export function createPrefixWatcher(options: PrefixWatcherOptions): PrefixWatcher {
  const { objects, prefix, clock, logger, follower } = options;
  const versions = createObjectVersions();
  let since: number | undefined;
  /** Version since which the state is known to be the same. */
  let unchangedSince: Version = 0;
  let failures = 0;
  let mustPoll = false;
  /** A version was announced that a stale answer may have. */
  let mustPollStale = false;
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
  let isPendingStale = false;
  /** Kind and start of the latest call, for logs. */
  let currentCall: "list" | "watch" | "poll" | "datagram" = "list";
  let callStartedAt = clock.now();
  follower?.bind({
    findVersion: () => since,
    apply: (version, content) => {
      // The store answers the coordinator, so entries that expired during an outage may return soon.
      recordSuccess();
      currentCall = "datagram";
      callStartedAt = clock.now();
      const from = since;
      since = version;
      applyChanges({ ...content, version }, from);
    },
    advance: (version) => {
      if (since !== undefined && version > since) {
        since = version;
        unchangedSince = version;
      }
    },
    confirm: () => {
      recordSuccess();
      if (!isInGrace && !mustDeliverList) {
        mustList = false;
        mustPoll = false;
        mustPollStale = false;
      }
    },
    endStaleWatch: () => {
      if (isPendingStale) {
        pendingWatch?.abort();
      }
    },
  });

  return {
    prefix,
    getCurrentAt: () => currentAt,
    isAnswered: () => failures === 0 && !isOverdue,
    getVersion: () => since ?? 0,
    confirm: () => {
      currentAt = clock.now();
    },
    computeDigest: () => versions.computeDigest(),
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
    follower?.wake();
  }

  async function readNext(signal: AbortSignal): Promise<void> {
    const mustRead = since === undefined || mustList || mustPoll || mustPollStale;
    if (!mustRead && follower?.isFollowing() === true) {
      const end = await follower.follow(signal);
      mustPollStale = end === FollowEnd.Announced;
      // Without contact the watch that follows reads the newest state.
      mustPoll ||= end === FollowEnd.Unconfirmed;
      return;
    }
    callStartedAt = clock.now();
    const hasChanged = since === undefined || mustList ? await listState() : await readHistory(since, signal);
    mustPoll ||= follower?.isBehind() === true;
    if (hasChanged) {
      await sleep(clock, choosePauseMs(options), signal);
    }
  }

  /** Lists all objects. Returns whether they differ from those known before. */
  async function listState(): Promise<boolean> {
    currentCall = "list";
    const known = since;
    const listed = await listAtLeast(known);
    recordSuccess();
    if (isOutdated(listed, known)) {
      return false;
    }
    stateBytes = listed.transfer?.bytes ?? 0;
    const isFirst = since === undefined;
    if (since !== undefined && getTimeline(listed.version) > getTimeline(since)) {
      startGrace(listed.version);
    }
    const { added, hasChanged } = versions.replaceAll(listed.objects);
    deliverList(listed, isFirst || hasChanged);
    since = listed.version;
    unchangedSince = since;
    if (!isFirst && hasChanged) {
      follower?.publish({ base: unchangedSince, version: since, content: null });
    }
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
    recordNewest(startedAt);
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
      follower?.wake();
    });
    options.onStoreRecovered?.();
  }

  /** Reads the changes since a version. Returns whether there are any. */
  async function readHistory(from: Version, signal: AbortSignal): Promise<boolean> {
    const changes = await watchOrPoll(from, signal);
    recordSuccess();
    if (isOutdated(changes, from)) {
      return false;
    }
    const base = unchangedSince;
    since = Math.max(from, changes.version);
    const { objects: changed, removed = [] } = changes;
    if (changed.length + removed.length === 0) {
      return false;
    }
    applyChanges(changes, from);
    follower?.publish({ base, version: since, content: { objects: changed, removed } });
    return true;
  }

  /** Returns whether changes from the coordinator have led past a state while it was being read. */
  function isOutdated(read: ObjectChanges, known: Version | undefined): boolean {
    return since !== undefined && since !== known && read.version < since;
  }

  function applyChanges(changes: ObjectChanges, from: Version | undefined): void {
    const { objects: changed, removed = [], version } = changes;
    unchangedSince = Math.max(from ?? 0, version);
    versions.applyChanges(changed, removed);
    options.onChange(changed, removed);
    logRead(changes, from);
  }

  function recordNewest(at: number): void {
    currentAt = at;
    follower?.recordNewest(at);
  }

  async function watchOrPoll(from: number, signal: AbortSignal) {
    const maxBytes = Math.max(LARGE_HISTORY_BYTES, stateBytes * MAX_HISTORY_RATIO);
    const startedAt = clock.now();
    if (mustPoll) {
      currentCall = "poll";
      mustPoll = false;
      mustPollStale = false;
      const polled = await objects
        .watch(prefix, from, { waitMs: 0, signal, maxBytes })
        .catch((error: unknown) => {
          mustPoll = true;
          throw error;
        });
      recordNewest(startedAt);
      return polled;
    }
    if (mustPollStale) {
      currentCall = "poll";
      mustPollStale = false;
      return objects.watch(prefix, from, { waitMs: 0, signal, freshness: Freshness.Stale, maxBytes });
    }
    currentCall = "watch";
    const current = new AbortController();
    pendingWatch = current;
    const isChecked = options.isFreshnessChecked();
    isPendingStale = isChecked;
    const waitMs = chooseWatchWaitMs(options, isChecked);
    // Another connection may work, so this is no failure of the store unless the poll fails as well.
    const cancelTimeout = clock.schedule(waitMs + WATCH_MARGIN_MS, () => {
      isOverdue = true;
      refresh();
    });
    try {
      const freshness = isChecked ? Freshness.Stale : Freshness.Newest;
      const combined = AbortSignal.any([signal, current.signal]);
      const watched = await objects.watch(prefix, from, { waitMs, signal: combined, freshness, maxBytes });
      if (!isChecked) {
        currentAt = startedAt;
        const hasChanges = watched.objects.length + (watched.removed ?? []).length > 0;
        follower?.recordNewest(findWatchedAt(startedAt, waitMs, hasChanges, clock.now()));
      }
      return watched;
    } catch (error) {
      throw current.signal.aborted ? new WatchCancelledError() : error;
    } finally {
      cancelTimeout();
      pendingWatch = undefined;
    }
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
    // The history has grown meanwhile, and may be larger than the state. A confirmed state need not be read.
    mustList = follower?.isFollowing() !== true || isInGrace || mustDeliverList;
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
