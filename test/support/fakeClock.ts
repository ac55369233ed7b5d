/** A clock that a test advances, and views of it for processes that can be paused. */
import type { Clock } from "../../src/types";

const FLUSH_ROUNDS = 4;

/** A clock that a test advances. */
export interface FakeClock extends Clock {
  /** Advances the time, running each timer when it is due and the promises that settle as a result. */
  advance(ms: number): Promise<void>;
}

interface Timer {
  readonly dueAt: number;
  readonly order: number;
  readonly callback: () => void;
}

/**
 * Creates a clock that starts at an arbitrary time.
 *
 * @returns The clock.
 */
export function createFakeClock(): FakeClock {
  const timers = new Set<Timer>();
  let now = 1000;
  let order = 0;

  return {
    now: () => now,
    schedule: (delayMs, callback) => {
      order += 1;
      const timer = { dueAt: now + Math.max(0, delayMs), order, callback };
      timers.add(timer);
      return () => {
        timers.delete(timer);
      };
    },
    advance: async (ms) => {
      const target = now + ms;
      await flushPromises();
      for (let next = findNext(target); next !== undefined; next = findNext(target)) {
        timers.delete(next);
        now = Math.max(now, next.dueAt);
        next.callback();
        await flushPromises();
      }
      now = target;
    },
  };

  function findNext(target: number): Timer | undefined {
    let next: Timer | undefined;
    for (const timer of timers) {
      const isEarlier =
        next === undefined ||
        timer.dueAt < next.dueAt ||
        (timer.dueAt === next.dueAt && timer.order < next.order);
      if (timer.dueAt <= target && isEarlier) {
        next = timer;
      }
    }
    return next;
  }
}

/** Runs a few turns of the event loop, so that callbacks of settled promises run. */
export async function flushPromises(): Promise<void> {
  for (let round = 0; round < FLUSH_ROUNDS; round += 1) {
    await new Promise((resolve) => setImmediate(resolve));
  }
}

/** A clock as seen by one process, which can be paused and resumed. */
export interface ProcessClock extends Clock {
  /** Pauses the process: its timers still fall due, but their callbacks are deferred. */
  pause(): void;
  /** Resumes the process and runs the deferred callbacks. */
  resume(): void;
  /** Ends the process: none of its callbacks runs any more. */
  stop(): void;
  /** Waits while the process is paused; the promise never settles after `stop`. */
  waitUntilRunning(): Promise<void>;
}

/**
 * Creates the clock of one process. Time passes while the process is paused, but none of its callbacks runs.
 *
 * @param clock - Clock of the machine that the process runs on.
 * @returns The clock of the process.
 */
export function createProcessClock(clock: Clock): ProcessClock {
  let deferred: (() => void)[] = [];
  let isPaused = false;
  let isStopped = false;

  return {
    now: () => clock.now(),
    schedule: (delayMs, callback) => {
      let isCancelled = false;
      const runUnlessCancelled = () => {
        if (!isCancelled) {
          callback();
        }
      };
      const cancel = clock.schedule(delayMs, () => {
        runOrDefer(runUnlessCancelled);
      });
      return () => {
        isCancelled = true;
        cancel();
      };
    },
    pause: () => {
      isPaused = true;
    },
    resume: () => {
      isPaused = false;
      const callbacks = deferred;
      deferred = [];
      for (const callback of callbacks) {
        callback();
      }
    },
    stop: () => {
      isStopped = true;
    },
    waitUntilRunning: () =>
      new Promise((resolve) => {
        runOrDefer(resolve);
      }),
  };

  function runOrDefer(callback: () => void): void {
    if (isStopped) {
      return;
    }
    if (isPaused) {
      deferred.push(callback);
    } else {
      callback();
    }
  }
}
