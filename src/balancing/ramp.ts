/**
 * Limits the requests in flight at a backend server that is in a cold start or whose state is not known yet.
 */
import type { Clock } from "../types";

/** A cold report within this time after the end of a ramp is assumed to be a late one and ignored. */
const LATE_REPORT_MS = 1500;
/** Cold reports can keep a server below full load for at most this many ramp durations. */
const MAX_RAMPS = 2;
/** Weight of a new answer in the moving average of the usual latency. */
const BASELINE_SMOOTHING_FACTOR = 0.05;
const SLOW_LATENCY_FACTOR = 6;
const MIN_SLOW_LATENCY_MS = 50;
const SLOW_ANSWERS_FOR_COLD_START = 4;

type RampState =
  | { readonly kind: "full"; readonly since: number }
  /** After a takeover: the limit increases by one with each complete answer. */
  | { readonly kind: "learning"; readonly answers: number }
  | { readonly kind: "cold"; readonly since: number; readonly answers: number };

/** State that a new leaseholder needs to continue a ramp. */
export interface RampPosition {
  readonly isCold: boolean;
  /** Time since the server was first observed cold, in milliseconds. */
  readonly coldForMs: number;
  readonly answers: number;
}

/** Admission ramp of one backend server. */
export interface Ramp {
  /** Returns the number of requests that may be in flight now. */
  getLimit(): number;
  /** Returns whether a cold start is in progress. */
  isCold(): boolean;
  /** Records a complete answer and its latency in milliseconds. */
  recordAnswer(latencyMs: number): void;
  /** Records whether the server reports itself as cold. Returns true when a cold start begins. */
  recordReport(isCold: boolean): boolean;
  /** Begins a cold start, because the server's process is a new one, which is cold. */
  startCold(): void;
  /**
   * Resets the limit to one request, since the server may be a new process. No effect during a cold start.
   */
  restartLearning(): void;
  /** Continues from the position of the previous leaseholder. */
  resume(position: RampPosition): void;
  /** Returns the position to hand over to the next leaseholder. */
  getPosition(): RampPosition;
}

/**
 * Creates a ramp that starts with a limit of one request, since the state of the server is not known yet.
 *
 * @param clock - Clock that measures the ramp.
 * @param slots - Requests that the server runs concurrently when warm.
 * @param rampMs - Time until a cold server may get full load, in milliseconds.
 * @returns The ramp.
 */
export function createRamp(clock: Clock, slots: number, rampMs: number): Ramp {
  let state: RampState = { kind: "learning", answers: 0 };
  let baselineMs: number | undefined;
  let slowAnswers = 0;

  return {
    getLimit: () => {
      switch (state.kind) {
        case "full":
          return slots;
        case "learning":
          return Math.min(slots, 1 + state.answers);
        case "cold":
          return computeColdLimit(state.since, state.answers);
        default:
          return state satisfies never;
      }
    },
    isCold: () => state.kind === "cold",
    recordAnswer: (latencyMs) => {
      applyAnswer();
      if (isSuddenlySlow(latencyMs)) {
        startCold();
      }
    },
    recordReport,
    startCold,
    restartLearning: () => {
      if (state.kind !== "cold") {
        state = { kind: "learning", answers: 0 };
      }
    },
    resume: (position) => {
      state = position.isCold
        ? { kind: "cold", since: clock.now() - position.coldForMs, answers: position.answers }
        : { kind: "learning", answers: position.answers };
    },
    getPosition: () => {
      const isCold = state.kind === "cold";
      return {
        isCold,
        coldForMs: state.kind === "cold" ? clock.now() - state.since : 0,
        answers: state.kind === "full" ? slots : state.answers,
      };
    },
  };

  function startCold(): void {
    state = { kind: "cold", since: clock.now(), answers: 0 };
    baselineMs = undefined;
    slowAnswers = 0;
  }

  function recordReport(isCold: boolean): boolean {
    if (!isCold) {
      finishRamp(1);
      return false;
    }
    if (state.kind === "cold") {
      finishRamp(MAX_RAMPS);
      return false;
    }
    if (state.kind === "full" && clock.now() - state.since < LATE_REPORT_MS) {
      return false;
    }
    startCold();
    return true;
  }

  function finishRamp(ramps: number): void {
    if (state.kind === "cold" && clock.now() - state.since >= rampMs * ramps) {
      state = { kind: "full", since: clock.now() };
    }
  }

  function applyAnswer(): void {
    if (state.kind === "full") {
      return;
    }
    state = { ...state, answers: state.answers + 1 };
    if (state.kind === "learning" && state.answers >= slots) {
      state = { kind: "full", since: clock.now() };
    }
  }

  /**
   * Computes the limit in a cold start: it grows in proportion to the elapsed time, by at most one per
   * answer.
   */
  function computeColdLimit(since: number, answers: number): number {
    const share = Math.floor((slots * (clock.now() - since)) / rampMs);
    return Math.min(slots, Math.max(1, Math.min(share, 1 + answers)));
  }

  /**
   * Detects a cold start that the server did not report, by consecutive answers far above the usual latency.
   */
  function isSuddenlySlow(latencyMs: number): boolean {
    if (state.kind === "cold") {
      return false;
    }
    baselineMs ??= latencyMs;
    const isSlow = latencyMs > Math.max(MIN_SLOW_LATENCY_MS, baselineMs * SLOW_LATENCY_FACTOR);
    if (!isSlow) {
      slowAnswers = 0;
      baselineMs += (latencyMs - baselineMs) * BASELINE_SMOOTHING_FACTOR;
      return false;
    }
    slowAnswers += 1;
    return slowAnswers >= SLOW_ANSWERS_FOR_COLD_START;
  }
}
