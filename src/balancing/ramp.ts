/** Limits the requests in flight at a backend server that is cold or not known yet. */
import type { Clock } from "../types";

/** A report of coldness this soon after a ramp ended is taken for a late one. */
const LATE_REPORT_MS = 1500;
/** A report may keep a server below full load for at most this many ramps. */
const MAX_RAMPS = 2;
const BASELINE_SMOOTHING_FACTOR = 0.05;
const SLOW_LATENCY_FACTOR = 6;
const MIN_SLOW_LATENCY_MS = 50;
const SLOW_ANSWERS_FOR_COLD_START = 4;

type RampState =
  | { readonly kind: "full"; readonly since: number }
  /** Just taken over: one request more for each whole answer. */
  | { readonly kind: "learning"; readonly answers: number }
  | { readonly kind: "cold"; readonly since: number; readonly answers: number };

/** What a new leaseholder needs to continue a ramp. */
export interface RampPosition {
  readonly isCold: boolean;
  /** Time since the server was first seen cold, in milliseconds. */
  readonly coldForMs: number;
  readonly answers: number;
}

/** The admission ramp of one backend server. */
export interface Ramp {
  /** Requests that may be in flight now. */
  limit(): number;
  /** Whether a cold start is in progress. */
  isCold(): boolean;
  /** Takes note of a whole answer and its latency in milliseconds. */
  recordAnswer(latencyMs: number): void;
  /** Takes note of the server's own word. Returns true when a cold start begins. */
  recordReport(isCold: boolean): boolean;
  /** Takes note that the server's process is a new one, which is cold. */
  startCold(): void;
  /** Starts with one request again, unless a cold start is in progress, since the server may be a new process. */
  restartLearning(): void;
  /** Continues where the previous leaseholder was. */
  resume(position: RampPosition): void;
  /** Gives the position for a successor. */
  position(): RampPosition;
}

/**
 * Creates a ramp that starts with one request, since nothing is known of the server yet.
 *
 * @param clock - Clock of the ramp.
 * @param slots - Requests that the warm server runs at once.
 * @param rampMs - Time in which a cold server takes up full load, in milliseconds.
 * @returns The ramp.
 */
export function createRamp(clock: Clock, slots: number, rampMs: number): Ramp {
  let state: RampState = { kind: "learning", answers: 0 };
  let baselineMs: number | undefined;
  let slowAnswers = 0;

  return {
    limit: () => {
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
    position: () => {
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

  /** The share that the elapsed time allows, opened one place at a time by answers. */
  function computeColdLimit(since: number, answers: number): number {
    const share = Math.floor((slots * (clock.now() - since)) / rampMs);
    return Math.min(slots, Math.max(1, Math.min(share, 1 + answers)));
  }

  /** Servers turn cold without notice: several answers in a row far above the usual latency show it. */
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
