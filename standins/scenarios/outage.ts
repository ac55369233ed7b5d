/** Measures for how long the keys of a failed backend server or daemon were not served. */
import type { CallerResult } from "./callers";

/** A request whose answer takes longer than this counts as affected by the failure. */
export const LATE_THRESHOLD_MS = 250;

/** The time between two failures, in milliseconds on the clock of {@link CallerResult.startedAt}. */
export interface FailureWindow {
  readonly from: number;
  /** Time of the next failure; infinity without one. */
  readonly until: number;
}

/**
 * Measures the time from a failure until the end of the last refused or late request for the affected keys.
 * Requests that were not late yet at the next failure do not count, since that one may have disturbed them.
 *
 * @param results - Results of all requests.
 * @param isAffected - Returns whether a request was for one of the affected keys.
 * @param window - Times of the failure and of the next one.
 * @returns The outage in milliseconds; infinity when the window has no request for the affected keys.
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
