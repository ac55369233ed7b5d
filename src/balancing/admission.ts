/**
 * Admission control for one backend server: an exact limit on requests in flight, a bounded queue, and load
 * shedding on arrival.
 */
import { type CancelTimer, type Clock, type LoadReport, RefusalReason } from "../types";

/** Weight of a new answer in the moving average of the latency. */
const LATENCY_SMOOTHING_FACTOR = 0.1;

/** Options for {@link createAdmission}. */
export interface AdmissionOptions {
  readonly clock: Clock;
  /** Returns the number of requests that may be in flight now. */
  readonly limit: () => number;
  /** Maximum number of queued requests. */
  readonly queueLength: number;
  /** Maximum time in the queue in milliseconds. */
  readonly queueTimeoutMs: number;
}

/** Permit for one request in flight at the server. */
export interface AdmissionPermit {
  /**
   * Releases the permit; must be called exactly once. The average latency ignores an undefined `latencyMs`.
   */
  release(latencyMs: number | undefined): void;
}

/** Result of requesting a permit. */
export type AdmissionResult =
  | { readonly kind: "admitted"; readonly permit: AdmissionPermit }
  | { readonly kind: "refused"; readonly reason: RefusalReason };

/** Admission control for one backend server. */
export interface Admission {
  /** Waits for a permit, at most until the deadline or the queue timeout. */
  acquire(deadlineAt: number, signal: AbortSignal): Promise<AdmissionResult>;
  /**
   * Sets the number of requests from previous leaseholders that are still running; they count towards the
   * limit.
   */
  setPredecessorInFlight(count: number): void;
  /** Admits queued requests after the limit has increased. */
  admitWaiting(): void;
  /** Refuses all queued and later requests. */
  close(reason: RefusalReason): void;
  /** Returns the current load. */
  getLoad(): LoadReport;
}

interface Waiter {
  readonly finish: (result: AdmissionResult) => void;
}

/**
 * Creates the admission control of one server.
 *
 * @param options - Limits and clock.
 * @returns The admission control.
 */
export function createAdmission(options: AdmissionOptions): Admission {
  const { clock } = options;
  const waiters: Waiter[] = [];
  let inFlight = 0;
  let predecessorInFlight = 0;
  let latencyMs = 0;
  let closedReason: RefusalReason | undefined;

  return {
    acquire: (deadlineAt, signal) => {
      if (closedReason !== undefined) {
        return Promise.resolve(refuse(closedReason));
      }
      if (signal.aborted) {
        return Promise.resolve(refuse(RefusalReason.CallerGone));
      }
      if (waiters.length === 0 && hasRoom()) {
        return Promise.resolve(admit());
      }
      const waitMs = Math.min(options.queueTimeoutMs, deadlineAt - clock.now());
      if (waiters.length >= options.queueLength || estimateWaitMs() > waitMs) {
        return Promise.resolve(refuse(RefusalReason.QueueFull));
      }
      return wait(waitMs, signal);
    },
    setPredecessorInFlight: (count) => {
      predecessorInFlight = count;
      admitWaiters();
    },
    admitWaiting: admitWaiters,
    close: (reason) => {
      closedReason = reason;
      for (const waiter of waiters.splice(0)) {
        waiter.finish(refuse(reason));
      }
    },
    getLoad: () => ({ inFlight, queued: waiters.length, limit: options.limit(), latencyMs }),
  };

  function hasRoom(): boolean {
    return inFlight + predecessorInFlight < options.limit();
  }

  function admit(): AdmissionResult {
    inFlight += 1;
    return { kind: "admitted", permit: { release } };
  }

  function release(answerLatencyMs: number | undefined): void {
    inFlight -= 1;
    if (answerLatencyMs !== undefined) {
      latencyMs =
        latencyMs === 0
          ? answerLatencyMs
          : latencyMs + (answerLatencyMs - latencyMs) * LATENCY_SMOOTHING_FACTOR;
    }
    admitWaiters();
  }

  function admitWaiters(): void {
    while (hasRoom()) {
      const waiter = waiters.shift();
      if (waiter === undefined) {
        return;
      }
      waiter.finish(admit());
    }
  }

  function wait(waitMs: number, signal: AbortSignal): Promise<AdmissionResult> {
    return new Promise((resolve) => {
      const waiter: Waiter = {
        finish: (result) => {
          cancelTimer();
          signal.removeEventListener("abort", onAbort);
          resolve(result);
        },
      };
      const removeWaiter = (reason: RefusalReason) => {
        const index = waiters.indexOf(waiter);
        if (index !== -1) {
          waiters.splice(index, 1);
          waiter.finish(refuse(reason));
        }
      };
      const onAbort = () => {
        removeWaiter(RefusalReason.CallerGone);
      };
      const cancelTimer: CancelTimer = clock.schedule(waitMs, () => {
        removeWaiter(RefusalReason.QueueTimeout);
      });
      signal.addEventListener("abort", onAbort);
      waiters.push(waiter);
    });
  }

  function estimateWaitMs(): number {
    return ((waiters.length + 1) / options.limit()) * latencyMs;
  }
}

function refuse(reason: RefusalReason): AdmissionResult {
  return { kind: "refused", reason };
}
