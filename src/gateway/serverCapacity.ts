/** Estimates how much work backend servers do, from few answers of each. */

/** Answers of a server that count as much as what is usual for its service. */
const PRIOR_ANSWERS = 4;
/** A noisy estimate must not draw all keys to one server: the fastest ones are no faster than this, relative to the usual. */
const MAX_RELATIVE_SPEED = 2;
const MILLISECONDS_PER_SECOND = 1000;

/** Assumed until a service has given its first answer, in milliseconds. */
const DEFAULT_PROCESSING_MS = 100;

/** What is known of one server. */
export interface CapacityInputs {
  readonly slots: number;
  /** Mean time of a request at the server, in milliseconds. */
  readonly processingMs: number;
  /** Answers that the mean is made from. */
  readonly answers: number;
  /** Requests a second that the server bears while it is cold; null when it is warm. */
  readonly coldRequestsPerSecond: number | null;
}

/**
 * Estimates the capacities of the servers of one service.
 *
 * @param servers - What is known of each.
 * @returns Requests a millisecond, in the same order.
 */
export function estimateCapacities(servers: readonly CapacityInputs[]): readonly number[] {
  const times = servers.filter((server) => server.answers > 0).map((server) => server.processingMs);
  const medianProcessingMs = findMedian(times) ?? DEFAULT_PROCESSING_MS;
  return servers.map((server) => estimateCapacity(server, medianProcessingMs));
}

function estimateCapacity(server: CapacityInputs, medianProcessingMs: number): number {
  const { slots, processingMs, answers, coldRequestsPerSecond } = server;
  const blendedMs = (answers * processingMs + PRIOR_ANSWERS * medianProcessingMs) / (answers + PRIOR_ANSWERS);
  const warmCapacity = slots / Math.max(medianProcessingMs / MAX_RELATIVE_SPEED, blendedMs);
  if (coldRequestsPerSecond === null) {
    return warmCapacity;
  }
  return Math.min(warmCapacity, coldRequestsPerSecond / MILLISECONDS_PER_SECOND);
}

function findMedian(values: readonly number[]): number | undefined {
  const sorted = [...values].sort((left, right) => left - right);
  return sorted[Math.floor(sorted.length / 2)];
}
