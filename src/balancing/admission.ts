/** Admits requests to one backend server: exact limit in flight, bounded queue, shedding at arrival. */
import { type CancelTimer, type Clock, type LoadReport, RefusalReason } from "../types";

const LATENCY_SMOOTHING_FACTOR = 0.1;

/** What an admission is made from. */
export interface AdmissionOptions {
  readonly clock: Clock;
  /** Requests that may be in flight now. */
  readonly limit: () => number;
  /** Requests that may wait. */
  readonly queueLength: number;
  /** Longest wait in milliseconds. */
  readonly queueTimeoutMs: number;
}

/** A place at the server. */
export interface AdmissionPermit {
  /** Frees the place. Call it exactly once. */
  release(latencyMs: number | undefined): void;
}

/** Answer to a request for a place. */
export type AdmissionResult =
  | { readonly kind: "admitted"; readonly permit: AdmissionPermit }
  | { readonly kind: "refused"; readonly reason: RefusalReason };

/** Admission to one backend server. */
export interface Admission {
  /** Waits for a place, at most until the deadline or the queue timeout. */
  acquire(deadlineAt: number, signal: AbortSignal): Promise<AdmissionResult>;
  /** Counts requests of a previous leaseholder that still run. */
  setPredecessorInFlight(count: number): void;
  /** Admits waiting requests after the limit has risen. */
  admitWaiting(): void;
  /** Refuses all waiting and later requests. */
  close(reason: RefusalReason): void;
  /** The load now. */
  load(): LoadReport;
}

interface Waiter {
  readonly finish: (result: AdmissionResult) => void;
}

/**
 * Creates the admission of one server.
 *
 * @param options - Limits and clock.
 * @returns The admission.
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
    load: () => ({ inFlight, queued: waiters.length, limit: options.limit(), latencyMs }),
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
