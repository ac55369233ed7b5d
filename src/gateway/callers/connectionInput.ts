/** Input of one connection: gives it to the HTTP parser in pieces, and counts what it holds until it is parsed. */
import type { Socket } from "node:net";
import type { CallerAccount } from "./callerAccount";
import { createHeadEstimate } from "./headEstimate";
import type { PacedInput, PacedInputs } from "./pacedInput";

/** Options for {@link openConnectionInput}. */
export interface ConnectionInputOptions {
  /** Account of the connection. */
  readonly account: CallerAccount;
  /** Returns whether a further request may be read. */
  readonly mayRead: () => boolean;
  /** Counts the requests whose heads are complete. */
  readonly countRequests: () => number;
  /** Counts the bytes that the body of the latest request still lacks; 0 when it is not known. */
  readonly countBodyRest: () => number;
}

/**
 * Takes over the input of a connection that was just accepted.
 *
 * @param inputs - The inputs of all connections.
 * @param socket - The connection.
 * @param options - Its account, and what was read of its requests.
 * @returns The input.
 */
export function openConnectionInput(
  inputs: PacedInputs,
  socket: Socket,
  { account, mayRead, countRequests, countBodyRest }: ConnectionInputOptions,
): PacedInput {
  let heldBytes = 0;
  const input = inputs.open(socket, {
    mayRead,
    countBodyRest,
    onWaiting: recordWaiting,
    onParsing: createHeadEstimate({ countRequests, countBodyRest, onChange: account.addFieldBytes }),
    onData: account.recordProgress,
  });
  return input;

  /** Counts the input as held until all of it is parsed: its parts share one buffer. */
  function recordWaiting(change: number): void {
    const isParsed = change < 0 && input.countWaiting() === 0;
    const heldChange = isParsed ? -heldBytes : Math.max(0, change);
    heldBytes += heldChange;
    account.addBytes(heldChange);
    if (change > 0) {
      account.recordPause();
    }
  }
}
