/** Counts requests per key, with exponential decay of older requests. */
import type { Clock } from "../types";
import { KEY_COUNT, type KeyRange } from "./types";

/**
 * Short, since busy keys change within seconds, but long enough to count the few hundred requests that
 * distinguish them from random variation.
 */
const HALF_LIFE_MS = 1500;
/** Requests per second for one decayed request: at a steady rate, the decayed requests are the rate by this. */
const RATE_PER_LOAD = (Math.LN2 * 1000) / HALF_LIFE_MS;
/** Eight half-lives keep the stored counts within a factor of 256 of the decayed ones. */
const RESCALE_INTERVAL_MS = 8 * HALF_LIFE_MS;

/** Decayed request counts per key. */
export interface KeyLoad {
  /** Records requests for a key. */
  record(key: number, requests?: number): void;
  /** Returns a function that gives the decayed requests of any range as of now, in constant time. */
  measure(): (range: KeyRange) => number;
  /** Returns a function that gives the requests per second for any range, in constant time. */
  measureRate(): (range: KeyRange) => number;
}

/**
 * Creates a key load without requests.
 *
 * @param clock - Clock that the decay follows.
 * @returns The key load.
 */
export function createKeyLoad(clock: Clock): KeyLoad {
  /** Requests scaled to `scaledAt`; all counts are decayed only once per {@link RESCALE_INTERVAL_MS}. */
  const counts = new Float64Array(KEY_COUNT);
  let scaledAt = clock.now();

  return {
    record: (key, requests = 1) => {
      const factor = updateDecayFactor();
      counts[key] = (counts[key] ?? 0) + requests / factor;
    },
    measure,
    measureRate: () => {
      const getLoad = measure();
      return (range) => getLoad(range) * RATE_PER_LOAD;
    },
  };

  function measure(): (range: KeyRange) => number {
    const factor = updateDecayFactor();
    const prefixSums = computePrefixSums(counts);
    return (range) => ((prefixSums[range.to + 1] ?? 0) - (prefixSums[range.from] ?? 0)) * factor;
  }

  /**
   * Returns the factor by which counts have decayed since `scaledAt`. Rescales the counts if that is due, so
   * callers must call it before they read a count.
   */
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

/** Returns, for each key, the sum of the counts of all keys before it. */
function computePrefixSums(counts: Float64Array): Float64Array {
  const prefixSums = new Float64Array(KEY_COUNT + 1);
  for (let key = 0; key < KEY_COUNT; key += 1) {
    prefixSums[key + 1] = (prefixSums[key] ?? 0) + (counts[key] ?? 0);
  }
  return prefixSums;
}
