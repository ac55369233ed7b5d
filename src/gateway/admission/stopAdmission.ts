/** Decides which requests a stopping daemon still sends to backend servers. */
import type { Clock } from "../../types";
import { RejectionReason } from "../attemptTypes";
import type { DispatchResult, RoutedRequest } from "../dispatchTypes";
import { type ProcessDelay, createProcessDelay } from "./processDelay";
import { createRouteCosts } from "./routeCosts";

/** A refused caller may return at once: it reaches another daemon. */
const RETRY_AFTER_MS = 20;

/** Admission of requests while the daemon is stopping. */
export interface StopAdmission {
  /** Records the time from the dispatch of a request to the end of its answer, in milliseconds. */
  recordAnswer(request: RoutedRequest, durationMs: number): void;
  /** Starts to refuse requests that may not end by `exitAt`, a local time. Returns the delay of this process. */
  start(exitAt: number): ProcessDelay;
  /** Takes deadlines for the ends of requests from now on: the callers that are left have other daemons to go to. */
  restrictToDeadlines(): void;
  /**
   * Does the same at once on a daemon that is short of processor time: it has a backlog of requests, and those that it
   * refuses leave it time to answer the others.
   */
  restrictIfLate(): void;
  /** Returns the refusal of a request; undefined when it ends in time. */
  findRefusal(request: RoutedRequest): DispatchResult | undefined;
}

/**
 * Creates the admission of a daemon that is not stopping.
 *
 * @param clock - Clock that deadlines are measured by.
 * @param countPending - Counts the requests that have been read and not answered.
 * @returns The admission.
 */
export function createStopAdmission(clock: Clock, countPending: () => number): StopAdmission {
  // Unlike the costs of the servers' work, with retries, waits and the transfer of streamed answers.
  const durations = createRouteCosts();
  const processDelay = createProcessDelay(clock);
  let exitAt = Number.POSITIVE_INFINITY;
  let isRestricted = false;

  return {
    recordAnswer: ({ route, service }, durationMs) => {
      durations.record(route, service.name, durationMs);
      processDelay.recordAnswer();
    },
    start: (at) => {
      exitAt = at;
      processDelay.start(at);
      return processDelay;
    },
    restrictToDeadlines: () => {
      isRestricted = true;
    },
    restrictIfLate: () => {
      isRestricted ||= processDelay.getDelayMs() > 0;
    },
    findRefusal,
  };

  function findRefusal({ route, service, deadlineAt }: RoutedRequest): DispatchResult | undefined {
    const now = clock.now();
    const remainingMs = deadlineAt - now;
    const usualMs = isRestricted ? undefined : durations.findUsualMs(route, service.name);
    // Past its deadline, too, a request is in flight until the daemon gets to answering it.
    const ownMs = processDelay.estimateMs(countPending());
    const expectedMs = Math.min(remainingMs, usualMs ?? remainingMs) + ownMs;
    const exitInMs = exitAt - now;
    if (expectedMs <= exitInMs) {
      return undefined;
    }
    return {
      kind: "notRun",
      reason: RejectionReason.Stopping,
      retryAfterMs: RETRY_AFTER_MS,
      inputs: {
        server: undefined,
        assignmentVersion: 0,
        expectedWaitMs: undefined,
        loadAgeMs: undefined,
        exitInMs: Math.round(exitInMs),
        expectedMs: Math.round(expectedMs),
        ownMs: Math.round(ownMs),
      },
    };
  }
}
