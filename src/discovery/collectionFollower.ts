/** Follows all objects under one prefix of the object API: a list first, then watches. */
import { HistoryGoneError, describeError } from "../errors";
import { CallPriority, type ObjectStore, type StoredObject } from "../objectStore";
import { Event, type Logger } from "../observability";
import { type Clock, sleep } from "../types";

/** Bounds the price of a quiet period: one call in this time for each prefix. */
const WATCH_WAIT_MS = 25_000;
/** First and longest pause after a call without an answer; the longest keeps a regained store known within a second. */
const FIRST_RETRY_MS = 100;
const LONGEST_RETRY_MS = 700;

/** What a follower reports. */
export interface CollectionListener {
  /** Receives everything that exists. Objects that are missing are gone. */
  readonly onList: (objects: readonly StoredObject[]) => void;
  /** Receives changed objects and the paths of removed ones. */
  readonly onChange: (objects: readonly StoredObject[], removed: readonly string[]) => void;
  /** Called when the store answers again after calls without an answer, before what it says is passed on. */
  readonly onRegained?: () => void;
}

/** What a follower is made from. */
export interface CollectionFollowerOptions extends CollectionListener {
  readonly objects: ObjectStore;
  readonly prefix: string;
  /** Pause after each change, which gathers changes that come in series into one answer, in milliseconds. */
  readonly pauseMs: number;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly random: () => number;
}

/**
 * Follows a prefix until aborted.
 *
 * @param options - Store, prefix and listener.
 * @param signal - Ends the follower.
 */
export async function followCollection(
  options: CollectionFollowerOptions,
  signal: AbortSignal,
): Promise<void> {
  const { objects, prefix, pauseMs, clock, logger } = options;
  let since: number | undefined;
  let failures = 0;

  while (!signal.aborted) {
    try {
      await followOnce();
    } catch (error) {
      await recover(error);
    }
  }

  async function followOnce(): Promise<void> {
    if (since === undefined) {
      const listed = await objects.list(prefix, CallPriority.Configuration);
      reportSuccess();
      options.onList(listed.objects);
      since = listed.version;
      return;
    }
    const waitMs = failures > 0 ? 0 : WATCH_WAIT_MS;
    const changes = await objects.watch(prefix, since, waitMs, signal);
    reportSuccess();
    since = Math.max(since, changes.version);
    const removed = changes.removed ?? [];
    if (changes.objects.length + removed.length > 0) {
      options.onChange(changes.objects, removed);
      await sleep(clock, pauseMs, signal);
    }
  }

  function reportSuccess(): void {
    if (failures > 0) {
      logger.log(Event.PlatformAvailable, { prefix, failures });
      options.onRegained?.();
    }
    failures = 0;
  }

  async function recover(error: unknown): Promise<void> {
    if (signal.aborted) {
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
    const retryMs = Math.min(LONGEST_RETRY_MS, FIRST_RETRY_MS * 2 ** Math.min(failures, 8));
    await sleep(clock, retryMs * (0.5 + options.random()), signal);
  }
}
