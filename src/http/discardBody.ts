/** Discards the body of an answer, so that its connection can be reused. */
import type { IncomingMessage } from "node:http";
import type { Clock } from "../types";
import { limitFraming } from "./answerFraming";

/** Bodies of refusals are far shorter; a longer one costs more than a new connection. */
const MAX_DISCARDED_BYTES = 65_536;
/** Bounds how long a connection is occupied by a body that nobody needs. */
const DISCARD_TIMEOUT_MS = 1000;

/**
 * Reads the body of an answer and drops it. Closes the connection if the body does not end within the limits.
 *
 * @param answer - The answer, whose body nobody reads.
 * @param clock - Clock that the time limit is measured by.
 */
export function discardBody(answer: IncomingMessage, clock: Clock): void {
  let bytes = 0;
  const cancelTimeout = clock.schedule(DISCARD_TIMEOUT_MS, () => {
    answer.destroy();
  });
  const stopLimit = limitFraming(
    answer.socket,
    () => bytes,
    () => {
      answer.destroy();
    },
  );
  answer.on("data", (chunk: Buffer) => {
    bytes += chunk.byteLength;
    if (bytes > MAX_DISCARDED_BYTES) {
      answer.destroy();
    }
  });
  // The result of the call does not depend on the body, so neither does it on a connection that breaks now.
  answer.on("error", cancelTimeout);
  answer.once("end", stopLimit);
  answer.once("close", () => {
    cancelTimeout();
    stopLimit();
  });
}
