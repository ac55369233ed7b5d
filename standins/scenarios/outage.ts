/** Measures for how long the keys of a lost server or daemon were not served. */
import type { CallerResult } from "./callers";

/** Answers that take longer show that something was lost. */
export const LATE_THRESHOLD_MS = 250;

/** The time between two losses, in milliseconds. */
export interface FailureWindow {
  readonly from: number;
  /** The next loss; infinity without one. */
  readonly until: number;
}

/**
 * Measures the time from a loss until the last request for the lost keys that was refused or late has ended.
 * A request that was not late yet when the next loss came is disturbed by that one, and does not count.
 *
 * @param results - How all requests ended.
 * @param isAffected - Whether a request was for one of the lost keys.
 * @param window - The loss and the next one.
 * @returns The outage in milliseconds; infinity when no request asked for the lost keys.
 */
export function measureOutage(
  results: readonly CallerResult[],
  isAffected: (result: CallerResult) => boolean,
  window: FailureWindow,
): number {
  const affected = results.filter(
    (result) =>
      result.startedAt >= window.from &&
      result.startedAt + LATE_THRESHOLD_MS < window.until &&
      isAffected(result),
  );
  if (affected.length === 0) {
    return Number.POSITIVE_INFINITY;
  }
  const disturbed = affected.filter(
    (result) => result.end !== "whole" || result.latencyMs > LATE_THRESHOLD_MS,
  );
  const ends = disturbed.map((result) => result.startedAt + result.latencyMs - window.from);
  return Math.round(Math.max(0, ...ends));
}
