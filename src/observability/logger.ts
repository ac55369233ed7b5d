/** Structured logs: one numbered event per line. */
import bunyan from "bunyan";
import type { EventKind } from "./events";

/** Fields that describe one occurrence of an event. */
export type EventDetail = Readonly<Record<string, string | number | boolean | undefined>>;

/** Writes log events. */
export interface Logger {
  /** Writes one event. */
  log(kind: EventKind, detail?: EventDetail): void;
}

/**
 * Creates a logger that writes JSON lines.
 *
 * @param name - Name of the daemon.
 * @param level - Lowest severity that is written.
 * @param stream - Destination of the lines; defaults to standard error.
 * @returns The logger.
 */
export function createLogger(
  name: string,
  level: bunyan.LogLevelString,
  stream: NodeJS.WritableStream = process.stderr,
): Logger {
  const logger = bunyan.createLogger({ name, level, stream });
  return {
    log: (kind, detail = {}) => {
      logger[kind.severity]({ event: kind.number, ...detail }, kind.message);
    },
  };
}

/** A logger that writes nothing. */
export const silentLogger: Logger = { log: () => undefined };
