/** Types of the explanation of a request, as the daemon returns it in JSON. */
import type { RejectionReason } from "../attemptTypes";
import type { RouteKind, WeightedService } from "../types";

/** A request to be explained. */
export interface RouteQuestion {
  readonly host: string;
  /** Begins with a slash; may contain a query. */
  readonly path: string;
  readonly key: number | undefined;
  /** Name of the organisation whose API key the request would have; undefined for a request without a key. */
  readonly organisation: string | undefined;
}

/** The route of the request. */
export interface ExplainedRoute {
  readonly name: string;
  readonly host: string;
  readonly pathPrefix: string;
  readonly kind: RouteKind;
  readonly timeoutMs: number | null;
  readonly objectiveMs: number | null;
  readonly services: readonly WeightedService[];
}

/** How the service of the request was found. */
export const ServiceSource = {
  /** The route has one service. */
  Only: "only",
  /** The rotation by weight sends the next request to it. */
  Next: "next",
  /** The rotation starts with the route's first request; of its services this one has the highest weight. */
  HighestWeight: "highest-weight",
} as const;
export type ServiceSource = (typeof ServiceSource)[keyof typeof ServiceSource];

/** The service that the request would go to. */
export interface ExplainedService {
  readonly name: string;
  readonly isKeyed: boolean;
  readonly source: ServiceSource;
}

/** The priority of the request. */
export interface ExplainedPriority {
  /** 0 is the highest. */
  readonly value: number;
  readonly source: "organisation" | "route";
  /** Share of this priority's requests to the service that is admitted; 1 without a shortage. */
  readonly admittedShare: number;
}

/** The organisation of the request. Its permits are neither taken nor checked. */
export interface ExplainedOrganisation {
  readonly name: string;
  /** Null for no limit. */
  readonly requestsPerSecond: number | null;
  readonly burst: number | null;
}

/** The owner of the request's key. */
export interface ExplainedKey {
  readonly key: number;
  readonly owner: string | null;
  /** Version of the assignment; 0 while none is known. */
  readonly assignmentVersion: number;
  /** Share of the requests that the owner gets, 1 unless it is overloaded; the others are refused as overloaded. */
  readonly ownerShare: number;
}

/** Where the processing time of a server was learnt. */
export const LearntFrom = {
  AllDaemons: "all-daemons",
  ThisDaemon: "this-daemon",
  /** The server has answered no request of this daemon: the usual time of its service, or a default. */
  Assumed: "assumed",
} as const;
export type LearntFrom = (typeof LearntFrom)[keyof typeof LearntFrom];

/** A backend server of the service. */
export interface ExplainedCandidate {
  readonly server: string;
  readonly dataCentre: string;
  /** Whether the server is tried before others: it is of this daemon's subset and would answer soon. */
  readonly isPreferred: boolean;
  /** Mean processing time of a request, in milliseconds. */
  readonly processingMs: number;
  readonly learntFrom: LearntFrom;
  readonly slots: number;
  /** Concurrent requests above which the server does little more work. */
  readonly effectiveSlots: number;
  /** Expected time in the server's queue, in milliseconds. */
  readonly expectedWaitMs: number;
  /** Expected time until an answer, in milliseconds. */
  readonly expectedMs: number;
  /** Share of recent requests that failed, from 0 to 1; failures make a server less preferred. */
  readonly failureShare: number;
  /** Age of the server's last load report, in milliseconds; null without one. */
  readonly loadAgeMs: number | null;
  /** Limit that the server has named; a permit would be asked for before the request is sent. Null without one. */
  readonly requestsPerSecond: number | null;
  /** Why the request must not be sent to the server; null when it may. */
  readonly obstacle: ExplainedObstacle | null;
}

/** Why a request must not be sent. */
export interface ExplainedObstacle {
  /** The same code as `reason` of event 1831. */
  readonly reason: RejectionReason;
  /** Time after which the obstacle is expected to be gone, in milliseconds; 0 when that is not known. */
  readonly waitMs: number;
}

/** What would happen to the request. */
export type ExplainedDecision =
  | { readonly kind: "server"; readonly server: string }
  /** The request would be refused with status 503 and event 1831. */
  | ({ readonly kind: "refused" } & ExplainedObstacle)
  /** The request would be refused before it is dispatched, without event 1831. */
  | { readonly kind: "refusedEarly"; readonly status: number; readonly detail: string };

/** Where a request would be sent now, and why. Parts that were not reached are null. */
export interface RouteExplanation {
  /** Version of the configuration in force. */
  readonly configuration: number | null;
  /** Whether the daemon is stopping; it then also refuses requests that may not end before its exit (`stopping`). */
  readonly isStopping: boolean;
  readonly route: ExplainedRoute | null;
  readonly organisation: ExplainedOrganisation | null;
  readonly service: ExplainedService | null;
  readonly priority: ExplainedPriority | null;
  readonly key: ExplainedKey | null;
  /** The chosen server first, then the others that may be sent the request, then those that may not. */
  readonly candidates: readonly ExplainedCandidate[];
  readonly decision: ExplainedDecision;
}
