/** Counts requests by key, with older requests counting less. */
import type { Clock } from "../types";
import { KEY_COUNT, type KeyRange } from "./types";

/** Busy keys change within seconds; a few hundred requests are needed to tell them from chance. */
const HALF_LIFE_MS = 1500;
/** Keeps stored counts within a factor of 256 of the decayed ones. */
const RESCALE_INTERVAL_MS = 8 * HALF_LIFE_MS;

/** Requests by key. */
export interface KeyLoad {
  /** Takes note of requests for a key. */
  record(key: number, requests?: number): void;
  /** Decayed requests as of now; the result reads any range at once. */
  measure(): (range: KeyRange) => number;
}

/**
 * Creates empty counts.
 *
 * @param clock - Clock of the decay.
 * @returns The counts.
 */
export function createKeyLoad(clock: Clock): KeyLoad {
  /** Requests as of `scaledAt`, so that decaying them all is needed only now and then. */
  const counts = new Float64Array(KEY_COUNT);
  let scaledAt = clock.now();

  return {
    record: (key, requests = 1) => {
      const factor = updateDecayFactor();
      counts[key] = (counts[key] ?? 0) + requests / factor;
    },
    measure: () => {
      const factor = updateDecayFactor();
      const prefixSums = computePrefixSums(counts);
      return (range) => ((prefixSums[range.to + 1] ?? 0) - (prefixSums[range.from] ?? 0)) * factor;
    },
  };

  /** What a count of `scaledAt` is worth now. Rescales the counts when they are old, so callers take it before they read one. */
  function updateDecayFactor(): number {
    const factor = 0.5 ** ((clock.now() - scaledAt) / HALF_LIFE_MS);
    if (clock.now() - scaledAt < RESCALE_INTERVAL_MS) {
      return factor;
    }
    for (let key = 0; key < KEY_COUNT; key += 1) {
      counts[key] = (counts[key] ?? 0) * factor;
    }
    scaledAt = clock.now();
    return 1;
  }
}

/** The counts of all keys before each key. */
function computePrefixSums(counts: Float64Array): Float64Array {
  const prefixSums = new Float64Array(KEY_COUNT + 1);
  for (let key = 0; key < KEY_COUNT; key += 1) {
    prefixSums[key + 1] = (prefixSums[key] ?? 0) + (counts[key] ?? 0);
  }
  return prefixSums;
}
