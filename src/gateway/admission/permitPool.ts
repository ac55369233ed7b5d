/** A token bucket for each rate-limited backend server, from which all daemons take the permits of their requests. */
import type { Clock, ServerName } from "../../types";

const MILLISECONDS_PER_SECOND = 1000;
/** Permits that may gather, as a time at the server's rate: bounds the burst after a pause. */
const MAX_BURST_MS = 500;
/** With a permit in this time, the end of a limit shows even if the server accepts next to nothing. */
export const MIN_PERMITS_PER_SECOND = 0.25;

/** Whether a request may be sent. */
export type Permit =
  | { readonly kind: "granted" }
  /** No permit is expected to be free before `waitMs` have passed. */
  | { readonly kind: "denied"; readonly waitMs: number };

/** Permits of all rate-limited servers. */
export interface PermitPool {
  /** Takes a permit of a server that accepts the given rate. */
  take(server: ServerName, requestsPerSecond: number): Permit;
  /** Removes the buckets of servers without a limit. */
  retain(isLimited: (server: ServerName) => boolean): void;
  /** Removes all buckets. */
  clear(): void;
}

/**
 * Creates a pool whose buckets start with no permits: an earlier pool may just have given them out.
 *
 * @param clock - Clock that the rates are measured by.
 * @returns The pool.
 */
export function createPermitPool(clock: Clock): PermitPool {
  const buckets = new Map<ServerName, { permits: number; updatedAt: number }>();

  return {
    take: (server, requestsPerSecond) => {
      const now = clock.now();
      const perMs = Math.max(requestsPerSecond, MIN_PERMITS_PER_SECOND) / MILLISECONDS_PER_SECOND;
      const bucket = buckets.get(server) ?? { permits: 0, updatedAt: now };
      buckets.set(server, bucket);
      const gathered = bucket.permits + (now - bucket.updatedAt) * perMs;
      bucket.permits = Math.min(gathered, Math.max(1, MAX_BURST_MS * perMs));
      bucket.updatedAt = now;
      if (bucket.permits < 1) {
        return { kind: "denied", waitMs: (1 - bucket.permits) / perMs };
      }
      bucket.permits -= 1;
      return { kind: "granted" };
    },
    retain: (isLimited) => {
      for (const server of buckets.keys()) {
        if (!isLimited(server)) {
          buckets.delete(server);
        }
      }
    },
    clear: () => {
      buckets.clear();
    },
  };
}
