/** Decides during a shutdown which requests can still end before it does. */
import type { Clock, ServiceName } from "../types";

/** Time before the end of the shutdown by which requests end, so that their answers can be written. */
const ANSWER_MARGIN_MS = 100;
/** Share by which the expected time of a service falls with each request that takes less. */
const DECAY = 1 / 16;

/** Admission of requests while the daemon shuts down. */
export interface StopGate {
  /** Starts to refuse requests that cannot end before the local time `stopsAt`. */
  close(stopsAt: number): void;
  /** Records how long a request of a service took, in milliseconds. */
  record(service: ServiceName, durationMs: number): void;
  /** Returns whether a request with this deadline can be expected to end in time. */
  canEnd(service: ServiceName, deadlineAt: number): boolean;
  /** Returns the earlier of a deadline and the time by which requests must have ended. */
  limitDeadline(deadlineAt: number): number;
}

/**
 * Creates the gate, which is open.
 *
 * @param clock - Clock that deadlines are measured by.
 * @returns The gate.
 */
export function createStopGate(clock: Clock): StopGate {
  /** Longest time of recent requests by service, in milliseconds; there are as many as services. */
  const longestMs = new Map<ServiceName, number>();
  let endsBy = Number.POSITIVE_INFINITY;

  return {
    close: (stopsAt) => {
      endsBy = stopsAt - ANSWER_MARGIN_MS;
    },
    record: (service, durationMs) => {
      const expectedMs = longestMs.get(service) ?? 0;
      longestMs.set(service, Math.max(durationMs, expectedMs - (expectedMs - durationMs) * DECAY));
    },
    canEnd: (service, deadlineAt) => {
      const expectedAt = clock.now() + (longestMs.get(service) ?? Number.POSITIVE_INFINITY);
      return Math.min(expectedAt, deadlineAt) <= endsBy;
    },
    limitDeadline: (deadlineAt) => Math.min(deadlineAt, endsBy),
  };
}
