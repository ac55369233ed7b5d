/** Bounds the lines of each event, and tells how many were left out. */
import type { Clock } from "../types";
import { Event, type EventKind } from "./events";
import type { Logger } from "./logger";

const WINDOW_MS = 1000;

/** What a bounded logger is made from. */
export interface RateLimitedLoggerOptions {
  readonly logger: Logger;
  readonly clock: Clock;
  /** Lines of one event in a second; more are counted only. */
  readonly maxLinesPerSecond: number;
  /** Lines that the output has dropped since the last call. */
  readonly consumeDroppedCount: () => number;
}

interface Window {
  readonly startedAt: number;
  lines: number;
  suppressed: number;
}

/**
 * Creates a logger that writes at most so many lines of each event in a second.
 *
 * @param options - Logger, clock and bound.
 * @returns The logger.
 */
export function createRateLimitedLogger(options: RateLimitedLoggerOptions): Logger {
  const { logger, clock, maxLinesPerSecond: linesPerSecond } = options;
  const windows = new Map<number, Window>();

  return {
    log: (kind, detail) => {
      const window = getWindow(kind);
      if (window.lines >= linesPerSecond) {
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
