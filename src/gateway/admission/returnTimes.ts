/** Chooses when the caller of a request that found no capacity should retry. */

/**
 * Multiple of the mean processing time that a request is expected to take after the queue. Processing times
 * vary: with time for the mean alone, half of the answers would be late.
 */
export const PROCESSING_TIME_MARGIN = 1.3;
/**
 * Share of the available time that the estimate may fill. The rest covers the latest requests of other
 * daemons to the same server, which the estimate does not include.
 */
export const OBJECTIVE_SHARE = 0.85;
/** Callers honour a retry-after time up to this share of their remaining time. */
export const MAX_RETRY_AFTER_SHARE = 0.33;
/** Earliest retry as a share of the remaining time, while it is not known when capacity is expected. */
export const MIN_RETRY_AFTER_SHARE = 0.08;
/** Spread, as a share of the longest retry time, of retries whose obstacle outlasts that time. */
const FINAL_SPREAD = 0.1;

/** Rank of a request's priority among those seen at its service. */
export const Urgency = {
  /** All requests of the service have one priority. */
  Equal: "equal",
  Urgent: "urgent",
  Other: "other",
} as const;
export type Urgency = (typeof Urgency)[keyof typeof Urgency];

/** What is known of a refused request; all times in milliseconds. */
export interface ReturnTimeInputs {
  readonly elapsedMs: number;
  readonly remainingMs: number;
  /** Counted from the request's first arrival. */
  readonly objectiveMs: number;
  /** Time after which an obstacle other than a queue is gone; 0 when there is none, or it is not known. */
  readonly obstacleMs: number;
  /** Expected wait in the server's queue; 0 when it is not known. */
  readonly queueMs: number;
  readonly processingMs: number;
  readonly urgency: Urgency;
  readonly random: () => number;
}

/**
 * Chooses the time until the retry: between the time at which capacity is expected and the last one at which the
 * answer still meets the objective, if that is later; otherwise within the time that callers wait, the urgent earlier.
 *
 * @param inputs - Times of the request and of the obstacle.
 * @returns The time in milliseconds; at most {@link MAX_RETRY_AFTER_SHARE} of the remaining time.
 */
export function chooseReturnMs(inputs: ReturnTimeInputs): number {
  const { remainingMs, obstacleMs, queueMs, urgency, random } = inputs;
  const usefulMs = OBJECTIVE_SHARE * inputs.objectiveMs - PROCESSING_TIME_MARGIN * inputs.processingMs;
  const latestMs = remainingMs * MAX_RETRY_AFTER_SHARE;
  const onTimeMs = Math.min(latestMs, usefulMs - inputs.elapsedMs);
  const goneMs = Math.max(0, obstacleMs, queueMs > 0 ? queueMs - usefulMs : 0);
  const unknownMs = remainingMs * MIN_RETRY_AFTER_SHARE;
  const earliestMs = goneMs > 0 ? goneMs : Math.min(unknownMs, onTimeMs > 0 ? onTimeMs / 2 : unknownMs);
  if (earliestMs < onTimeMs) {
    return earliestMs + (onTimeMs - earliestMs) * random();
  }
  const firstMs = Math.min(earliestMs, latestMs * (1 - FINAL_SPREAD));
  const [from, to] = getSpan(urgency);
  return firstMs + (latestMs - firstMs) * (from + (to - from) * random());
}

/** Returns the part of the time until the latest retry over which the retries of an urgency are spread. */
function getSpan(urgency: Urgency): readonly [number, number] {
  switch (urgency) {
    case Urgency.Equal:
      return [0, 1];
    case Urgency.Urgent:
      return [0, 0.5];
    case Urgency.Other:
      return [0.5, 1];
    default:
      return urgency satisfies never;
  }
}
