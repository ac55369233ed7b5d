/** Watches the object store: lists all objects once, then watches for changes. */
import { describeError } from "../errors";
import { Event, type Logger } from "../observability";
import { CallPriority, type ObjectStore, type StoredObject, decodeStoredObject } from "../objectStore";
import { type Clock, sleep } from "../types";
import type { SnapshotStore } from "./snapshotStore";

const WATCH_WAIT_MS = 30_000;
const RETRY_MS = 500;
const IDLE_CHECK_MS = 500;
/** A daemon that does not watch lists all objects every 30 s, to know whether the platform is reachable. */
const IDLE_CHECKS_PER_LIST = 60;

/** Options for {@link watchPlatform}. */
export interface PlatformWatcherOptions {
  readonly objects: ObjectStore;
  readonly snapshots: SnapshotStore;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Returns whether this daemon is one of those that watch the platform for their data centre. */
  readonly isWatcher: () => boolean;
  /** Called after each call with whether the platform is reachable. */
  readonly onReachabilityUpdate: (reachable: boolean) => void;
}

/**
 * Watches the object store until aborted.
 *
 * @param options - Object store, snapshots and callbacks.
 * @param signal - Ends the watcher when aborted.
 */
export async function watchPlatform(options: PlatformWatcherOptions, signal: AbortSignal): Promise<void> {
  const { objects, snapshots, clock } = options;
  let isReachable = true;
  let needsList = true;
  let wasWatcher = false;
  let idleChecks = 0;
  let since = 0;

  while (!signal.aborted) {
    try {
      await listOrWatch();
    } catch (error) {
      await handleFailure(error);
    }
  }

  async function handleFailure(error: unknown): Promise<void> {
    if (signal.aborted) {
      return;
    }
    recordReachability(false, describeError(error));
    await sleep(clock, RETRY_MS, signal);
  }

  async function listOrWatch(): Promise<void> {
    const isWatcher = options.isWatcher();
    const becameWatcher = isWatcher && !wasWatcher;
    wasWatcher = isWatcher;
    if (needsList || becameWatcher || !isReachable) {
      await listAll();
      return;
    }
    if (isWatcher) {
      const result = await objects.watch("", since, { waitMs: WATCH_WAIT_MS, signal });
      recordReachability(true);
      applyAll(result.objects);
      since = Math.max(since, result.version);
      return;
    }
    await waitIdle();
  }

  async function listAll(): Promise<void> {
    const result = await objects.list("", CallPriority.Configuration);
    applyAll(result.objects);
    since = result.version;
    needsList = false;
    recordReachability(true);
  }

  async function waitIdle(): Promise<void> {
    await sleep(clock, IDLE_CHECK_MS, signal);
    idleChecks += 1;
    needsList = idleChecks % IDLE_CHECKS_PER_LIST === 0;
  }

  function applyAll(stored: readonly StoredObject[]): void {
    for (const object of stored) {
      applyObject(object);
    }
  }

  /** Applies an object; skips one that hemlockbank did not write, so that the others are still applied. */
  function applyObject(object: StoredObject): void {
    try {
      const { version, value } = decodeStoredObject(object);
      snapshots.apply({ path: object.path, version, value });
    } catch (error) {
      options.logger.log(Event.SnapshotInvalid, { path: object.path, error: describeError(error) });
    }
  }

  function recordReachability(reachable: boolean, error?: string): void {
    if (reachable !== isReachable) {
      options.logger.log(reachable ? Event.PlatformAvailable : Event.PlatformUnavailable, { error });
    }
    isReachable = reachable;
    options.onReachabilityUpdate(reachable);
  }
}
