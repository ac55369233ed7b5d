/** Gauges of a daemon: requests, configuration, key ownership and backend servers. */
import type { ServerDirectory } from "../discovery";
import type { OwnerTable } from "../keyRanges";
import type { Metrics } from "../observability";
import type { ServiceName } from "../types";
import type { CallerListener, CallerMemory } from "./callers";
import type { RoutingState } from "./routingState";
import type { PriorityAdmission, ServerBackOff, ServerPerformance, ServerRateLimits } from "./admission";
import type { ServerConnections } from "./servers";

/** Options for {@link addGatewayGauges}. */
export interface GatewayGaugeOptions {
  readonly metrics: Metrics;
  readonly callerListener: CallerListener;
  readonly memory: Pick<CallerMemory, "countBytes">;
  readonly routing: RoutingState;
  readonly owners: OwnerTable;
  readonly directory: ServerDirectory;
  readonly connections: ServerConnections;
  readonly rateLimits: Pick<ServerRateLimits, "count">;
  readonly backOff: Pick<ServerBackOff, "count">;
  readonly performance: Pick<ServerPerformance, "find">;
  readonly priorities: Pick<PriorityAdmission, "listShares">;
  readonly isCoordinator: () => boolean;
}

/**
 * Adds the gauges to the metrics.
 *
 * @param options - The metrics and the components that the gauges read.
 */
export function addGatewayGauges(options: GatewayGaugeOptions): void {
  const { metrics, callerListener, routing, owners, directory, connections, rateLimits } = options;
  metrics.addGauge("requests_in_flight", "Requests not answered yet", "state", () => ({
    open: callerListener.countPending(),
  }));
  metrics.addGauge("callers_held_bytes", "Bytes that are held for callers", "name", () => ({
    all: options.memory.countBytes(),
  }));
  metrics.addGauge("caller_connections", "Open connections from callers", "name", () => ({
    all: callerListener.countConnections(),
  }));
  metrics.addGauge("configuration_version", "Version in force", "name", () => ({
    main: routing.findActive()?.configuration.version ?? 0,
  }));
  metrics.addGauge("coordinator", "1 while this daemon coordinates key ownership", "name", () => ({
    keys: options.isCoordinator() ? 1 : 0,
  }));
  metrics.addGauge("owned_ranges", "Owned key ranges as this daemon knows them", "service", () =>
    mapServices((service) => owners.getRanges(service).length),
  );
  metrics.addGauge("usable_servers", "Backend servers that may get new work", "service", () =>
    mapServices((service) => directory.getUsable(service).length),
  );
  metrics.addGauge("server_connections_opened", "Connections to backend servers so far", "name", () => ({
    all: connections.countOpened(),
  }));
  metrics.addGauge("rate_limited_servers", "Backend servers that name a rate limit", "name", () => ({
    all: rateLimits.count(),
  }));
  metrics.addGauge("backing_off_servers", "Backend servers that want no requests now", "name", () => ({
    all: options.backOff.count(),
  }));
  metrics.addGauge("priority_admitted_share", "Admitted share during a shortage", "priority", () =>
    options.priorities.listShares(),
  );

  metrics.addGauge("shared_estimates", "Backend servers with a shared estimate of speed", "service", () =>
    mapServices((service) => countServers(service, () => true)),
  );
  metrics.addGauge("slowing_servers", "Backend servers that slow down below their slots", "service", () =>
    mapServices((service) => countServers(service, (effectiveSlots, slots) => effectiveSlots < slots)),
  );

  function countServers(
    service: ServiceName,
    isCounted: (effectiveSlots: number, slots: number) => boolean,
  ): number {
    return directory.getByService(service).filter(({ name, slots }) => {
      const estimate = options.performance.find(name);
      return estimate !== undefined && isCounted(estimate.effectiveSlots, slots);
    }).length;
  }

  function mapServices(read: (service: ServiceName) => number): Readonly<Record<string, number>> {
    const services = [...(routing.findActive()?.configuration.services.keys() ?? [])];
    return Object.fromEntries(services.map((service) => [service, read(service)]));
  }
}
