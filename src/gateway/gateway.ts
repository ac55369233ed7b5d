/** One daemon of the gateway: wires discovery, key ownership and dispatching, and shuts down without cutting off requests. */
import { setMaxListeners } from "node:events";
import { createServer } from "node:http";
import {
  type PrefixWatcher,
  type PrefixListener,
  type DiscoveredServer,
  type ServerDecoder,
  createPrefixWatcher,
  createFreshnessCheck,
  createPeerStates,
  createServerDirectory,
} from "../discovery";
import { listen } from "../http";
import {
  type KeyControl,
  type KeyLoad,
  getClaimDelayMs,
  coordinateKeys,
  createAssignmentFeed,
  createCoordinatorLease,
  createKeyLoad,
  createLoadReporter,
  createOwnerTable,
  isMuchSmaller,
} from "../keyRanges";
import { createDatagramChannel, createUdpTransport } from "../membership";
import type { ObjectStore } from "../objectStore";
import { Event, type Logger, type Metrics } from "../observability";
import {
  type Address,
  type Clock,
  type DaemonName,
  type DataCentreName,
  type ServiceName,
  repeat,
} from "../types";
import { createColdAdmission } from "./coldAdmission";
import { createDispatcher } from "./dispatcher";
import { createCallerListener } from "./callerListener";
import { addGatewayGauges } from "./gauges";
import { shutDownGracefully } from "./gracefulShutdown";
import type { CallerProtocol, ServerProtocol } from "./protocols";
import { createRetryBudgetShare } from "./retryBudgetShare";
import { createRoutingState } from "./routingState";
import { createServerConnections } from "./serverConnections";
import { estimateCapacities } from "./serverCapacity";
import { createServerLoads } from "./serverLoads";
import type { GatewayLimits, RoutingConfiguration, ServicePolicy } from "./types";

/** Share of a server's connections that all daemons together use; the rest is for control calls and replaced daemons. */
const CONNECTION_SHARE = 0.7;
/** Requests that one daemon has at a server at most, relative to its slots; more would only wait there. */
const MAX_REQUESTS_PER_SLOT = 3;
const CLEANUP_MS = 500;
/** Moves of key ranges in progress; more listeners than this on their signal are a leak. */
const MAX_MOVES = 500;
/** More listeners than this on the stop signal are a leak. */
const MAX_TASKS = 50;
/** A part of the two seconds in which a leaving server must have no new work. */
const SERVER_BATCH_PAUSE_MS = 500;
/** A part of the two seconds in which a configuration must be in force. */
const CONFIGURATION_BATCH_PAUSE_MS = 250;
/** Time that a server in the same data centre may take longer than one in another: the round trip. */
const SHORT_ANSWER_REMOTE_COST_MS = 4;
/** For large answers, whose bytes are dear between data centres: a part of the time within which they are useful. */
const LARGE_ANSWER_REMOTE_COST_MS = 200;
/** Offers of the coordination to a larger VM: checked this often, and repeated after this pause. */
const HAND_OVER_CHECK_MS = 1000;
const HAND_OVER_PAUSE_MS = 60_000;
/** Prefixes of the collections that a gateway follows. */
export interface GatewayPaths {
  readonly servers: string;
  readonly configuration: string;
  /** Path of the one configuration object. */
  readonly configurationPath: string;
  readonly exclusions: string;
}

/** What a gateway is made from. */
export interface GatewayOptions {
  readonly daemon: DaemonName;
  readonly dataCentre: DataCentreName;
  /** Processor of the VM, in cores. */
  readonly processors: number;
  readonly callers: Address;
  readonly readiness: Address;
  /** Where other daemons send datagrams. */
  readonly peers: Address;
  /** Path of readiness probes. */
  readonly readinessPath: string;
  readonly limits: GatewayLimits;
  readonly paths: GatewayPaths;
  readonly objects: ObjectStore;
  readonly control: KeyControl;
  readonly callerProtocol: CallerProtocol;
  readonly serverProtocol: ServerProtocol;
  readonly decodeServer: ServerDecoder;
  /** Throws when the stored value cannot be read. */
  readonly decodeConfiguration: (value: unknown) => RoutingConfiguration;
  readonly clock: Clock;
  readonly timeOfDay: () => number;
  readonly random: () => number;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/** A running gateway. */
export interface Gateway {
  /** Whether it takes callers. */
  isReady(): boolean;
  /** Shuts down gracefully; resolves when no request is left, or the grace period is over. */
  shutDown(): Promise<void>;
}

/**
 * Starts a gateway.
 *
 * @param options - Addresses, ports and limits.
 * @returns The gateway, as soon as its addresses are bound.
 * @throws Error when an address cannot be bound.
 */
export async function startGateway(options: GatewayOptions): Promise<Gateway> {
  const { clock, random, logger, metrics, objects, limits, paths } = options;
  const { counters } = metrics;
  const self = { daemon: options.daemon, incarnation: options.timeOfDay() };
  const stop = new AbortController();
  // Each periodic task listens for the end of the process.
  setMaxListeners(MAX_TASKS, stop.signal);
  const keyLoads = new Map<ServiceName, KeyLoad>();
  const owners = createOwnerTable(clock, logger);
  let isShuttingDown = false;
  let handedOverAt = Number.NEGATIVE_INFINITY;
  let coordination: AbortController | undefined;
  const coordinatedServices = new Set<ServiceName>();

  const routing = createRoutingState({
    configurationPath: paths.configurationPath,
    decode: options.decodeConfiguration,
    onConfiguration: (configuration) => {
      callerListener.applyLimits(configuration.limits);
      coordinateServices();
    },
    onExclusions: (dataCentres) => {
      directory.setExcluded(dataCentres);
    },
    logger,
  });
  const directory = createServerDirectory({
    clock,
    logger,
    decode: options.decodeServer,
    getColdMs: (service) => findPolicy(service)?.coldMs ?? 0,
  });
  const loads = createServerLoads(clock);
  const connections = createServerConnections(clock, (server) => {
    const maxConnections = findPolicy(server.service)?.maxConnections ?? 1;
    const share = Math.floor((maxConnections * CONNECTION_SHARE) / freshness.getFleetSize());
    return Math.max(2, Math.min(share, server.slots * MAX_REQUESTS_PER_SLOT));
  });
  const coldAdmission = createColdAdmission(clock, random, () => freshness.getFleetSize());
  const dispatch = createDispatcher({
    directory,
    owners: {
      findOwner: (service, key) => owners.findOwner(service, key),
      getVersion: (service) => owners.getVersion(service),
      waitForChange: (service, waitMs) => owners.waitForChange(service, waitMs),
      recordRequest: (service, key) => {
        reports.record(service, key);
      },
    },
    connections,
    loads,
    coldAdmission,
    retryBudget: createRetryBudgetShare(
      clock,
      { ratio: limits.retryRatio, windowMs: limits.retryWindowMs, slack: limits.retrySlack },
      () => freshness.getFleetSize(),
    ),
    protocol: options.serverProtocol,
    clock,
    random,
    logger,
    counters,
    dataCentre: options.dataCentre,
    distance: { shortMs: SHORT_ANSWER_REMOTE_COST_MS, largeMs: LARGE_ANSWER_REMOTE_COST_MS },
  });
  const channel = createDatagramChannel(await createUdpTransport(options.peers), counters);
  const lease = createCoordinatorLease({
    objects,
    self,
    address: options.peers,
    clock,
    timeOfDay: options.timeOfDay,
    random,
    logger,
    getClaimDelayMs: () => getClaimDelayMs(options.processors, freshness.getLargestProcessors()),
    onElected: () => {
      coordination = new AbortController();
      setMaxListeners(MAX_MOVES, coordination.signal);
      coordinateServices();
    },
    onLost: () => {
      coordination?.abort();
      coordination = undefined;
      coordinatedServices.clear();
    },
  });

  const reports = createLoadReporter({
    channel,
    clock,
    isCoordinator: () => lease.isHeld(),
    findCoordinator: () => lease.findCoordinator(),
    getKeyLoad,
  });
  const callerListener = await createCallerListener({
    address: options.callers,
    findActive: () => routing.findActive(),
    dispatch,
    callerProtocol: options.callerProtocol,
    serverProtocol: options.serverProtocol,
    clock,
    logger,
    metrics,
  });
  addGatewayGauges({
    metrics,
    callerListener,
    routing,
    owners,
    directory,
    connections,
    isCoordinator: () => lease.isHeld(),
  });
  await startReadinessServer();
  logger.log(Event.DaemonStarted, { dataCentre: options.dataCentre, incarnation: self.incarnation });
  const peers = createPeerStates(clock);
  const feed = createAssignmentFeed({
    objects,
    owners,
    channel,
    peers: () => peers.getAddresses(),
    isFreshnessChecked: () => freshness.isFreshnessChecked(),
    clock,
    logger,
  });
  const followers = [
    createFollower(paths.configuration, CONFIGURATION_BATCH_PAUSE_MS, routing.configurations),
    createFollower(paths.servers, SERVER_BATCH_PAUSE_MS, {
      onList: (listed) => {
        directory.replaceAll(listed);
      },
      onChange: (changed, removed) => {
        directory.applyChanges(changed, removed);
      },
      onStoreRecovered: () => {
        directory.recordStoreRecovery();
      },
    }),
    createFollower(paths.exclusions, CONFIGURATION_BATCH_PAUSE_MS, routing.exclusions),
    feed,
  ];
  const freshness = createFreshnessCheck({
    daemon: options.daemon,
    address: options.peers,
    processors: options.processors,
    channel,
    watchers: followers,
    peers,
    clock,
    isCoordinator: () => lease.isHeld(),
    findCoordinator: () => lease.findCoordinator(),
    getLeaseVersion: () => lease.getVersion(),
    confirmLease: (version) => {
      lease.confirm(version);
    },
  });
  followers.forEach((follower) => void follower.run(stop.signal));
  void freshness.run(stop.signal);
  void lease.run(stop.signal);
  void reports.run(stop.signal);
  void repeat(clock, CLEANUP_MS, stop.signal, evictRemovedServers);
  void repeat(clock, HAND_OVER_CHECK_MS, stop.signal, handOverToLargerVm);

  return { isReady, shutDown };

  function createFollower(prefix: string, pauseMs: number, listener: PrefixListener): PrefixWatcher {
    return createPrefixWatcher({
      objects,
      prefix,
      pauseMs,
      isFreshnessChecked: () => freshness.isFreshnessChecked(),
      clock,
      logger,
      random,
      ...listener,
    });
  }

  function coordinateServices(): void {
    const signal = coordination?.signal;
    if (signal === undefined) {
      return;
    }
    for (const service of routing.findActive()?.configuration.services.values() ?? []) {
      if (service.isKeyed && !coordinatedServices.has(service.name)) {
        coordinatedServices.add(service.name);
        void coordinateKeys(
          {
            service: service.name,
            objects,
            directory,
            owners,
            control: options.control,
            load: getKeyLoad(service.name),
            publish: (...change) => {
              feed.publish(...change);
            },
            clock,
            logger,
            isCoordinator: () => lease.isHeld(),
            getStoreSilenceMs: () => lease.renewedAgoMs(),
            maxGrantMs: limits.maxGrantMs,
            getCapacities: estimateServerCapacities,
          },
          signal,
        );
      }
    }
  }

  function estimateServerCapacities(servers: readonly DiscoveredServer[]): readonly number[] {
    return estimateCapacities(
      servers.map((server) => ({
        slots: server.slots,
        processingMs: loads.getProcessingMs(server.name),
        answers: loads.countAnswers(server.name),
        coldRequestsPerSecond: directory.isCold(server)
          ? (findPolicy(server.service)?.coldRequestsPerSecond ?? null)
          : null,
      })),
    );
  }

  /** A larger VM that cannot take the lease must not be offered it again and again. */
  async function handOverToLargerVm(): Promise<void> {
    const largest = freshness.getLargestProcessors();
    const isDue = clock.now() - handedOverAt >= HAND_OVER_PAUSE_MS;
    if (lease.isHeld() && isDue && isMuchSmaller(options.processors, largest)) {
      handedOverAt = clock.now();
      await lease.resign();
    }
  }

  function findPolicy(service: ServiceName): ServicePolicy | undefined {
    return routing.findActive()?.configuration.services.get(service);
  }

  function getKeyLoad(service: ServiceName): KeyLoad {
    const load = keyLoads.get(service) ?? createKeyLoad(clock);
    keyLoads.set(service, load);
    return load;
  }

  function evictRemovedServers(): void {
    const services = [...(routing.findActive()?.configuration.services.keys() ?? [])];
    connections.retain(services.flatMap((service) => directory.getByService(service)));
    loads.retain((name) => directory.get(name) !== undefined);
    coldAdmission.retain((name) => {
      const server = directory.get(name);
      return server !== undefined && directory.isCold(server);
    });
  }

  function isReady(): boolean {
    return !isShuttingDown && routing.findActive() !== undefined && directory.hasList();
  }

  async function startReadinessServer(): Promise<void> {
    const server = createServer((message, response) => {
      const isProbe = message.url === options.readinessPath;
      response.statusCode = isProbe ? (isReady() ? 200 : 503) : 404;
      response.end();
    });
    await listen(server, options.readiness);
  }

  async function shutDown(): Promise<void> {
    isShuttingDown = true;
    await shutDownGracefully({
      callerListener,
      clock,
      logger,
      gracePeriodMs: limits.gracePeriodMs,
      resign: () => lease.resign(),
    });
    stop.abort();
  }
}
