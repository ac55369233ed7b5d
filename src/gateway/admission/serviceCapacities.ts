/** Capacities of a service's servers, from shared estimates where there are any and the limits that servers state. */
import type { DiscoveredServer, ServerDirectory } from "../../discovery";
import type { ServerName, ServiceName } from "../../types";
import type { ServicePolicy } from "../types";
import { estimateCapacities } from "./serverCapacity";
import type { ServerLoads } from "./serverLoads";
import type { SharedPerformance } from "./serverPerformance";

/** Weight of a shared estimate beside those of this daemon alone, in answers: it is already blended. */
const SHARED_ESTIMATE_ANSWERS = 1000;
/** Share of the servers of a service that must have a shared estimate for its capacities to count as measured. */
const MEASURED_SHARE = 0.5;
const MILLISECONDS_PER_SECOND = 1000;

/** Options for {@link createServiceCapacities}. */
export interface ServiceCapacitiesOptions {
  readonly directory: Pick<ServerDirectory, "getUsable" | "isCold">;
  readonly performance: Pick<SharedPerformance, "find">;
  readonly loads: Pick<ServerLoads, "getProcessingMs" | "countAnswers">;
  /** Returns the requests per second that a server has stated to accept; undefined without a limit. */
  readonly findRateLimit: (server: ServerName) => number | undefined;
  readonly findPolicy: (service: ServiceName) => ServicePolicy | undefined;
}

/** Capacities of services. */
export interface ServiceCapacities {
  /** Returns the capacities of servers of one service in requests per millisecond, in the same order. */
  estimateServers(servers: readonly DiscoveredServer[]): readonly number[];
  /** Returns the requests of mean work per second that the usable servers of a service can take. */
  estimateService(service: ServiceName): number;
  /** Returns whether the capacities of servers rest on measurements of all daemons. */
  areMeasured(servers: readonly DiscoveredServer[]): boolean;
}

/**
 * Creates the estimates.
 *
 * @param options - What is known of the servers.
 * @returns The estimates.
 */
export function createServiceCapacities(options: ServiceCapacitiesOptions): ServiceCapacities {
  const { directory, performance, loads } = options;

  return {
    estimateServers,
    estimateService: (service) => {
      const capacities = estimateServers(directory.getUsable(service));
      return capacities.reduce((total, capacity) => total + capacity, 0) * MILLISECONDS_PER_SECOND;
    },
    areMeasured: (servers) =>
      servers.filter((server) => performance.find(server.name) !== undefined).length >
      servers.length * MEASURED_SHARE,
  };

  function estimateServers(servers: readonly DiscoveredServer[]): readonly number[] {
    return estimateCapacities(
      servers.map((server) => {
        const shared = performance.find(server.name);
        return {
          slots: Math.min(server.slots, shared?.effectiveSlots ?? server.slots),
          processingMs: loads.getProcessingMs(server.name),
          answers: shared === undefined ? loads.countAnswers(server.name) : SHARED_ESTIMATE_ANSWERS,
          maxRequestsPerSecond: findMaxRate(server),
        };
      }),
    );
  }

  /** Returns the requests per second that a server accepts now; null when it sets no limit. */
  function findMaxRate(server: DiscoveredServer): number | null {
    const policy = options.findPolicy(server.service);
    const coldRate = directory.isCold(server) ? (policy?.coldRequestsPerSecond ?? null) : null;
    const rates = [coldRate, options.findRateLimit(server.name)].filter((rate) => typeof rate === "number");
    return rates.length === 0 ? null : Math.min(...rates);
  }
}
