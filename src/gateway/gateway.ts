/** One daemon of the gateway: wires discovery, key ownership and dispatching, and shuts down gracefully. */
import { setMaxListeners } from "node:events";
import { createServer } from "node:http";
import {
  type PrefixWatcher,
  type PrefixListener,
  type DiscoveredServer,
  createChangeFeed,
  createPrefixWatcher,
  createExclusionExchange,
  createFreshnessCheck,
  createPeerStates,
  createServerDirectory,
} from "../discovery";
import { listen } from "../http";
import {
  type KeyLoad,
  getClaimDelayMs,
  createAssignmentFeed,
  createCoordinatorLease,
  createKeyLoad,
  createLoadReporter,
  createOwnerShares,
  createOwnerTable,
  isMuchSmaller,
} from "../keyRanges";
import { createDatagramChannel, createUdpTransport } from "../membership";
import { getTimeline } from "../objectStore";
import { Event, createErrorReport, watchLoopDelay } from "../observability";
import { type ServiceName, repeat } from "../types";
import {
  MAX_WHOLE_SIZE,
  createColdAdmission,
  createPerformanceEstimates,
  createProcessNumbers,
  createPriorityAdmission,
  createPriorityDemands,
  createRetryBudgetShare,
  createRouteCosts,
  createServerAdmission,
  createServerBackOff,
  estimateCapacities,
  createServerLoads,
  createServerPerformance,
  isMixedService,
  createServerRateLimits,
  createServerSelection,
  createServerSubsets,
} from "./admission";
import { createDispatcher } from "./dispatcher";
import { createCallerBudget, createCallerListener, createCallerMemory } from "./callers";
import { type RouteExplainer, createRouteExplainer } from "./explanation";
import { addGatewayGauges } from "./gauges";
import { shutDownGracefully } from "./gracefulShutdown";
import {
  createKeyCoordination,
  createPerformanceExchange,
  createPermitExchange,
  createPriorityExchange,
  createAllowanceExchange,
  createStateExchange,
} from "./coordination";
import type { GatewayOptions } from "./gatewayOptions";
import {
  CONTACT_LOSS_MS,
  createAllowanceLedger,
  createLargestSize,
  createOrganisationAdmission,
} from "./organisations";
import { createRoutingState } from "./routingState";
import { createServerConnections } from "./servers";
import type { ServicePolicy } from "./types";

/** Share of a server's connections for all daemons; the rest is for control calls and replaced daemons. */
const CONNECTION_SHARE = 0.7;
/** Maximum requests of one daemon for each slot of a server; more would only wait in the server's queue. */
const MAX_REQUESTS_PER_SLOT = 3;
/** Weight of a shared estimate beside those of this daemon alone, in answers: it is already blended. */
const SHARED_ESTIMATE_ANSWERS = 1000;
/** Share of the servers of a service that must have a shared estimate for its capacities to count as measured. */
const MEASURED_SHARE = 0.5;
/** With fewer daemons each meets a server often enough to know its speed by itself. */
const MIN_SHARING_DAEMONS = 24;
const CLEANUP_INTERVAL_MS = 500;
const MILLISECONDS_PER_SECOND = 1000;
/** Share of the time after which a leaving server gets no new work, in which its keys move to other owners. */
const LEAVING_OWNER_SHARE = 0.5;
/** Maximum periodic tasks; more listeners than this on the stop signal indicate a leak. */
const MAX_TASKS = 50;
/**
 * Pause that gathers changes of servers; a fraction of the two seconds within which
 * a leaving server must get no new requests.
 */
const SERVER_BATCH_PAUSE_MS = 500;
/**
 * Pause that gathers changes of the configuration; a fraction of the two seconds
 * within which it must be in force.
 */
const CONFIGURATION_BATCH_PAUSE_MS = 250;
/**
 * Maximum wait of the coordinator's watch of the exclusions: with the time in which daemons notice a difference,
 * a fraction of the five seconds within which an exclusion must be in force.
 */
const EXCLUSION_WATCH_WAIT_MS = 2000;
/** Extra time that a server in the same data centre may take over a remote one: the round trip. */
const SHORT_ANSWER_REMOTE_COST_MS = 4;
/**
 * The same for large answers, whose transfer between data centres is expensive: a
 * fraction of the time within which they are useful.
 */
const LARGE_ANSWER_REMOTE_COST_MS = 200;
/** Interval at which the coordinator checks whether a much larger VM could take over. */
const RESIGNATION_CHECK_INTERVAL_MS = 1000;
/** Minimum pause between two resignations in favour of a larger VM. */
const MIN_RESIGNATION_INTERVAL_MS = 60_000;

/** A running gateway. */
export interface Gateway {
  /** Returns whether the daemon accepts callers. */
  isReady(): boolean;
  /** Explains where a request would be sent now, without sending it or changing anything. */
  readonly explain: RouteExplainer;
  /** Shuts down gracefully; resolves when no request is left or the grace period is over. */
  shutDown(): Promise<void>;
}

/**
 * Starts a gateway.
 *
 * @param options - Addresses, adapters and limits.
 * @returns The gateway, as soon as its addresses are bound.
 * @throws Error when an address cannot be bound.
 */
export async function startGateway(options: GatewayOptions): Promise<Gateway> {
  const { clock, random, logger, metrics, objects, limits, paths } = options;
  const { counters } = metrics;
  const self = { daemon: options.daemon, incarnation: options.timeOfDay() };
  const stop = new AbortController();
  // Each periodic task adds a listener to the stop signal.
  setMaxListeners(MAX_TASKS, stop.signal);
  const keyLoads = new Map<ServiceName, KeyLoad>();
  const owners = createOwnerTable(clock, logger);
  let isShuttingDown = false;
  let resignedAt = Number.NEGATIVE_INFINITY;

  const routing = createRoutingState({
    configurationPath: paths.configurationPath,
    decode: options.decodeConfiguration,
    random,
    onConfiguration: (configuration) => {
      callerListener.applyLimits(configuration.limits);
      coordination.addServices();
    },
    onExclusions: (dataCentres) => {
      exclusions.setListed(dataCentres);
    },
    logger,
  });
  const directory = createServerDirectory({
    clock,
    logger,
    decode: options.decodeServer,
    getColdMs: (service) => findPolicy(service)?.coldMs ?? 0,
  });
  const processNumbers = createProcessNumbers(
    () => listServices().flatMap((service) => directory.getByService(service)),
    clock,
  );
  const performance = createServerPerformance({
    clock,
    numbers: processNumbers,
    findServer: (name) => directory.get(name),
    isShared: isPerformanceShared,
  });
  const loads = createServerLoads(clock, (name) => directory.get(name)?.service, performance);
  const performanceExchange = createPerformanceExchange({
    performance,
    estimates: createPerformanceEstimates({
      clock,
      numbers: processNumbers,
      isShared: isPerformanceShared,
      findAnnounced: (process) => performance.findProcess(process),
      logger,
    }),
    applyLoad: (process, load) => {
      const server = processNumbers.find(process);
      if (server !== undefined) {
        loads.mergeLoad(server.name, server.slots, load);
      }
    },
    counters,
  });
  const rateLimits = createServerRateLimits({ directory, clock, logger });
  const memory = createCallerMemory({
    budget: createCallerBudget(options.memoryMb, options.maxDescriptors),
    clock,
    logger,
    counters,
    measureHeap: options.heap.measure,
    measureBuffers: options.heap.measureBuffers,
    collectGarbage: options.heap.collectGarbage,
  });
  const getMaxConnections = (server: DiscoveredServer) => {
    const maxConnections = findPolicy(server.service)?.maxConnections ?? 1;
    const share = Math.floor((maxConnections * CONNECTION_SHARE) / freshness.getClusterSize());
    return Math.max(2, Math.min(share, server.slots * MAX_REQUESTS_PER_SLOT));
  };
  const connections = createServerConnections(clock, getMaxConnections, memory);
  const channel = createDatagramChannel(await createUdpTransport(options.peers), counters);
  const permits = createPermitExchange({
    channel,
    address: options.peers,
    rateLimits,
    isCoordinator: () => lease.isHeld(),
    findCoordinator: () => lease.findCoordinator(),
    getClusterSize: () => freshness.getClusterSize(),
    clock,
    random,
    logger,
    counters,
  });
  const largestSize = createLargestSize(clock, () => freshness.findCountedSize());
  const getAllowanceShares = () => largestSize.find() ?? freshness.getClusterSize();
  const allowances = createAllowanceExchange({
    daemon: options.daemon,
    channel,
    address: options.peers,
    ledger: createAllowanceLedger({
      clock,
      bound: limits.allowances,
      getClusterSize: getAllowanceShares,
      countContacts: () => peers.countWithin(CONTACT_LOSS_MS) + 1,
    }),
    findAllowance: (organisation) =>
      routing.findActive()?.configuration.organisations?.byName.get(organisation)?.allowance,
    isCoordinator: () => lease.isHeld(),
    findCoordinator: () => lease.findCoordinator(),
    getClusterSize: getAllowanceShares,
    clock,
    random,
    logger,
    counters,
  });
  const coldAdmission = createColdAdmission(clock, random, () => freshness.getClusterSize());
  const backOff = createServerBackOff(clock, logger);
  const ownerShares = createOwnerShares(clock);
  const costs = createRouteCosts();
  const demands = createPriorityDemands(clock);
  const priorities = createPriorityAdmission({
    demands,
    costs,
    isInContact: () => lease.isHeld() || freshness.isFreshnessChecked(),
    clock,
    timeOfDay: options.timeOfDay,
    logger,
    counters,
  });
  const admission = createServerAdmission({
    directory,
    connections,
    loads,
    permits,
    backOff,
    coldAdmission,
    ownerShares: {
      find: (server, request) => priorities.splitOwnerShare(request, ownerShares.find(server)),
    },
    costs,
    leavingOwnerMs: limits.drainMs * LEAVING_OWNER_SHARE,
    clock,
    random,
  });
  const selection = createServerSelection({
    directory,
    owners,
    admission,
    loads,
    subsets: createServerSubsets(options.daemon, options.dataCentre),
    dataCentre: options.dataCentre,
    distance: { shortMs: SHORT_ANSWER_REMOTE_COST_MS, largeMs: LARGE_ANSWER_REMOTE_COST_MS },
    clock,
  });
  const dispatch = createDispatcher({
    directory,
    owners: {
      findOwner: (service, key) => owners.findOwner(service, key),
      getVersion: (service) => owners.getVersion(service),
      waitForChange: (service, waitMs) => owners.waitForChange(service, waitMs),
      recordRequest: (service, key, weight) => {
        loadReporter.record(service, key, weight);
      },
    },
    connections,
    loads,
    rateLimits,
    backOff,
    permits,
    admission,
    priorities,
    selection,
    costs,
    retryBudget: createRetryBudgetShare(
      clock,
      { ratio: limits.retryRatio, windowMs: limits.retryWindowMs, slack: limits.retrySlack },
      () => freshness.getClusterSize(),
    ),
    protocol: options.serverProtocol,
    clock,
    random,
    logger,
    counters,
  });
  const lease = createCoordinatorLease({
    objects,
    self,
    address: options.peers,
    isFirstStart: options.isFirstStart,
    clock,
    timeOfDay: options.timeOfDay,
    random,
    logger,
    getClaimDelayMs: () => getClaimDelayMs(options.processors, freshness.getLargestProcessors()),
    findCountedSize: () => freshness.findCountedSize(),
    onElected: () => {
      coordination.start();
    },
    onLost: () => {
      coordination.stop();
    },
  });

  const loadReporter = createLoadReporter({
    channel,
    clock,
    isCoordinator: () => lease.isHeld(),
    findCoordinator: () => lease.findCoordinator(),
    getKeyLoad,
    logger,
  });
  const callerListener = await createCallerListener({
    address: options.callers,
    findActive: () => routing.findActive(),
    dispatch,
    organisationAdmission: createOrganisationAdmission({
      acquire: (organisation, allowance) => allowances.acquire(organisation, allowance),
      clock,
      random,
      logger,
      counters,
    }),
    callerProtocol: options.callerProtocol,
    serverProtocol: options.serverProtocol,
    memory,
    clock,
    logger,
    metrics,
  });
  addGatewayGauges({
    metrics,
    callerListener,
    memory,
    routing,
    owners,
    directory,
    connections,
    rateLimits,
    backOff,
    performance,
    priorities,
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
  const distribution = createChangeFeed({
    channel,
    peers: () => peers.getAddresses(),
    isCoordinator: () => lease.isHeld(),
    isInContact: () => freshness.isFreshnessChecked(),
    findCountedSize: () => freshness.findCountedSize(),
    drainMs: limits.drainMs,
    clock,
    logger,
    counters,
    random,
  });
  metrics.addGauge("followed_state", "1 while the coordinator's changes replace a watch", "prefix", () =>
    distribution.getFollowed(),
  );
  const exclusionWatcher = createWatcher(
    paths.exclusions,
    CONFIGURATION_BATCH_PAUSE_MS,
    routing.exclusions,
    EXCLUSION_WATCH_WAIT_MS,
  );
  const exclusions = createExclusionExchange({
    getListedVersion: () => exclusionWatcher.getVersion(),
    apply: (dataCentres) => {
      directory.setExcluded(dataCentres);
    },
    logger,
  });
  const watchers = [
    createWatcher(paths.configuration, CONFIGURATION_BATCH_PAUSE_MS, routing.configurations),
    createWatcher(paths.servers, SERVER_BATCH_PAUSE_MS, {
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
    exclusionWatcher,
    feed,
  ];
  const coordination = createKeyCoordination({
    listKeyedServices: () =>
      [...(routing.findActive()?.configuration.services.values() ?? [])]
        .filter((service) => service.isKeyed)
        .map((service) => service.name),
    getKeyLoad,
    ownerShares,
    objects,
    directory,
    owners,
    control: options.control,
    publish: (...change) => {
      feed.publish(...change);
    },
    clock,
    logger,
    isCoordinator: () => lease.isHeld(),
    getStoreSilenceMs: () => lease.renewedAgoMs(),
    isFirstStart: options.isFirstStart,
    getTimeline: () => getTimeline(lease.getVersion()),
    maxGrantMs: limits.maxGrantMs,
    getCapacities: estimateServerCapacities,
    areCapacitiesMeasured: (servers) =>
      servers.filter((server) => performance.find(server.name) !== undefined).length >
      servers.length * MEASURED_SHARE,
  });
  const freshness = createFreshnessCheck({
    daemon: options.daemon,
    address: options.peers,
    processors: options.processors,
    channel,
    watchers,
    peers,
    clock,
    isCoordinator: () => lease.isHeld(),
    findCoordinator: () => lease.findCoordinator(),
    findStoredSize: () => lease.findStoredSize(),
    getLeaseVersion: () => lease.getVersion(),
    confirmLease: (version) => {
      lease.confirm(version);
    },
    logger,
    rateLimits,
    departures: {
      share: () => directory.shareLeaving(),
      merge: (shared) => {
        directory.mergeLeaving(shared);
      },
    },
    exclusions,
    coldness: {
      shareAnswers: () => directory.shareColdAnswers(),
      shareAll: () => directory.shareCold(),
      merge: (stated) => {
        directory.mergeCold(stated);
      },
    },
    ownerShares,
    distribution,
  });
  const stateExchange = createStateExchange({
    daemon: options.daemon,
    channel,
    isCoordinator: () => lease.isHeld(),
    findCoordinator: () => lease.findCoordinator(),
    getPeers: () => peers.getAddresses(),
    states: [
      performanceExchange,
      createPriorityExchange({
        daemon: options.daemon,
        demands,
        admission: priorities,
        isConfiguredMixed: (service) => isMixedService(routing.findActive()?.configuration.routes, service),
        isKeyed: (service) => findPolicy(service)?.isKeyed ?? false,
        getCapacity: estimateServiceCapacity,
        clock,
        timeOfDay: options.timeOfDay,
        logger,
      }),
    ],
    clock,
    logger,
  });
  watchLoopDelay({ clock, logger, metrics, signal: stop.signal });
  watchers.forEach((watcher) => void watcher.run(stop.signal));
  void freshness.run(stop.signal);
  void lease.run(stop.signal);
  void loadReporter.run(stop.signal);
  void stateExchange.run(stop.signal);
  void repeat(
    clock,
    CLEANUP_INTERVAL_MS,
    stop.signal,
    evictRemovedServers,
    createErrorReport(logger, "evict removed servers"),
  );
  void repeat(
    clock,
    RESIGNATION_CHECK_INTERVAL_MS,
    stop.signal,
    resignForLargerVm,
    createErrorReport(logger, "resign for a larger VM"),
  );
  void coordination.run(stop.signal);

  const explain = createRouteExplainer({
    findActive: () => routing.findActive(),
    isStopping: () => isShuttingDown,
    directory,
    owners,
    selection,
    admission,
    priorities,
    loads,
    performance,
    rateLimits,
    clock,
  });
  return { isReady, explain, shutDown };

  function createWatcher(
    prefix: string,
    pauseMs: number,
    listener: PrefixListener,
    referenceWaitMs?: number,
  ): PrefixWatcher {
    return createPrefixWatcher({
      objects,
      prefix,
      pauseMs,
      isFreshnessChecked: () => freshness.isFreshnessChecked(),
      isReference: () => lease.isHeld(),
      referenceWaitMs,
      follower: distribution.createFollower(prefix),
      clock,
      logger,
      random,
      ...listener,
    });
  }

  function estimateServerCapacities(servers: readonly DiscoveredServer[]): readonly number[] {
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

  /** Returns the requests of mean work per second that the usable servers of a service can take. */
  function estimateServiceCapacity(service: ServiceName): number {
    const capacities = estimateServerCapacities(directory.getUsable(service));
    return capacities.reduce((total, capacity) => total + capacity, 0) * MILLISECONDS_PER_SECOND;
  }

  /** Returns the requests per second that a server accepts now; null when it sets no limit. */
  function findMaxRate(server: DiscoveredServer): number | null {
    const policy = findPolicy(server.service);
    const coldRate = directory.isCold(server) ? (policy?.coldRequestsPerSecond ?? null) : null;
    const rates = [coldRate, rateLimits.find(server.name)].filter((rate) => typeof rate === "number");
    return rates.length === 0 ? null : Math.min(...rates);
  }

  /**
   * Resigns the lease in favour of a much larger VM, at most once per {@link MIN_RESIGNATION_INTERVAL_MS}: if that VM
   * cannot take the lease, this daemon may get it again and would resign it repeatedly.
   */
  async function resignForLargerVm(): Promise<void> {
    const largest = freshness.getLargestProcessors();
    const isDue = clock.now() - resignedAt >= MIN_RESIGNATION_INTERVAL_MS;
    if (lease.isHeld() && isDue && isMuchSmaller(options.processors, largest)) {
      resignedAt = clock.now();
      await lease.resign();
    }
  }

  function listServices(): readonly ServiceName[] {
    return [...(routing.findActive()?.configuration.services.keys() ?? [])];
  }

  function isPerformanceShared(service: ServiceName): boolean {
    const isLarge = (freshness.findCountedSize() ?? 0) >= MIN_SHARING_DAEMONS;
    return isLarge && directory.getByService(service).length > MAX_WHOLE_SIZE;
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
    connections.retain(listServices().flatMap((service) => directory.getByService(service)));
    loads.retain((name) => directory.get(name) !== undefined);
    performance.evict();
    rateLimits.evict();
    backOff.evict();
    permits.evict();
    allowances.evict();
    exclusions.update();
    coldAdmission.retain((name) => {
      const server = directory.get(name);
      return server !== undefined && directory.isCold(server);
    });
  }

  function isReady(): boolean {
    const isInformed = routing.findActive() !== undefined && directory.hasList() && freshness.wasCurrent();
    return !isShuttingDown && isInformed;
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
