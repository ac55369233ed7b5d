/** Estimates the capacity of backend servers from a few answers of each. */

/** Weight of the service's median against a server's own mean, expressed as a number of answers. */
const PRIOR_ANSWERS = 4;
/** Maximum estimated speed relative to the median: a noisy estimate must not draw all keys to one server. */
const MAX_RELATIVE_SPEED = 2;
/** Capacities are divided by each other, so that of a server which accepts nothing is not 0. */
const MIN_REQUESTS_PER_SECOND = 0.1;
const MILLISECONDS_PER_SECOND = 1000;

/** Processing time that is assumed until a service has given its first answer. */
const DEFAULT_PROCESSING_MS = 100;

/** Measurements and limits of one server. */
export interface CapacityInputs {
  readonly slots: number;
  /** Mean processing time of a request at the server, in milliseconds. */
  readonly processingMs: number;
  /** Number of answers that the mean is taken over. */
  readonly answers: number;
  /** Requests per second that the server accepts, for example while it is cold; null without a limit. */
  readonly maxRequestsPerSecond: number | null;
}

/**
 * Estimates the capacities of the servers of one service.
 *
 * @param servers - Measurements and limits of each server.
 * @returns Capacities in requests per millisecond, in the same order.
 */
export function estimateCapacities(servers: readonly CapacityInputs[]): readonly number[] {
  const times = servers.filter((server) => server.answers > 0).map((server) => server.processingMs);
  const medianProcessingMs = findMedian(times) ?? DEFAULT_PROCESSING_MS;
  return servers.map((server) => estimateCapacity(server, medianProcessingMs));
}

function estimateCapacity(server: CapacityInputs, medianProcessingMs: number): number {
  const { slots, processingMs, answers, maxRequestsPerSecond } = server;
  const blendedMs = (answers * processingMs + PRIOR_ANSWERS * medianProcessingMs) / (answers + PRIOR_ANSWERS);
  const warmCapacity = slots / Math.max(medianProcessingMs / MAX_RELATIVE_SPEED, blendedMs);
  if (maxRequestsPerSecond === null) {
    return warmCapacity;
  }
  const accepted = Math.max(maxRequestsPerSecond, MIN_REQUESTS_PER_SECOND);
  return Math.min(warmCapacity, accepted / MILLISECONDS_PER_SECOND);
}

function findMedian(values: readonly number[]): number | undefined {
  const sorted = [...values].sort((left, right) => left - right);
  return sorted[Math.floor(sorted.length / 2)];
}
