/** Routes, services and limits of the gateway, as operators configure them. */
import type { ServiceName } from "../types";

/** Kind of a route: whether its requests may run more than once, and whether its answers are large. */
export const RouteKind = {
  /** Requests may run more than once. */
  Safe: "safe",
  /** A request may run at most once for each attempt of the caller. */
  Unsafe: "unsafe",
  /** Answers are large; requests may run more than once. */
  Download: "download",
} as const;
export type RouteKind = (typeof RouteKind)[keyof typeof RouteKind];

/** A service that receives a share of a route's requests. */
export interface WeightedService {
  readonly service: ServiceName;
  /** Share of the requests, relative to the weights of the route's other services. */
  readonly weight: number;
}

/** Rule for the requests to one host under one path prefix. */
export interface Route {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: RouteKind;
  /** Maximum time that a request may take, in milliseconds; null for no limit. */
  readonly timeoutMs: number | null;
  /** Latency objective: time within which an answer has its full value to the caller, in milliseconds. */
  readonly objectiveMs: number | null;
  /** Maximum number of backend servers to which one attempt of the caller may be sent. */
  readonly attempts: number;
  /** Priority; 0 is the highest. */
  readonly priority: number;
  readonly services: readonly WeightedService[];
  /** Whether callers need no API key. */
  readonly isPublic?: boolean;
}

/** Operators' settings of a service. */
export interface ServicePolicy {
  readonly name: ServiceName;
  /** Whether each key has one owner. */
  readonly isKeyed: boolean;
  /** Maximum number of connections that a backend server accepts from all daemons together. */
  readonly maxConnections: number;
  /** Time for which a backend server is cold after its start, in milliseconds. */
  readonly coldMs: number;
  /** Maximum requests per second that a cold backend server can handle; null when it needs no limit. */
  readonly coldRequestsPerSecond: number | null;
}

/** Limits on the size of callers' requests and on the times of their connections. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** Requests that an organisation may send to all daemons together. */
export interface OrganisationAllowance {
  /** Above 0. */
  readonly requestsPerSecond: number;
  /** Requests that may come at once after a pause. */
  readonly burst: number;
}

/** An organisation that may send requests. */
export interface Organisation {
  readonly name: string;
  /** Priority of its requests; null for that of their routes. */
  readonly priority: number | null;
  /** Null for no limit. */
  readonly allowance: OrganisationAllowance | null;
}

/** The organisations of a configuration. */
export interface Organisations {
  readonly byKey: ReadonlyMap<string, Organisation>;
  readonly byName: ReadonlyMap<string, Organisation>;
}

/** One complete version of the routing configuration. */
export interface RoutingConfiguration {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: ReadonlyMap<ServiceName, ServicePolicy>;
  readonly limits: CallerLimits;
  /** Undefined when the configuration names none: callers then need no API key. */
  readonly organisations?: Organisations | undefined;
}

/** Limits that the deployment sets for all daemons. */
export interface GatewayLimits {
  /** Extra attempts allowed for each request of a service within the retry window. */
  readonly retryRatio: number;
  readonly retryWindowMs: number;
  /** Extra attempts of all daemons together within the retry window, whatever the number of requests. */
  readonly retrySlack: number;
  /** Time after which a leaving backend server must get no new requests, in milliseconds. */
  readonly drainMs: number;
  /** Maximum time from the stop signal to the exit of the process, in milliseconds. */
  readonly gracePeriodMs: number;
  /** Maximum time for which keys may be granted to a backend server, in milliseconds. */
  readonly maxGrantMs: number;
  /** By how much organisations may exceed their allowances. */
  readonly allowances: AllowanceBound;
}

/** By how much all daemons together may exceed an allowance in any period. */
export interface AllowanceBound {
  /** Length of the period, in milliseconds. */
  readonly windowMs: number;
  /** Allowed multiple of the allowance's requests in one period; at least 1. */
  readonly excess: number;
  /** Requests that are allowed in addition in one period. */
  readonly slack: number;
}
