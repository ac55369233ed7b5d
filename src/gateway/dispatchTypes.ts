/** Types of dispatching: requests that have found their route, and how they end. */
import type { IncomingMessage, OutgoingHttpHeaders } from "node:http";
import type { ServerName } from "../types";
import type { AnswerBody } from "./serverConnections";
import type { Route, ServicePolicy } from "./types";

/** Why a request got no answer from a backend server. */
export const RejectionReason = {
  NoServer: "no-server",
  NoOwner: "no-owner",
  OwnerUnusable: "owner-unusable",
  Overloaded: "overloaded",
  Cold: "cold",
  Unreachable: "unreachable",
  Shed: "shed",
  Late: "late",
  Broken: "broken",
  Foreign: "foreign-answer",
  Unsigned: "unsigned-answer",
  Abandoned: "abandoned",
} as const;
export type RejectionReason = (typeof RejectionReason)[keyof typeof RejectionReason];

/** A request that has found its route. */
export interface RoutedRequest {
  readonly id: string;
  readonly route: Route;
  readonly service: ServicePolicy;
  /** Undefined when the caller named none. */
  readonly key: number | undefined;
  readonly method: string;
  readonly path: string;
  readonly headers: OutgoingHttpHeaders;
  readonly body: Buffer;
  /** Local time at which the caller, or the route's timeout, stops waiting. */
  readonly deadlineAt: number;
  readonly arrivedAt: number;
  /** Aborted when the caller has left. */
  readonly signal: AbortSignal;
}

/** What was known of the server that a decision was about. */
export interface DecisionInputs {
  /** The last server that was tried, or would have been; undefined when there was none. */
  readonly server: ServerName | undefined;
  /** Version of the key assignment; 0 for services without keys. */
  readonly assignmentVersion: number;
  /** Expected time in the server's queue, in milliseconds. */
  readonly expectedWaitMs: number | undefined;
  /** Age of the server's last load report, in milliseconds. */
  readonly loadAgeMs: number | undefined;
}

/** How a request ended. */
export type DispatchResult =
  | { readonly kind: "answered"; readonly message: IncomingMessage; readonly body: AnswerBody }
  /** It has not run and never will. */
  | {
      readonly kind: "notRun";
      readonly reason: RejectionReason;
      readonly retryAfterMs: number;
      readonly inputs: DecisionInputs;
    }
  /** It may have run. */
  | { readonly kind: "unknown"; readonly reason: RejectionReason; readonly inputs: DecisionInputs };

/** Brings requests to backend servers. */
export type Dispatcher = (request: RoutedRequest) => Promise<DispatchResult>;
