/** Measures how late timers run, which shows a blocked event loop, a lack of processor time, or a suspended VM. */
import { type Clock, repeat } from "../types";
import { createErrorReport } from "./errorReport";
import { Event } from "./events";
import type { Logger } from "./logger";
import type { Metrics } from "./metrics";

const CHECK_INTERVAL_MS = 100;
/** Shorter delays are common on VMs with a fraction of a core. */
const LOGGED_DELAY_MS = 200;

/** Options for {@link watchLoopDelay}. */
export interface LoopDelayOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Ends the measurement when aborted. */
  readonly signal: AbortSignal;
}

/**
 * Logs long delays of the event loop, and adds a gauge of the longest one since the previous scrape.
 *
 * @param options - Clock, logger, metrics, and the signal that ends the measurement.
 */
export function watchLoopDelay(options: LoopDelayOptions): void {
  const { clock, logger, metrics, signal } = options;
  let longestMs = 0;
  let checkedAt = clock.now();
  metrics.addGauge("event_loop_delay_ms", "Longest delay of a timer since the last scrape", "name", () => {
    const max = longestMs;
    longestMs = 0;
    return { max };
  });
  void repeat(
    clock,
    CHECK_INTERVAL_MS,
    signal,
    () => {
      const delayMs = clock.now() - checkedAt - CHECK_INTERVAL_MS;
      checkedAt = clock.now();
      longestMs = Math.max(longestMs, Math.round(delayMs));
      if (delayMs > LOGGED_DELAY_MS) {
        logger.log(Event.ProcessPaused, { pausedMs: Math.round(delayMs) });
      }
    },
    createErrorReport(logger, "measure event loop delay"),
  );
}
