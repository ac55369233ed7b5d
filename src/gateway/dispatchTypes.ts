/** Types of the dispatcher: routed requests and their results. */
import type { IncomingMessage, OutgoingHttpHeaders } from "node:http";
import type { CallerWatch } from "../http";
import type { ServerName } from "../types";
import type { AnswerBody, RejectionReason } from "./attemptTypes";
import type { Route, ServicePolicy } from "./types";

/** A request whose route and service have been determined. */
export interface RoutedRequest {
  readonly id: string;
  readonly route: Route;
  readonly service: ServicePolicy;
  /** 0 is the highest. The priority of the caller's organisation goes before that of the route. */
  readonly priority: number;
  /** Undefined when the caller sent none. */
  readonly key: number | undefined;
  readonly method: string;
  readonly path: string;
  readonly headers: OutgoingHttpHeaders;
  /** The body in the pieces in which it is kept; empty when there is none. */
  readonly body: readonly Buffer[];
  /** Local time at which the timeout of the caller or of the route expires, whichever is earlier. */
  readonly deadlineAt: number;
  readonly arrivedAt: number;
  readonly caller: CallerWatch;
}

/** What decides whether and where a request is sent. */
export type RequestTraits = Pick<
  RoutedRequest,
  "route" | "service" | "priority" | "key" | "path" | "deadlineAt"
>;

/** What this daemon knew about a request's server when the request ended without an answer; logged. */
export interface DecisionInputs {
  /** The last server that was tried, or the key's owner when none was; undefined when there was neither. */
  readonly server: ServerName | undefined;
  /** Version of the key assignment; 0 for services without keys. */
  readonly assignmentVersion: number;
  /** Expected time in the server's queue, in milliseconds; undefined when the server is not known. */
  readonly expectedWaitMs: number | undefined;
  /** Age of the server's last load report, in milliseconds; undefined when there is none. */
  readonly loadAgeMs: number | undefined;
  /** Time until the exit of this daemon, in milliseconds; only for a request that it refused since it is stopping. */
  readonly exitInMs?: number;
  /** Time that the request was expected to take, in milliseconds; only for such a request. */
  readonly expectedMs?: number;
  /** Part of it that this daemon is expected to take itself while it is short of processor time. */
  readonly ownMs?: number;
}

/** Result of a request. */
export type DispatchResult =
  | { readonly kind: "answered"; readonly message: IncomingMessage; readonly body: AnswerBody }
  /** No backend server has run the request or will run it. */
  | {
      readonly kind: "notRun";
      readonly reason: RejectionReason;
      readonly retryAfterMs: number;
      readonly inputs: DecisionInputs;
    }
  /** A backend server may have run the request. */
  | { readonly kind: "unknown"; readonly reason: RejectionReason; readonly inputs: DecisionInputs };

/** Sends a request to a backend server and resolves to its result. */
export type Dispatcher = (request: RoutedRequest) => Promise<DispatchResult>;
