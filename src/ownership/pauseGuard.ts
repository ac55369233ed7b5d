/** Detects that the process was paused, so that it does not act on assignments that may be outdated. */
import { Event, type Logger } from "../observability";
import type { CancelTimer, Clock } from "../types";

const TICK_INTERVAL_MS = 100;
/** While a process is paused for longer than this, another one may have taken its leases. */
const PAUSE_THRESHOLD_MS = 1000;

/** Tracks whether the process has read the newest assignments since its last long pause. */
export interface PauseGuard {
  /** Returns false after a pause, until `markFresh` is called. */
  isFresh(): boolean;
  /** Records that the newest assignments were read after the pause. */
  markFresh(): void;
  /** Stops the checks. */
  stop(): void;
}

/**
 * Creates a pause guard and starts its checks.
 *
 * @param clock - Monotonic clock that keeps running while the process is paused.
 * @param logger - Logs each pause.
 * @param onPause - Called once for each pause; it must read the newest assignments and then call `markFresh`.
 * @returns The pause guard.
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
