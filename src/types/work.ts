/** Callers' requests as forwarded to backend servers, and their answers. */
import type { Readable } from "node:stream";
import type { DaemonName, ServerName, ServiceName } from "./identifiers";
import type { Failure } from "./outcome";

/** Header fields by lower-case name. */
export type Headers = Readonly<Record<string, string | string[]>>;

/** Body of a request or answer: buffered in memory, or a stream that is still arriving. */
export type Body =
  | { readonly kind: "buffer"; readonly content: Uint8Array }
  | { readonly kind: "stream"; readonly stream: Readable };

/** A request addressed to one backend server. */
export interface WorkRequest {
  /** Identifier of one attempt; the same on all hops. */
  readonly id: string;
  readonly service: ServiceName;
  readonly server: ServerName;
  /** Null for services without keys. */
  readonly key: string | null;
  readonly method: string;
  /** Path and query as sent to the server. */
  readonly target: string;
  readonly headers: Headers;
  /** Time left for the answer in milliseconds, at the time of sending. */
  readonly timeoutMs: number;
  readonly isIdempotent: boolean;
  /** Idempotency key that the caller sent to identify repeated requests, or null. */
  readonly idempotencyKey: string | null;
  /** Daemon that the receiver forwards the request to because the sender cannot reach it; otherwise null. */
  readonly relayTo: DaemonName | null;
}

/** Load of a server as measured by its leaseholder at the time of an answer. */
export interface LoadReport {
  readonly inFlight: number;
  readonly queued: number;
  readonly limit: number;
  readonly latencyMs: number;
}

/** Answer of a backend server. */
export interface WorkAnswer {
  readonly status: number;
  readonly headers: Headers;
  readonly body: Body;
  readonly load: LoadReport;
}

/** Result of a request: an answer or a failure. */
export type WorkResult =
  | { readonly kind: "answer"; readonly answer: WorkAnswer }
  | { readonly kind: "failure"; readonly failure: Failure };

/** Executes a request. Aborting the signal cancels it. */
export type WorkHandler = (request: WorkRequest, body: Body, signal: AbortSignal) => Promise<WorkResult>;

/** An empty body. */
export const emptyBody: Body = { kind: "buffer", content: new Uint8Array(0) };
