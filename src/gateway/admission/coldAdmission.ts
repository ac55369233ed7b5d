/** Limits the rate at which all daemons together send requests to a cold backend server. */
import type { Clock, ServerName } from "../../types";

const MILLISECONDS_PER_SECOND = 1000;
/**
 * Share of the limit that daemons use. They do not coordinate their sends, so one second can see more requests
 * than the mean; the rest of the limit covers that.
 */
const USED_RATE_SHARE = 0.9;

/** Admission of requests to cold backend servers. */
export interface ColdAdmission {
  /** Admits one request. Returns false when this daemon's share of the server's rate is used up. */
  tryAcquire(server: ServerName, requestsPerSecond: number): boolean;
  /**
   * Returns whether a request would be admitted, without using up the rate. Always false before the first request to
   * the server, since its time is not drawn until then.
   */
  isDue(server: ServerName): boolean;
  /** Returns the time until this daemon may send the server its next request, in milliseconds. */
  getWaitMs(server: ServerName): number;
  /** Removes the state of servers that are no longer cold. */
  retain(isCold: (server: ServerName) => boolean): void;
}

/**
 * Creates an admission without any state.
 *
 * @param clock - Clock that the rates are measured by.
 * @param random - Uniform random numbers in [0, 1); they spread the daemons' first requests over time.
 * @param getClusterSize - Returns the number of daemons that share a server's rate.
 * @returns The admission.
 */
export function createColdAdmission(
  clock: Clock,
  random: () => number,
  getClusterSize: () => number,
): ColdAdmission {
  const nextAt = new Map<ServerName, number>();

  return {
    tryAcquire: (server, requestsPerSecond) => {
      const now = clock.now();
      const intervalMs = (MILLISECONDS_PER_SECOND * getClusterSize()) / (requestsPerSecond * USED_RATE_SHARE);
      if (!nextAt.has(server)) {
        nextAt.set(server, now + random() * intervalMs);
      }
      if (!isDue(server)) {
        return false;
      }
      nextAt.set(server, now + intervalMs);
      return true;
    },
    isDue,
    getWaitMs: (server) => Math.max(0, (nextAt.get(server) ?? 0) - clock.now()),
    retain: (isCold) => {
      for (const server of nextAt.keys()) {
        if (!isCold(server)) {
          nextAt.delete(server);
        }
      }
    },
  };

  function isDue(server: ServerName): boolean {
    return clock.now() >= (nextAt.get(server) ?? Number.POSITIVE_INFINITY);
  }
}
