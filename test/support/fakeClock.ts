/** A clock that tests move by hand. */
import type { Clock } from "../../src/types";

const FLUSH_ROUNDS = 4;

/** A clock with its controls. */
export interface FakeClock extends Clock {
  /** Moves time on, running every timer that comes due and all promises that follow from it. */
  advance(ms: number): Promise<void>;
}

interface Timer {
  readonly at: number;
  readonly order: number;
  readonly callback: () => void;
}

/**
 * Creates a clock at an arbitrary time.
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
      const timer = { at: now + Math.max(0, delayMs), order, callback };
      timers.add(timer);
      return () => {
        timers.delete(timer);
      };
    },
    advance: async (ms) => {
      const target = now + ms;
      await flush();
      for (let next = findNext(target); next !== undefined; next = findNext(target)) {
        timers.delete(next);
        now = Math.max(now, next.at);
        next.callback();
        await flush();
      }
      now = target;
    },
  };

  function findNext(target: number): Timer | undefined {
    let next: Timer | undefined;
    for (const timer of timers) {
      const isEarlier =
        next === undefined || timer.at < next.at || (timer.at === next.at && timer.order < next.order);
      if (timer.at <= target && isEarlier) {
        next = timer;
      }
    }
    return next;
  }
}

/** Lets all promises that are due run. */
export async function flush(): Promise<void> {
  for (let round = 0; round < FLUSH_ROUNDS; round += 1) {
    await new Promise((resolve) => setImmediate(resolve));
  }
}

/** A process's view of a clock, which can be paused and resumed. */
export interface ProcessClock extends Clock {
  pause(): void;
  resume(): void;
  /** Ends the process: nothing of it runs any more. */
  stop(): void;
  /** Waits while the process is paused; never ends after `stop`. */
  gate(): Promise<void>;
}

/**
 * Creates the clock of one process. Time passes while it is paused, but nothing of it runs.
 *
 * @param clock - The clock of the machine.
 * @returns The process's clock.
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
        whenRunning(runUnlessCancelled);
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
      const due = deferred;
      deferred = [];
      for (const call of due) {
        call();
      }
    },
    stop: () => {
      isStopped = true;
    },
    gate: () =>
      new Promise((resolve) => {
        whenRunning(resolve);
      }),
  };

  function whenRunning(call: () => void): void {
    if (isStopped) {
      return;
    }
    if (isPaused) {
      deferred.push(call);
    } else {
      call();
    }
  }
}
