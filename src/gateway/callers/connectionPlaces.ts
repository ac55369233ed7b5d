/** Requests of one connection, in the order in which they were read. */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { estimateFieldBytes } from "./memoryBudget";

/** A request in this order. */
export interface Place {
  readonly message: IncomingMessage;
  readonly response: ServerResponse;
  /** Undefined when the caller sent none. */
  readonly requestId: string | undefined;
  /** Local time at which it was read. */
  readonly arrivedAt: number;
  /** Estimate for its header fields, in bytes. */
  readonly fieldBytes: number;
  isDispatched: boolean;
  /** Whether it had been read when the connection was first to be closed: its caller knows nothing of that yet. */
  isOwed: boolean;
  /** Checks whether the request may be sent to a backend server now; undefined when it does not wait. */
  check: (() => void) | undefined;
}

/** The requests of one connection that are not answered. */
export interface ConnectionPlaces {
  readonly places: Place[];
  /** The request whose answer closes the connection; those behind it are dropped. */
  closingPlace: Place | undefined;
}

/**
 * Returns whether the daemon waits for a request, for the rest of one, or for its caller to read an answer.
 *
 * @param socket - The connection.
 * @param places - Its requests.
 * @returns Whether it does.
 */
export function isWaitingForCaller(socket: Socket, places: readonly Place[]): boolean {
  const latest = places.at(-1);
  return latest === undefined || isBodyArriving(latest.message) || socket.writableLength > 0;
}

/**
 * Returns whether a part of a body is missing. A request without a body is complete only after its head was handled.
 *
 * @param message - The request.
 * @returns Whether a part is missing.
 */
export function isBodyArriving({ complete, headers }: IncomingMessage): boolean {
  const hasBody = headers["transfer-encoding"] !== undefined || Number(headers["content-length"] ?? 0) > 0;
  return hasBody && !complete;
}

/** Returns the requests that were read after one. */
export function listBehind({ places }: ConnectionPlaces, place: Place): readonly Place[] {
  return places.slice(places.indexOf(place) + 1);
}

/** Returns whether a request was read after the one whose answer closes the connection. */
export function isBehindClose({ places, closingPlace }: ConnectionPlaces, place: Place): boolean {
  return closingPlace !== undefined && places.indexOf(closingPlace) < places.indexOf(place);
}

/** Returns whether requests that were read after one are at backend servers. */
export function hasWorkBehind(connection: ConnectionPlaces, place: Place): boolean {
  return listBehind(connection, place).some((each) => each.isDispatched);
}

/** Estimates the memory of a request's header fields, in bytes. */
export function countFieldBytes({ rawHeaders }: IncomingMessage): number {
  const textBytes = rawHeaders.reduce((total, part) => total + part.length, 0);
  return estimateFieldBytes(rawHeaders.length / 2, textBytes);
}
