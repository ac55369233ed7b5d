/** Counts requests by groups of neighbouring keys, with older requests counting less. */
import type { Clock } from "../types";
import { KEY_COUNT, type KeyRange } from "./types";

/** Keys that are counted together: fine enough to cut a busy neighbourhood apart. */
export const KEYS_PER_GROUP = 16;
const GROUPS = KEY_COUNT / KEYS_PER_GROUP;
/** Busy keys change within seconds; a few hundred requests are needed to tell them from chance. */
const HALF_LIFE_MS = 2500;

/** Requests by key. */
export interface KeyLoad {
  /** Takes note of requests for a key. */
  record(key: number, requests?: number): void;
  /** Decayed requests of all keys in a range. */
  of(range: KeyRange): number;
  /** Decayed requests of the groups, from the lowest keys on. */
  groups(): Readonly<Float64Array>;
}

/**
 * Creates empty counts.
 *
 * @param clock - Clock of the decay.
 * @returns The counts.
 */
export function createKeyLoad(clock: Clock): KeyLoad {
  const counts = new Float64Array(GROUPS);
  let decayedAt = clock.now();

  return {
    record: (key, requests = 1) => {
      const group = Math.floor(key / KEYS_PER_GROUP);
      counts[group] = (counts[group] ?? 0) + requests;
    },
    of: (range) => {
      decay();
      let total = 0;
      for (
        let group = Math.floor(range.from / KEYS_PER_GROUP);
        group <= Math.floor(range.to / KEYS_PER_GROUP);
        group += 1
      ) {
        total += counts[group] ?? 0;
      }
      return total;
    },
    groups: () => {
      decay();
      return counts;
    },
  };

  function decay(): void {
    const factor = 0.5 ** ((clock.now() - decayedAt) / HALF_LIFE_MS);
    decayedAt = clock.now();
    for (let group = 0; group < GROUPS; group += 1) {
      counts[group] = (counts[group] ?? 0) * factor;
    }
  }
}
