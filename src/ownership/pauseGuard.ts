/** Notices that the process was paused, before it acts on what it knew earlier. */
import { Event, type Logger } from "../observability";
import type { CancelTimer, Clock } from "../types";

const TICK_INTERVAL_MS = 100;
/** A process that did not run for this long may have been replaced. */
const PAUSE_THRESHOLD_MS = 1000;

/** Tells whether the process has run without a long pause since it last caught up. */
export interface PauseGuard {
  /** False after a pause, until `confirm` is called. */
  isFresh(): boolean;
  /** Takes note that the newest assignments were read after the pause. */
  markFresh(): void;
  /** Ends the checks. */
  stop(): void;
}

/**
 * Creates a guard and starts its checks.
 *
 * @param clock - Monotonic clock that also counts pauses.
 * @param logger - Log of pauses.
 * @param onPause - Called once for each pause; it must read the newest assignments and then confirm.
 * @returns The guard.
 */
export function createPauseGuard(clock: Clock, logger: Logger, onPause: () => void): PauseGuard {
  let lastTickAt = clock.now();
  let isStale = false;
  let cancel: CancelTimer = clock.schedule(TICK_INTERVAL_MS, tick);

  return {
    isFresh: () => {
      checkForPause();
      return !isStale;
    },
    markFresh: () => {
      isStale = false;
    },
    stop: () => {
      cancel();
    },
  };

  function tick(): void {
    checkForPause();
    lastTickAt = clock.now();
    cancel = clock.schedule(TICK_INTERVAL_MS, tick);
  }

  function checkForPause(): void {
    const pausedMs = clock.now() - lastTickAt;
    if (pausedMs > PAUSE_THRESHOLD_MS && !isStale) {
      isStale = true;
      logger.log(Event.ProcessPaused, { pausedMs: Math.round(pausedMs) });
      onPause();
    }
  }
}
