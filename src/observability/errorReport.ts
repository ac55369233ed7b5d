/** Reports errors that nothing else handles. */
import { describeError } from "../errors";
import { Event } from "./events";
import type { Logger } from "./logger";

/**
 * Creates a function that logs unexpected errors of one step. The daemon continues after them.
 *
 * @param logger - Logger.
 * @param step - What failed.
 * @returns The function.
 */
export function createErrorReport(logger: Logger, step: string): (error: unknown) => void {
  return (error) => {
    logger.log(Event.UnexpectedError, { step, error: describeError(error) });
  };
}
