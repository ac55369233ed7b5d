/** Limits the extra attempts that retries and hedged requests add to the load of backend servers. */

/** A budget of extra attempts that each request adds to. */
export interface RetryBudget {
  /** Records the first attempt of a request, which adds to the budget. */
  recordRequest(): void;
  /** Takes one extra attempt from the budget. Returns false when the budget is exhausted. */
  tryAcquire(): boolean;
}

/**
 * Creates a retry budget.
 *
 * @param ratio - Extra attempts allowed per request.
 * @param capacity - Maximum number of extra attempts that can accumulate.
 * @returns The budget, initially half full.
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
