/** What the coordinator does for all keyed services: grants their keys, and finds owners that are overloaded. */
import { setMaxListeners } from "node:events";
import {
  type CoordinatorOptions,
  type KeyLoad,
  type OwnerShares,
  computeOwnerShares,
  coordinateKeys,
} from "../../keyRanges";
import { type ServiceName, repeat } from "../../types";
import { createErrorReport } from "../../observability";

/** Maximum moves of key ranges in progress; more listeners than this on their signal indicate a leak. */
const MAX_MOVES = 500;
/** Interval at which overloaded owners are looked for; a fraction of that at which daemons report. */
const OWNER_SHARE_INTERVAL_MS = 250;
const MILLISECONDS_PER_SECOND = 1000;

/** Options for {@link createKeyCoordination}. */
export interface KeyCoordinationOptions extends Omit<CoordinatorOptions, "service" | "load"> {
  /** Returns the keyed services of the configuration in force. */
  readonly listKeyedServices: () => readonly ServiceName[];
  readonly getKeyLoad: (service: ServiceName) => KeyLoad;
  readonly ownerShares: OwnerShares;
}

/** Coordination of all keyed services. */
export interface KeyCoordination {
  /** Starts when this daemon has become the coordinator. */
  start(): void;
  /** Ends when it is no longer the coordinator. */
  stop(): void;
  /** Takes up services that the configuration in force has added. */
  addServices(): void;
  /** Looks for overloaded owners periodically until aborted. */
  run(signal: AbortSignal): Promise<void>;
}

/**
 * Creates the coordination, which does nothing until it is started.
 *
 * @param options - Services, their load, and what the coordinator of one service needs.
 * @returns The coordination.
 */
export function createKeyCoordination(options: KeyCoordinationOptions): KeyCoordination {
  const { directory, owners, clock, logger } = options;
  const services = new Set<ServiceName>();
  let coordination: AbortController | undefined;

  return {
    start: () => {
      coordination = new AbortController();
      setMaxListeners(MAX_MOVES, coordination.signal);
      addServices();
    },
    stop: () => {
      coordination?.abort();
      coordination = undefined;
      services.clear();
    },
    addServices,
    run: (signal) =>
      repeat(
        clock,
        OWNER_SHARE_INTERVAL_MS,
        signal,
        updateOwnerShares,
        createErrorReport(logger, "compute shares of overloaded owners"),
      ),
  };

  function addServices(): void {
    if (coordination === undefined) {
      return;
    }
    for (const service of options.listKeyedServices()) {
      if (!services.has(service)) {
        services.add(service);
        coordinateKeys({ ...options, service, load: options.getKeyLoad(service) }, coordination.signal).catch(
          createErrorReport(logger, "coordinate keys"),
        );
      }
    }
  }

  /** Only the coordinator knows the requests for all keys. */
  function updateOwnerShares(): void {
    if (options.isCoordinator()) {
      options.ownerShares.replace([...services].flatMap(computeShares));
    }
  }

  function computeShares(service: ServiceName) {
    const servers = directory.getByService(service);
    const capacities = options.getCapacities(servers);
    const byServer = new Map(servers.map((server, index) => [server.name, capacities[index] ?? 0]));
    const getRate = options.getKeyLoad(service).measureRate();
    return computeOwnerShares(owners.getRanges(service), getRate, (server) => {
      const capacity = byServer.get(server);
      return capacity === undefined ? undefined : capacity * MILLISECONDS_PER_SECOND;
    });
  }
}
