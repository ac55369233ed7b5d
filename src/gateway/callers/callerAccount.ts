/** What is held for one connection of a caller. */
import type { Socket } from "node:net";
import { CONNECTION_BYTES, type Holder, REQUEST_BYTES } from "./memoryBudget";

/** Records what is held for one connection. */
export interface CallerAccount {
  /** Changes the number of requests that are not answered. */
  readonly addRequests: (change: number) => void;
  /** Changes the number of bytes of bodies, and of input that waits to be parsed. */
  readonly addBytes: (change: number) => void;
  /** Changes the estimate for header fields, in bytes. */
  readonly addFieldBytes: (change: number) => void;
  /** Records that the socket was paused because its input waits to be parsed. */
  readonly recordPause: () => void;
  /** Records that the caller has sent or read something. */
  readonly recordProgress: () => void;
  /** Sets how the connection is closed to free its memory: with a refusal, or at once when undefined. */
  readonly onClose: (close: (() => void) | undefined) => void;
}

/** What the account needs to know of a connection. */
export interface AccountedConnection {
  readonly socket: Socket;
  /** Returns whether the daemon waits for the caller: for the rest of a request, or to read an answer. */
  isWaitingForCaller(): boolean;
  /** Returns whether the connection carries no request. */
  isIdle(): boolean;
}

/** State of the account of one connection. */
export interface AccountState {
  readonly connection: AccountedConnection;
  /** Requests that are not answered. */
  requests: number;
  /** Estimate for their header fields, in bytes. */
  fieldBytes: number;
  /** Bodies, and input that waits to be parsed, in bytes. */
  bytes: number;
  /** What its socket had read and not passed on at the last check, or may have read since after a pause, in bytes. */
  readableBytes: number;
  /** What its socket had not written at the last check, in bytes. */
  writableBytes: number;
  /** Local time at which the caller last sent or read something. */
  progressAt: number;
  /** Closes the connection to free its memory. */
  close: () => void;
  /** Whether it was closed to free its memory; the connection may stay open until its refusal has been read. */
  isEnded: boolean;
  /** What its requests hold until then, in bytes. */
  lingeringBytes: number;
}

/**
 * Creates the state of an account that holds nothing yet.
 *
 * @param connection - The connection.
 * @param close - Closes the connection to free its memory.
 * @param now - The local time.
 * @returns The state.
 */
export function createAccountState(
  connection: AccountedConnection,
  close: () => void,
  now: number,
): AccountState {
  return {
    connection,
    requests: 0,
    fieldBytes: 0,
    bytes: 0,
    readableBytes: 0,
    writableBytes: 0,
    progressAt: now,
    close,
    isEnded: false,
    lingeringBytes: 0,
  };
}

/** Returns the estimate for the requests of an account with their header fields, in bytes. */
export function countRequestBytes({ requests, fieldBytes }: AccountState): number {
  return requests * REQUEST_BYTES + fieldBytes;
}

/** Returns the time for which the daemon has waited for the caller, in milliseconds; 0 while it does not wait. */
export function measureStall({ connection, progressAt }: AccountState, now: number): number {
  return connection.isWaitingForCaller() ? now - progressAt : 0;
}

/**
 * Describes an account for the choice of those to close when a limit is exceeded.
 *
 * @param account - The account.
 * @param now - The local time.
 * @returns The account with all that it holds.
 */
export function describeHolder(
  account: AccountState,
  now: number,
): Holder & { readonly account: AccountState } {
  const { bytes, readableBytes, connection } = account;
  return {
    account,
    bytes:
      CONNECTION_BYTES +
      countRequestBytes(account) +
      bytes +
      readableBytes +
      connection.socket.writableLength,
    stalledMs: measureStall(account, now),
  };
}
