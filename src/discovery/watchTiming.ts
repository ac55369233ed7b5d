/** Waiting times of watches, and the pauses between them. */
import type { PrefixWatcherOptions } from "./prefixWatcherTypes";

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
/** The same for the coordinator while the others keep no watches of their own and rely on what it has read. */
const DISTRIBUTING_WATCH_WAIT_MS = 400;
/** Pause that gathers changes at a coordinator that distributes them: bounds its datagrams to each daemon. */
const DISTRIBUTING_PAUSE_MS = 150;

/**
 * Chooses the maximum wait of the next watch.
 *
 * @param options - Options of the watcher.
 * @param isChecked - Whether digests are compared with the coordinator's.
 * @returns The wait in milliseconds.
 */
export function chooseWatchWaitMs(options: PrefixWatcherOptions, isChecked: boolean): number {
  if (isChecked) {
    return CHECKED_WATCH_WAIT_MS;
  }
  if (!options.isReference()) {
    return UNCHECKED_WATCH_WAIT_MS;
  }
  return options.follower?.isDistributing() === true
    ? DISTRIBUTING_WATCH_WAIT_MS
    : (options.referenceWaitMs ?? REFERENCE_WATCH_WAIT_MS);
}

/**
 * Chooses the pause after a change.
 *
 * @param options - Options of the watcher.
 * @returns The pause in milliseconds.
 */
export function choosePauseMs(options: PrefixWatcherOptions): number {
  return options.follower?.isDistributing() === true ? DISTRIBUTING_PAUSE_MS : options.pauseMs;
}
