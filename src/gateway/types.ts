/** Types of the gateway: routes, services and limits that operators configure. */
import type { ServiceName } from "../types";

/** What may be repeated, and how large answers are. */
export const RouteKind = {
  /** May run more than once. */
  Safe: "safe",
  /** May run at most once for each attempt of the caller. */
  Unsafe: "unsafe",
  /** Large answers; may run more than once. */
  Download: "download",
} as const;
export type RouteKind = (typeof RouteKind)[keyof typeof RouteKind];

/** A service that takes a part of a route's requests. */
export interface WeightedService {
  readonly service: ServiceName;
  /** Part of the requests, relative to the weights of the other services. */
  readonly weight: number;
}

/** Requests of one host below one path. */
export interface Route {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: RouteKind;
  /** Longest time that a request is kept waiting, in milliseconds; null without such a limit. */
  readonly timeoutMs: number | null;
  /** Time within which an answer is of full use to the caller, in milliseconds. */
  readonly objectiveMs: number | null;
  /** Most backend servers to which one attempt of the caller may be sent. */
  readonly attempts: number;
  /** Rank; 0 goes first. */
  readonly priority: number;
  readonly services: readonly WeightedService[];
}

/** What operators say of a service. */
export interface ServicePolicy {
  readonly name: ServiceName;
  /** Whether each key has one owner. */
  readonly isKeyed: boolean;
  /** Connections that a backend server takes from all daemons together. */
  readonly maxConnections: number;
  /** How long a backend server is cold after its start, in milliseconds. */
  readonly coldMs: number;
  /** Requests a second that a cold backend server bears; null when it needs no protection. */
  readonly coldRequestsPerSecond: number | null;
}

/** Bounds on what a caller may send and how long it may take. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** One version of the routing configuration, in full. */
export interface RoutingConfiguration {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: ReadonlyMap<ServiceName, ServicePolicy>;
  readonly limits: CallerLimits;
}

/** Bounds that the deployment sets for all daemons together. */
export interface GatewayLimits {
  /** Extra attempts for each request of a service, within the retry window. */
  readonly retryRatio: number;
  readonly retryWindowMs: number;
  /** Extra attempts within the retry window that need no requests, over all daemons. */
  readonly retrySlack: number;
  /** Time from the stop signal to the end of the process. */
  readonly gracePeriodMs: number;
  /** Longest time for which keys may be granted to a backend server. */
  readonly maxGrantMs: number;
}
