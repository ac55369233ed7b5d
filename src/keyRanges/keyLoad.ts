/** Counts requests by groups of neighbouring keys, with older requests counting less. */
import type { Clock } from "../types";
import { KEY_COUNT, type KeyRange } from "./types";

/** Keys that are counted together: fine enough to cut a busy neighbourhood apart. */
export const KEYS_PER_GROUP = 16;
const GROUPS = KEY_COUNT / KEYS_PER_GROUP;
/** Busy keys change within seconds; a few hundred requests are needed to tell them from chance. */
const HALF_LIFE_MS = 2500;
/** Keeps stored counts within a factor of 256 of the decayed ones. */
const RESCALE_MS = 8 * HALF_LIFE_MS;

/** Requests by key. */
export interface KeyLoad {
  /** Takes note of requests for a key. */
  record(key: number, requests?: number): void;
  /** Decayed requests of all keys in a range. */
  of(range: KeyRange): number;
}

/**
 * Creates empty counts.
 *
 * @param clock - Clock of the decay.
 * @returns The counts.
 */
export function createKeyLoad(clock: Clock): KeyLoad {
  /** Requests as of `scaledAt`, so that decaying them all is needed only now and then. */
  const counts = new Float64Array(GROUPS);
  let scaledAt = clock.now();

  return {
    record: (key, requests = 1) => {
      const group = Math.floor(key / KEYS_PER_GROUP);
      const factor = currentFactor();
      counts[group] = (counts[group] ?? 0) + requests / factor;
    },
    of: (range) => {
      const first = Math.floor(range.from / KEYS_PER_GROUP);
      const last = Math.floor(range.to / KEYS_PER_GROUP);
      const factor = currentFactor();
      let total = 0;
      for (let group = first; group <= last; group += 1) {
        total += counts[group] ?? 0;
      }
      return total * factor;
    },
  };

  /** What a count of `scaledAt` is worth now. Rescales the counts when they are old, so callers take it before they read one. */
  function currentFactor(): number {
    const factor = 0.5 ** ((clock.now() - scaledAt) / HALF_LIFE_MS);
    if (clock.now() - scaledAt < RESCALE_MS) {
      return factor;
    }
    for (let group = 0; group < GROUPS; group += 1) {
      counts[group] = (counts[group] ?? 0) * factor;
    }
    scaledAt = clock.now();
    return 1;
  }
}
