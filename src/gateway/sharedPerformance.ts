/** Wires the shared estimates of server performance of one daemon: what it measures, announces and applies. */
import type { ServerDirectory } from "../discovery";
import type { Counters, Logger } from "../observability";
import type { Clock, ServiceName } from "../types";
import {
  type ServerLoads,
  type ServerPerformance,
  createPerformanceEstimates,
  createProcessNumbers,
  createServerLoads,
  createServerPerformance,
} from "./admission";
import { type StateChannel, createPerformanceExchange } from "./coordination";

/** Options for {@link createSharedPerformance}. */
export interface SharedPerformanceOptions {
  readonly directory: ServerDirectory;
  readonly listServices: () => readonly ServiceName[];
  /** Returns whether the service has more servers than a daemon can know by itself. */
  readonly isShared: (service: ServiceName) => boolean;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly counters: Counters;
}

/** Estimates of server performance, and the loads that use them. */
export interface PerformanceView {
  readonly performance: ServerPerformance;
  readonly loads: ServerLoads;
  readonly exchange: StateChannel;
}

/**
 * Creates the estimates without any measurement.
 *
 * @param options - Directory of the servers, and the services that are shared.
 * @returns The estimates, the loads and the state to exchange.
 */
export function createSharedPerformance(options: SharedPerformanceOptions): PerformanceView {
  const { directory, isShared, clock, logger, counters } = options;
  const numbers = createProcessNumbers(
    () => options.listServices().flatMap((service) => directory.getByService(service)),
    clock,
  );
  const findServer = (name: string) => directory.get(name);
  const performance = createServerPerformance({ clock, numbers, findServer, isShared });
  const loads = createServerLoads(clock, (name) => findServer(name)?.service, performance);
  const exchange = createPerformanceExchange({
    performance,
    estimates: createPerformanceEstimates({
      clock,
      numbers,
      isShared,
      findAnnounced: (process) => performance.findProcess(process),
      logger,
    }),
    applyLoad: (process, load) => {
      const server = numbers.find(process);
      if (server !== undefined) {
        loads.mergeLoad(server.name, server.slots, load);
      }
    },
    counters,
  });
  return { performance, loads, exchange };
}
