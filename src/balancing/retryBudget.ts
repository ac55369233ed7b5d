/** Bounds the extra attempts that retries and hedges put on backend servers. */

/** A budget of extra attempts, filled by requests. */
export interface RetryBudget {
  /** Takes note of a request's first attempt. */
  recordRequest(): void;
  /** Takes one extra attempt. Returns false when the budget is spent. */
  tryAcquire(): boolean;
}

/**
 * Creates a budget.
 *
 * @param ratio - Extra attempts allowed for each request.
 * @param capacity - Extra attempts that can be saved up.
 * @returns The budget, half full.
 */
export function createRetryBudget(ratio: number, capacity: number): RetryBudget {
  let tokens = capacity / 2;
  return {
    recordRequest: () => {
      tokens = Math.min(capacity, tokens + ratio);
    },
    tryAcquire: () => {
      if (tokens < 1) {
        return false;
      }
      tokens -= 1;
      return true;
    },
  };
}
