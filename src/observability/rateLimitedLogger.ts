/** Limits the rate of log lines per event, and logs how many were suppressed. */
import type { Clock } from "../types";
import { Event, type EventKind } from "./events";
import type { Logger } from "./logger";

const WINDOW_MS = 1000;

/** Options for {@link createRateLimitedLogger}. */
export interface RateLimitedLoggerOptions {
  readonly logger: Logger;
  readonly clock: Clock;
  /** Maximum lines per event in one second; further lines are only counted. */
  readonly maxLinesPerSecond: number;
  /** Returns the number of lines that the output has dropped since the last call, and resets it. */
  readonly consumeDroppedCount: () => number;
}

interface Window {
  readonly startedAt: number;
  lines: number;
  suppressed: number;
}

/**
 * Creates a logger that limits the lines of each event per second.
 *
 * @param options - Logger, clock and limit.
 * @returns The logger.
 */
export function createRateLimitedLogger(options: RateLimitedLoggerOptions): Logger {
  const { logger, clock, maxLinesPerSecond } = options;
  const windows = new Map<number, Window>();

  return {
    log: (kind, detail) => {
      const window = getWindow(kind);
      if (window.lines >= maxLinesPerSecond) {
        window.suppressed += 1;
        return;
      }
      window.lines += 1;
      logger.log(kind, detail);
    },
  };

  function getWindow(kind: EventKind): Window {
    const known = windows.get(kind.number);
    if (known !== undefined && clock.now() - known.startedAt < WINDOW_MS) {
      return known;
    }
    const window = { startedAt: clock.now(), lines: 0, suppressed: 0 };
    windows.set(kind.number, window);
    const dropped = options.consumeDroppedCount();
    if ((known?.suppressed ?? 0) + dropped > 0) {
      logger.log(Event.LinesSuppressed, { of: kind.number, suppressed: known?.suppressed ?? 0, dropped });
    }
    return window;
  }
}
