/** Ports for what callers and backend servers speak; the names on the wire belong to their adapters. */
import type { IncomingHttpHeaders, OutgoingHttpHeaders } from "node:http";
import type { ServerName } from "../types";

/** What a caller's header fields say. */
export interface CallerFields {
  /** The caller's identifier of this attempt; undefined when it sent none. */
  readonly requestId: string | undefined;
  /** How long the caller waits, in milliseconds; undefined when it says nothing. */
  readonly remainingMs: number | undefined;
  /** The request's key; undefined when it has none or it cannot be read. */
  readonly key: number | undefined;
}

/** What callers speak. */
export interface CallerProtocol {
  /** Reads a caller's fields. */
  read(headers: IncomingHttpHeaders): CallerFields;
  /** Fields of an answer that hemlockbank makes itself. */
  createRefusalFields(requestId: string | undefined, retryAfterMs: number | undefined): OutgoingHttpHeaders;
}

/** Load of a backend server as its answer tells it. */
export interface ServerLoad {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
  /** How long work takes on its machine at that moment, relative to the usual time; 1 is as usual. */
  readonly slowness: number;
}

/** What the header fields of a backend server's answer say. */
export interface ServerFields {
  /** The request that the answer belongs to; undefined when it names none. */
  readonly requestId: string | undefined;
  /** The server that answered; undefined when the answer does not say. */
  readonly answeredBy: ServerName | undefined;
  /** Whether the answer was certainly made by a backend server. */
  readonly isSigned: boolean;
  /** Whether the server says that it has not run the request. */
  readonly isNotRun: boolean;
  readonly load: ServerLoad | undefined;
  /** How long the server stays cold, in milliseconds; undefined when it says nothing. */
  readonly coldForMs: number | undefined;
}

/** What backend servers speak. */
export interface ServerProtocol {
  /** Names of the caller's fields, in lower case, that `requestFields` sets anew. */
  readonly replacedFields: ReadonlySet<string>;
  /** Fields that bind a request to one server and one deadline. */
  createRequestFields(server: ServerName, remainingMs: number): Readonly<Record<string, string>>;
  /** Reads the fields of an answer. */
  read(status: number, headers: IncomingHttpHeaders): ServerFields;
}
