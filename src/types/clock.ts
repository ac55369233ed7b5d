/** Clock abstraction. Only durations measured on the same monotonic clock are compared. */

/** Cancels a scheduled call. */
export type CancelTimer = () => void;

/** Monotonic time and timers. */
export interface Clock {
  /** Returns the time in milliseconds on a monotonic clock with an arbitrary start. */
  now(): number;
  /** Calls `callback` once after `delayMs` milliseconds. */
  schedule(delayMs: number, callback: () => void): CancelTimer;
}

/** Clock and timers of this process. */
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
 * @param signal - Ends the wait early when aborted; the promise still resolves.
 * @returns A promise that resolves when the duration has passed or the signal is aborted.
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
 * Runs a call immediately, and again one interval after each run has ended, until aborted. Runs never
 * overlap.
 *
 * @param clock - Clock to wait on.
 * @param intervalMs - Pause between the end of one run and the start of the next, in milliseconds.
 * @param signal - Ends the repetition when aborted; a run in progress is not interrupted.
 * @param call - The call to repeat.
 * @param report - Receives what the call throws; the repetition goes on.
 */
export async function repeat(
  clock: Clock,
  intervalMs: number,
  signal: AbortSignal,
  call: () => Promise<void> | void,
  report: (error: unknown) => void,
): Promise<void> {
  while (!signal.aborted) {
    try {
      await call();
    } catch (error) {
      report(error);
    }
    await sleep(clock, intervalMs, signal);
  }
}
