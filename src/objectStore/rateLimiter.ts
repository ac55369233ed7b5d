/** Limits the rate of platform calls; waiting calls are admitted in order of priority. */
import type { CancelTimer, Clock } from "../types";
import type { CallPriority } from "./types";

const MILLISECONDS_PER_SECOND = 1000;

/** Admits calls at a bounded rate. */
export interface RateLimiter {
  /** Waits until the rate permits a call. Calls are admitted in order of priority, then of arrival. */
  acquire(priority: CallPriority): Promise<void>;
}

interface Waiter {
  readonly priority: CallPriority;
  readonly resolve: () => void;
}

/**
 * Creates a token bucket that holds at most one second of calls.
 *
 * @param clock - Clock that refills the bucket.
 * @param callsPerSecond - Calls admitted each second.
 * @returns The rate limiter.
 */
export function createRateLimiter(clock: Clock, callsPerSecond: number): RateLimiter {
  const waiters: Waiter[] = [];
  let tokens = callsPerSecond;
  let filledAt = clock.now();
  let cancelTimer: CancelTimer | undefined;

  return {
    acquire: (priority) => {
      const admitted = new Promise<void>((resolve) => {
        insertByPriority({ priority, resolve });
      });
      admitWaiters();
      return admitted;
    },
  };

  function insertByPriority(waiter: Waiter): void {
    const index = waiters.findIndex((other) => other.priority > waiter.priority);
    waiters.splice(index === -1 ? waiters.length : index, 0, waiter);
  }

  function admitWaiters(): void {
    refill();
    while (tokens >= 1 && waiters.length > 0) {
      tokens -= 1;
      waiters.shift()?.resolve();
    }
    if (waiters.length > 0 && cancelTimer === undefined) {
      const delayMs = Math.ceil(((1 - tokens) / callsPerSecond) * MILLISECONDS_PER_SECOND);
      cancelTimer = clock.schedule(delayMs, () => {
        cancelTimer = undefined;
        admitWaiters();
      });
    }
  }

  function refill(): void {
    const now = clock.now();
    const gained = ((now - filledAt) / MILLISECONDS_PER_SECOND) * callsPerSecond;
    tokens = Math.min(callsPerSecond, tokens + gained);
    filledAt = now;
  }
}
