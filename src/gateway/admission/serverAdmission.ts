/** Decides whether a request may be sent to a backend server now. Every path that sends one asks here. */
import type { DiscoveredServer, ServerDirectory } from "../../discovery";
import type { Clock, ServerName } from "../../types";
import { RejectionReason } from "../attemptTypes";
import type { RequestTraits } from "../dispatchTypes";
import type { ColdAdmission } from "./coldAdmission";
import { OBJECTIVE_SHARE, PROCESSING_TIME_MARGIN } from "./returnTimes";
import type { RouteCosts } from "./routeCosts";
import type { ServerBackOff } from "./serverBackOff";
import type { ServerLoads } from "./serverLoads";

/** Why a request must not be sent to a server now. */
export interface Obstacle {
  readonly reason: RejectionReason;
  /** Time after which the obstacle is expected to be gone, in milliseconds; 0 when that is not known. */
  readonly waitMs: number;
  /** Shortest queue of all candidates that are overloaded, in milliseconds. */
  readonly shortestQueueMs?: number;
}

/** Admission of requests to backend servers. */
export interface ServerAdmission {
  /** Returns whether an owner of keys still serves requests for them. */
  mayServeKeys(server: DiscoveredServer): boolean;
  /**
   * Returns why a request must not be sent to a server; undefined when it may. Admission to a cold server uses up one
   * request of its rate.
   */
  findObstacle(request: RequestTraits, server: DiscoveredServer): Obstacle | undefined;
  /**
   * Returns the obstacle without any effect on later requests. The share of an overloaded owner is no obstacle here,
   * since chance decides which requests belong to it; {@link ServerAdmission.getOwnerShare} returns it.
   */
  peekObstacle(request: RequestTraits, server: DiscoveredServer): Obstacle | undefined;
  /** Returns the share of the requests of this priority that is sent to a key's owner; 1 for requests without a key. */
  getOwnerShare(request: RequestTraits, server: DiscoveredServer): number;
}

/** The decisions that chance takes, or that use up a rate. */
interface Draws {
  /** Returns whether chance admits a request to an owner that gets a share of its requests. */
  readonly admitToOwner: (share: number) => boolean;
  /** Returns whether the rate of a cold server admits a request. */
  readonly admitToCold: (server: ServerName, requestsPerSecond: number) => boolean;
}

/** Options for {@link createServerAdmission}. */
export interface ServerAdmissionOptions {
  readonly directory: Pick<ServerDirectory, "isUsable" | "isListedUsable" | "isCold" | "findLeavingMs">;
  /** Returns whether a connection to a server is available for a further request, or may be opened. */
  readonly connections: { hasRoom(server: DiscoveredServer): boolean };
  readonly loads: Pick<ServerLoads, "isReachable" | "estimateWaitMs" | "getProcessingMs">;
  /** Returns whether no permit for a rate-limited server is expected now. */
  readonly permits: { isExhausted(server: ServerName): boolean };
  readonly backOff: Pick<ServerBackOff, "getRemainingMs">;
  readonly coldAdmission: Pick<ColdAdmission, "tryAcquire" | "isDue" | "getWaitMs">;
  /** Share of a request's priority that may be sent to an owner of keys: 1 unless it is overloaded. */
  readonly ownerShares: { find(server: ServerName, request: RequestTraits): number };
  readonly costs: Pick<RouteCosts, "getWeight">;
  /**
   * Time for which the owner of keys still gets requests after it has said that it is leaving, in milliseconds. Its
   * keys move to other owners meanwhile.
   */
  readonly leavingOwnerMs: number;
  readonly clock: Clock;
  readonly random: () => number;
}

/**
 * Creates the admission.
 *
 * @param options - What is known of the servers.
 * @returns The admission.
 */
export function createServerAdmission(options: ServerAdmissionOptions): ServerAdmission {
  const { directory, connections, loads, permits, backOff, coldAdmission, clock } = options;

  const draws: Draws = {
    admitToOwner: (share) => options.random() < share,
    admitToCold: (server, requestsPerSecond) => coldAdmission.tryAcquire(server, requestsPerSecond),
  };
  const withoutDraws: Draws = {
    admitToOwner: (share) => share > 0,
    admitToCold: (server) => coldAdmission.isDue(server),
  };

  return {
    mayServeKeys,
    findObstacle: (request, server) => decide(request, server, draws),
    peekObstacle: (request, server) => decide(request, server, withoutDraws),
    getOwnerShare: (request, server) =>
      isForOwner(request) ? options.ownerShares.find(server.name, request) : 1,
  };

  function isForOwner({ service, key }: RequestTraits): boolean {
    return service.isKeyed && key !== undefined;
  }

  function mayServeKeys(server: DiscoveredServer): boolean {
    const leavingMs = directory.findLeavingMs(server) ?? 0;
    return directory.isListedUsable(server) && leavingMs < options.leavingOwnerMs;
  }

  function decide(
    request: RequestTraits,
    server: DiscoveredServer,
    { admitToOwner, admitToCold }: Draws,
  ): Obstacle | undefined {
    const isOwner = isForOwner(request);
    if (isOwner ? !mayServeKeys(server) : !directory.isUsable(server)) {
      return { reason: RejectionReason.Leaving, waitMs: 0 };
    }
    if (!loads.isReachable(server.name)) {
      return { reason: RejectionReason.Unreachable, waitMs: 0 };
    }
    const backOffMs = backOff.getRemainingMs(server);
    if (backOffMs > 0) {
      return { reason: RejectionReason.BackingOff, waitMs: backOffMs };
    }
    if (isOwner && !admitToOwner(options.ownerShares.find(server.name, request))) {
      return { reason: RejectionReason.Overloaded, waitMs: 0 };
    }
    if (!connections.hasRoom(server) || isTooBusy(request, server)) {
      return { reason: RejectionReason.Overloaded, waitMs: loads.estimateWaitMs(server.name, server.slots) };
    }
    if (permits.isExhausted(server.name)) {
      return { reason: RejectionReason.RateLimited, waitMs: 0 };
    }
    return findColdObstacle(request, server, admitToCold);
  }

  /** Returns whether the server is not expected to answer in time. One without a queue is never too busy. */
  function isTooBusy({ route, service, deadlineAt }: RequestTraits, server: DiscoveredServer): boolean {
    const remainingMs = deadlineAt - clock.now();
    const usefulMs = Math.min(remainingMs, route.objectiveMs ?? remainingMs) * OBJECTIVE_SHARE;
    const waitMs = loads.estimateWaitMs(server.name, server.slots);
    const processingMs = loads.getProcessingMs(server.name) * options.costs.getWeight(route, service.name);
    const expectedMs = waitMs + PROCESSING_TIME_MARGIN * processingMs;
    return waitMs > 0 && expectedMs > usefulMs;
  }

  function findColdObstacle(
    { service }: RequestTraits,
    server: DiscoveredServer,
    admitToCold: Draws["admitToCold"],
  ): Obstacle | undefined {
    const { coldRequestsPerSecond } = service;
    if (coldRequestsPerSecond === null || !directory.isCold(server)) {
      return undefined;
    }
    return admitToCold(server.name, coldRequestsPerSecond)
      ? undefined
      : { reason: RejectionReason.Cold, waitMs: coldAdmission.getWaitMs(server.name) };
  }
}
