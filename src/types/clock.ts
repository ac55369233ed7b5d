/** The clock port. Only durations on one monotonic clock are ever compared. */

/** Cancels a scheduled call. */
export type CancelTimer = () => void;

/** Monotonic time and timers. */
export interface Clock {
  /** Milliseconds on a monotonic clock with an arbitrary start. */
  now(): number;
  /** Calls `callback` once after `delayMs` milliseconds. */
  schedule(delayMs: number, callback: () => void): CancelTimer;
}

/** The clock of this process. */
export const systemClock: Clock = {
  now: () => performance.now(),
  schedule: (delayMs, callback) => {
    const timer = setTimeout(callback, delayMs);
    return () => {
      clearTimeout(timer);
    };
  },
};

/**
 * Waits for a duration.
 *
 * @param clock - Clock to wait on.
 * @param delayMs - Duration in milliseconds.
 * @param signal - Ends the wait early, without an error.
 * @returns Nothing, when the duration has passed or the signal was aborted.
 */
export function sleep(clock: Clock, delayMs: number, signal?: AbortSignal): Promise<void> {
  if (signal?.aborted) {
    return Promise.resolve();
  }
  return new Promise((resolve) => {
    const finish = () => {
      cancel();
      signal?.removeEventListener("abort", finish);
      resolve();
    };
    const cancel = clock.schedule(delayMs, finish);
    signal?.addEventListener("abort", finish);
  });
}

/**
 * Starts a call at once and again after each interval, until aborted. Calls never overlap.
 *
 * @param clock - Clock to wait on.
 * @param intervalMs - Pause between two calls in milliseconds.
 * @param signal - Ends the repetition.
 * @param call - The repeated call; its errors must be handled inside it.
 */
export async function repeat(
  clock: Clock,
  intervalMs: number,
  signal: AbortSignal,
  call: () => Promise<void> | void,
): Promise<void> {
  while (!signal.aborted) {
    await call();
    await sleep(clock, intervalMs, signal);
  }
}
