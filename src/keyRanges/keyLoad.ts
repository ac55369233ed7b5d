/** Counts requests per key, with exponential decay of older requests. */
import type { Clock } from "../types";
import { KEY_COUNT, type KeyRange } from "./types";

/**
 * Short, since busy keys change within seconds, but long enough to count the few hundred requests that
 * distinguish them from random variation.
 */
const HALF_LIFE_MS = 1500;
/**
 * Half-life of the counts that show a lasting difference between servers: with 7 requests/s at each of 100 servers, the
 * short one leaves 16 requests of each, of which the busiest has 1.7 times as many as the mean by chance.
 */
const STEADY_HALF_LIFE_MS = 10_000;
/** Eight half-lives keep the stored counts within a factor of 256 of the decayed ones. */
const RESCALE_HALF_LIVES = 8;

/** Decayed request counts per key. */
export interface KeyLoad {
  /** Records requests for a key. */
  record(key: number, requests?: number): void;
  /** Returns a function that gives the decayed requests of any range as of now, in constant time. */
  measure(): (range: KeyRange) => number;
  /** Returns a function like that of `measure`, whose requests decay more slowly. */
  measureSteady(): (range: KeyRange) => number;
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
  const recent = createDecayingCounts(clock, HALF_LIFE_MS);
  const steady = createDecayingCounts(clock, STEADY_HALF_LIFE_MS);
  /** Requests per second for one decayed request: at a steady rate, the decayed requests are the rate by this. */
  const ratePerLoad = (Math.LN2 * 1000) / HALF_LIFE_MS;

  return {
    record: (key, requests = 1) => {
      recent.record(key, requests);
      steady.record(key, requests);
    },
    measure: () => recent.measure(),
    measureSteady: () => steady.measure(),
    measureRate: () => {
      const getLoad = recent.measure();
      return (range) => getLoad(range) * ratePerLoad;
    },
  };
}

interface DecayingCounts {
  record(key: number, requests: number): void;
  measure(): (range: KeyRange) => number;
}

function createDecayingCounts(clock: Clock, halfLifeMs: number): DecayingCounts {
  /** Requests scaled to `scaledAt`; all counts are decayed only once per {@link RESCALE_HALF_LIVES}. */
  const counts = new Float64Array(KEY_COUNT);
  let scaledAt = clock.now();

  return {
    record: (key, requests) => {
      const factor = updateDecayFactor();
      counts[key] = (counts[key] ?? 0) + requests / factor;
    },
    measure: () => {
      const factor = updateDecayFactor();
      const prefixSums = computePrefixSums(counts);
      return (range) => ((prefixSums[range.to + 1] ?? 0) - (prefixSums[range.from] ?? 0)) * factor;
    },
  };

  /**
   * Returns the factor by which counts have decayed since `scaledAt`. Rescales the counts if that is due, so
   * callers must call it before they read a count.
   */
  function updateDecayFactor(): number {
    const factor = 0.5 ** ((clock.now() - scaledAt) / halfLifeMs);
    if (clock.now() - scaledAt < RESCALE_HALF_LIVES * halfLifeMs) {
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
