/** What callers' requests see of their place on a connection. */
import type { CallerAccount } from "./callerAccount";

/** Whether a request may be sent to a backend server. */
export const Turn = {
  Dispatch: "dispatch",
  /** Its deadline passed before its turn came. */
  Late: "late",
  /** An answer ahead of it closes the connection; it counts as not read. */
  Dropped: "dropped",
} as const;
export type Turn = (typeof Turn)[keyof typeof Turn];

/** Place of one request among those of its connection. */
export interface RequestPlace {
  /** Waits until the request may be sent to a backend server. One that is not idempotent waits until it is first. */
  waitForTurn(isIdempotent: boolean, deadlineAt: number): Promise<Turn>;
  /**
   * Asks for the connection to be closed after the answer, whose head must be written next. Returns false while
   * requests behind it are at backend servers, or had been read when this was first asked; then the last of them
   * closes the connection. Returns false, too, while the body of the request arrives.
   */
  closeAfter(): boolean;
  /** Closes the connection after the answer, whose end this marks; drops requests behind it that are not sent yet. */
  endConnection(): void;
  /** Returns whether requests behind this one are at backend servers. */
  hasWorkBehind(): boolean;
  /** Returns whether an answer must ask again to close the connection, since an earlier one could not. */
  mustClose(): boolean;
  /** Count of what is held for the connection. */
  readonly account: CallerAccount;
  /** States how to count the bytes that the request's body still lacks, until the next request. */
  followBody(countRest: () => number): void;
  /** Reads nothing more of the request, whose refusal must be written next; the connection is closed soon after. */
  stopReading(): void;
}

/** A request whose answer has not been written to its connection in full. */
export interface PendingRequest {
  /** Undefined when the caller sent none. */
  readonly requestId: string | undefined;
  readonly arrivedAt: number;
  /** Whether the answer is complete and only its writing is not. */
  readonly isAnswered: boolean;
}
