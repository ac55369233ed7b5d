/** Paces what a daemon permits on its own while the coordinator of a shared limit does not answer. */
import type { Clock } from "../../types";
import type { Permit } from "./permitPool";

/** Part of an equal share that a daemon uses on its own: the coordinator does not know of these requests at once. */
export const LOCAL_SHARE = 0.5;
const MILLISECONDS_PER_SECOND = 1000;

/** A daemon's own shares of limits, by the name of what is limited. */
export interface LocalShares {
  /**
   * Permits one request in each interval of this daemon's share.
   *
   * @param name - What is limited.
   * @param requestsPerSecond - The limit of all daemons together; above 0.
   * @param clusterSize - Number of daemons that share the limit.
   */
  take(name: string, requestsPerSecond: number, clusterSize: number): Permit;
  /** Removes the state of everything that is not limited any more. */
  retain(isLimited: (name: string) => boolean): void;
}

/**
 * Creates the shares.
 *
 * @param clock - Clock that the intervals are measured by.
 * @param random - Random numbers from 0 to below 1.
 * @returns The shares.
 */
export function createLocalShares(clock: Clock, random: () => number): LocalShares {
  /** Local time of the next request that this daemon may permit. */
  const dueAtByName = new Map<string, number>();

  return {
    take: (name, requestsPerSecond, clusterSize) => {
      const now = clock.now();
      const intervalMs = (MILLISECONDS_PER_SECOND * clusterSize) / (requestsPerSecond * LOCAL_SHARE);
      const known = dueAtByName.get(name);
      const isPaused = known === undefined || now >= known + intervalMs;
      // After a pause the time is drawn at random: daemons that get requests at the same moment must not all send at once.
      const dueAt = isPaused ? now + random() * intervalMs : Math.min(known, now + intervalMs);
      const isDue = now >= dueAt;
      dueAtByName.set(name, isDue ? now + intervalMs : dueAt);
      return isDue ? { kind: "granted" } : { kind: "denied", waitMs: dueAt - now };
    },
    retain: (isLimited) => {
      [...dueAtByName.keys()].filter((name) => !isLimited(name)).forEach((name) => dueAtByName.delete(name));
    },
  };
}
