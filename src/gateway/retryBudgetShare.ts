/** Bounds the extra attempts that all daemons together put on a service, by this daemon's share of its requests. */
import type { Clock, ServiceName } from "../types";

/** Resolution of the sliding window. */
const BUCKETS = 10;
/** Leaves room for repeats that reach a server although this daemon took them for unsent. */
const USED_BUDGET_SHARE = 0.75;

interface Bucket {
  index: number;
  requests: number;
  retries: number;
}

/** Extra attempts by service. */
export interface RetryBudgetShare {
  /** Takes note of a caller's request. */
  recordRequest(service: ServiceName): void;
  /** Takes one extra attempt. Returns false when the share is used up. */
  tryAcquire(service: ServiceName): boolean;
}

/** Bounds over all daemons. */
export interface RetryBudgetLimits {
  /** Extra attempts for each request within the window. */
  readonly ratio: number;
  readonly windowMs: number;
  /** Extra attempts within the window that need no requests. */
  readonly slack: number;
}

/**
 * Creates the share.
 *
 * @param clock - Clock of the window.
 * @param limits - Bounds over all daemons.
 * @param fleetSize - Number of daemons that share the slack.
 * @returns The share.
 */
export function createRetryBudgetShare(
  clock: Clock,
  limits: RetryBudgetLimits,
  fleetSize: () => number,
): RetryBudgetShare {
  const services = new Map<ServiceName, Bucket[]>();
  const bucketMs = limits.windowMs / BUCKETS;

  return {
    recordRequest: (service) => {
      currentBucket(service).requests += 1;
    },
    tryAcquire: (service) => {
      const bucket = currentBucket(service);
      const recent = (services.get(service) ?? []).filter((each) => bucket.index - each.index < BUCKETS);
      const requests = sum(recent.map((each) => each.requests));
      const retries = sum(recent.map((each) => each.retries));
      const allowed = USED_BUDGET_SHARE * (limits.ratio * requests + limits.slack / fleetSize());
      if (retries + 1 > allowed) {
        return false;
      }
      bucket.retries += 1;
      return true;
    },
  };

  function currentBucket(service: ServiceName): Bucket {
    const index = Math.floor(clock.now() / bucketMs);
    const buckets = services.get(service) ?? [];
    services.set(service, buckets);
    const slot = index % BUCKETS;
    let bucket = buckets[slot];
    if (bucket?.index !== index) {
      bucket = { index, requests: 0, retries: 0 };
      buckets[slot] = bucket;
    }
    return bucket;
  }
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
