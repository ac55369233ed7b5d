/** A caller's request on its way to a backend server, and the answer. */
import type { Readable } from "node:stream";
import type { DaemonName, ServerName, ServiceName } from "./identifiers";
import type { Failure } from "./outcome";

/** Header fields by lower-case name. */
export type Headers = Readonly<Record<string, string | string[]>>;

/** A body: whole in memory, or arriving. */
export type Body =
  | { readonly kind: "buffer"; readonly content: Uint8Array }
  | { readonly kind: "stream"; readonly stream: Readable };

/** A request for one backend server. */
export interface WorkRequest {
  /** Identifier that stays the same over all hops of one attempt. */
  readonly id: string;
  readonly service: ServiceName;
  readonly server: ServerName;
  /** Null for services without keys. */
  readonly key: string | null;
  readonly method: string;
  /** Path and query as the server gets them. */
  readonly target: string;
  readonly headers: Headers;
  /** Time left for the answer in milliseconds, as of sending. */
  readonly timeoutMs: number;
  readonly isIdempotent: boolean;
  /** The caller's key for repeated requests, or null. */
  readonly idempotencyKey: string | null;
  /** Daemon to pass the request on to, when the sender cannot reach it itself. */
  readonly relayTo: DaemonName | null;
}

/** Load of a server as its leaseholder saw it at the time of an answer. */
export interface LoadReport {
  readonly inFlight: number;
  readonly queued: number;
  readonly limit: number;
  readonly latencyMs: number;
}

/** A backend server's answer. */
export interface WorkAnswer {
  readonly status: number;
  readonly headers: Headers;
  readonly body: Body;
  readonly load: LoadReport;
}

/** How a request ended. */
export type WorkResult =
  | { readonly kind: "answer"; readonly answer: WorkAnswer }
  | { readonly kind: "failure"; readonly failure: Failure };

/** Carries out a request. Aborting the signal cancels it. */
export type WorkHandler = (request: WorkRequest, body: Body, signal: AbortSignal) => Promise<WorkResult>;

/** A body without content. */
export const emptyBody: Body = { kind: "buffer", content: new Uint8Array(0) };
