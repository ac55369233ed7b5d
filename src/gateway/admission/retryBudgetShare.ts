/**
 * Limits the extra attempts that all daemons together send to a service: each daemon retries
 * in proportion to its own share of the requests.
 */
import type { Clock, ServiceName } from "../../types";

/** Number of buckets of the sliding window. */
const BUCKETS = 10;
/**
 * Share of the budget that daemons use. The rest covers retries that reach a server although this daemon
 * regards them as not sent.
 */
const USED_BUDGET_SHARE = 0.75;

interface Bucket {
  index: number;
  requests: number;
  retries: number;
}

/** This daemon's share of the retry budget of each service. */
export interface RetryBudgetShare {
  /** Records a caller's request. */
  recordRequest(service: ServiceName): void;
  /** Uses up one extra attempt. Returns false when this daemon's share is used up. */
  tryAcquire(service: ServiceName): boolean;
}

/** Limits for all daemons together. */
export interface RetryBudgetLimits {
  /** Extra attempts allowed for each request within the window. */
  readonly ratio: number;
  readonly windowMs: number;
  /** Extra attempts allowed within the window whatever the number of requests. */
  readonly slack: number;
}

/**
 * Creates a daemon's share of the retry budgets.
 *
 * @param clock - Clock that the window is measured by.
 * @param limits - Limits for all daemons together.
 * @param getClusterSize - Returns the number of daemons that share the slack.
 * @returns The share.
 */
export function createRetryBudgetShare(
  clock: Clock,
  limits: RetryBudgetLimits,
  getClusterSize: () => number,
): RetryBudgetShare {
  const services = new Map<ServiceName, Bucket[]>();
  const bucketMs = limits.windowMs / BUCKETS;

  return {
    recordRequest: (service) => {
      getCurrentBucket(service).requests += 1;
    },
    tryAcquire: (service) => {
      const bucket = getCurrentBucket(service);
      const recent = (services.get(service) ?? []).filter((each) => bucket.index - each.index < BUCKETS);
      const requests = sum(recent.map((each) => each.requests));
      const retries = sum(recent.map((each) => each.retries));
      const allowed = USED_BUDGET_SHARE * (limits.ratio * requests + limits.slack / getClusterSize());
      if (retries + 1 > allowed) {
        return false;
      }
      bucket.retries += 1;
      return true;
    },
  };

  function getCurrentBucket(service: ServiceName): Bucket {
    const index = Math.floor(clock.now() / bucketMs);
    const buckets = services.get(service) ?? [];
    services.set(service, buckets);
    const position = index % BUCKETS;
    let bucket = buckets[position];
    if (bucket?.index !== index) {
      bucket = { index, requests: 0, retries: 0 };
      buckets[position] = bucket;
    }
    return bucket;
  }
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
