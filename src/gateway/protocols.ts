/** Ports for the protocols of callers and backend servers; their adapters define the names on the wire. */
import type { IncomingHttpHeaders, OutgoingHttpHeaders } from "node:http";
import type { ServerName } from "../types";

/** Contents of a caller's header fields. */
export interface CallerFields {
  /** The caller's identifier of this attempt; undefined when it sent none. */
  readonly requestId: string | undefined;
  /** Time for which the caller waits, in milliseconds; undefined when it does not say. */
  readonly remainingMs: number | undefined;
  /** The request's key; undefined when it is missing or invalid. */
  readonly key: number | undefined;
  /** The API key of the caller's organisation; undefined when it is missing or malformed. */
  readonly apiKey: string | undefined;
}

/** Protocol of callers. */
export interface CallerProtocol {
  /** Reads a caller's header fields. */
  read(headers: IncomingHttpHeaders): CallerFields;
  /** Returns the header fields of an answer that hemlockbank generates itself. */
  createRefusalFields(requestId: string | undefined, retryAfterMs: number | undefined): OutgoingHttpHeaders;
}

/** Load of a backend server, as its answer reports it. */
export interface ServerLoad {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
  /** Current processing time on the server's machine, relative to the usual time; 1 is as usual. */
  readonly slowness: number;
}

/** What an answer states about the rate of requests that its server accepts from all daemons together. */
export type RateLimitStatement =
  | { readonly kind: "limited"; readonly requestsPerSecond: number }
  | { readonly kind: "unlimited" }
  /** The figure cannot be read. */
  | { readonly kind: "unreadable"; readonly text: string }
  /** The answer may not come from the server, so that a missing figure means nothing. */
  | { readonly kind: "unstated" };

/** Contents of the header fields of a backend server's answer. */
export interface ServerFields {
  /** The request that the answer belongs to; undefined when the answer does not say. */
  readonly requestId: string | undefined;
  /** The server that answered; undefined when the answer does not say. */
  readonly answeredBy: ServerName | undefined;
  /** Whether the answer is certain to come from a backend server. */
  readonly isSigned: boolean;
  /** Whether the server states that it has not run the request. */
  readonly isNotRun: boolean;
  /** Whether the server says that it is leaving. */
  readonly isLeaving: boolean;
  /** Time for which a server that refused a request wants none, in milliseconds; undefined when it does not say. */
  readonly backOffMs: number | undefined;
  readonly load: ServerLoad | undefined;
  readonly rateLimit: RateLimitStatement;
  /** Time for which the server stays cold, in milliseconds; undefined when the answer does not say. */
  readonly coldForMs: number | undefined;
}

/** Protocol of backend servers. */
export interface ServerProtocol {
  /** Names of the caller's header fields, in lower case, that `createRequestFields` replaces. */
  readonly replacedFields: ReadonlySet<string>;
  /** Names of the caller's header fields, in lower case, that are not forwarded once there are organisations. */
  readonly organisationFields: ReadonlySet<string>;
  /** Returns the header fields that name the organisation of a request. */
  createOrganisationFields(organisation: string): Readonly<Record<string, string>>;
  /** Returns the header fields that bind a request to one server and one deadline. */
  createRequestFields(server: ServerName, remainingMs: number): Readonly<Record<string, string>>;
  /** Reads the header fields of an answer. */
  read(status: number, headers: IncomingHttpHeaders): ServerFields;
}
