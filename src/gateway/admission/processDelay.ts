/** Measures, from the stop signal on, by how much the process is delayed and how fast it answers what it has read. */
import type { Clock } from "../../types";

const PROBE_INTERVAL_MS = 50;
/** Shorter delays of a timer are common on VMs with a fraction of a core, and cost no requests at a stop. */
const TOLERATED_DELAY_MS = 100;
/** Pauses of a process recur more often than this; the measurements of this time and of the one before it count. */
const WINDOW_MS = 1000;
/** Times that a request waits for its daemon: to be sent, for its answer to be read, and for that to be written. */
const WAITS_PER_REQUEST = 3;

/** Delay of a stopping daemon. */
export interface ProcessDelay {
  /** Starts to measure. The measurement ends at `endAt`, a local time. */
  start(endAt: number): void;
  /** Records an answer that has been written. */
  recordAnswer(): void;
  /** Returns the longest recent delay of a timer, in milliseconds; 0 while the daemon is not short of processor time. */
  getDelayMs(): number;
  /**
   * Returns the time that the daemon itself takes for one more request, in milliseconds; 0 while it is not short of
   * processor time.
   *
   * @param pending - Requests that it has read and not answered.
   */
  estimateMs(pending: number): number;
}

interface Window {
  readonly startedAt: number;
  longestDelayMs: number;
  answers: number;
}

/**
 * Creates the measurement of a daemon that is not stopping.
 *
 * @param clock - Clock that delays are measured by, and whose timers are.
 * @returns The measurement.
 */
export function createProcessDelay(clock: Clock): ProcessDelay {
  let previous = createWindow(clock.now());
  let current = previous;
  /** Local time at which the next probe is due; undefined while nothing is measured. */
  let probeDueAt: number | undefined;

  return {
    start: (endAt) => {
      if (probeDueAt !== undefined || !Number.isFinite(endAt)) {
        return;
      }
      previous = createWindow(clock.now());
      current = createWindow(clock.now());
      probe(endAt);
    },
    recordAnswer: () => {
      current.answers += 1;
    },
    getDelayMs,
    estimateMs: (pending) => {
      const delayMs = getDelayMs();
      return delayMs === 0 ? 0 : WAITS_PER_REQUEST * delayMs + estimateBacklogMs(pending);
    },
  };

  function probe(endAt: number): void {
    probeDueAt = clock.now() + PROBE_INTERVAL_MS;
    clock.schedule(PROBE_INTERVAL_MS, () => {
      current.longestDelayMs = Math.max(current.longestDelayMs, getOverdueMs());
      if (clock.now() - current.startedAt >= WINDOW_MS) {
        previous = current;
        current = createWindow(clock.now());
      }
      if (clock.now() < endAt) {
        probe(endAt);
      }
    });
  }

  /** A probe that is due and has not run yet shows a delay, too. */
  function getOverdueMs(): number {
    return probeDueAt === undefined ? 0 : Math.max(0, clock.now() - probeDueAt);
  }

  function getDelayMs(): number {
    const delayMs = Math.max(previous.longestDelayMs, current.longestDelayMs, getOverdueMs());
    return delayMs <= TOLERATED_DELAY_MS ? 0 : delayMs;
  }

  /** Until an answer has been written, the time of the first one is taken for that since the start. */
  function estimateBacklogMs(pending: number): number {
    const answers = Math.max(1, previous.answers + current.answers);
    return (pending * (clock.now() - previous.startedAt)) / answers;
  }
}

function createWindow(startedAt: number): Window {
  return { startedAt, longestDelayMs: 0, answers: 0 };
}
