/** Bounds the requests that all daemons together send to a cold backend server. */
import type { Clock, ServerName } from "../types";

const MILLISECONDS_PER_SECOND = 1000;
/** Daemons send in their own rhythm, so that a second may see more than the mean; the rest of the bound covers that. */
const USED_RATE_SHARE = 0.9;

/** Admits requests to cold servers. */
export interface ColdAdmission {
  /** Takes one request. Returns false when this daemon's share is used up. */
  tryAcquire(server: ServerName, requestsPerSecond: number): boolean;
  /** Time until the server can take the next request of this daemon, in milliseconds. */
  getWaitMs(server: ServerName): number;
  /** Forgets servers that are not cold any more. */
  retain(isCold: (server: ServerName) => boolean): void;
}

/**
 * Creates the admission.
 *
 * @param clock - Clock of the rates.
 * @param random - Uniform random numbers; they spread the daemons' first requests over time.
 * @param fleetSize - Number of daemons that share a server's rate.
 * @returns The admission.
 */
export function createColdAdmission(
  clock: Clock,
  random: () => number,
  fleetSize: () => number,
): ColdAdmission {
  const nextAt = new Map<ServerName, number>();

  return {
    tryAcquire: (server, requestsPerSecond) => {
      const now = clock.now();
      const intervalMs = (MILLISECONDS_PER_SECOND * fleetSize()) / (requestsPerSecond * USED_RATE_SHARE);
      const dueAt = nextAt.get(server) ?? now + random() * intervalMs;
      if (now < dueAt) {
        nextAt.set(server, dueAt);
        return false;
      }
      nextAt.set(server, now + intervalMs);
      return true;
    },
    getWaitMs: (server) => Math.max(0, (nextAt.get(server) ?? 0) - clock.now()),
    retain: (isCold) => {
      for (const server of nextAt.keys()) {
        if (!isCold(server)) {
          nextAt.delete(server);
        }
      }
    },
  };
}
