/** One daemon of the gateway: wires discovery, key ownership and dispatching, and shuts down gracefully. */
import { setMaxListeners } from "node:events";
import {
  type DiscoveredServer,
  createFreshnessCheck,
  createPeerStates,
  createServerDirectory,
} from "../discovery";
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
  createPriorityAdmission,
  createPriorityDemands,
  createRetryBudgetShare,
  createRouteCosts,
  createServerAdmission,
  createServerBackOff,
  isMixedService,
  createServerRateLimits,
  createServerSelection,
  createServerSubsets,
  createServiceCapacities,
} from "./admission";
import { createDispatcher } from "./dispatcher";
import { createCallerBudget, createCallerListener, createCallerMemory } from "./callers";
import { type RouteExplainer, createRouteExplainer } from "./explanation";
import { addGatewayGauges } from "./gauges";
import { shutDownGracefully } from "./gracefulShutdown";
import {
  createKeyCoordination,
  createPermitExchange,
  createPriorityExchange,
  createStateExchange,
} from "./coordination";
import type { GatewayOptions } from "./gatewayOptions";
import { createOrganisationControl } from "./organisationControl";
import { startReadinessServer } from "./readinessServer";
import { createRoutingState } from "./routingState";
import { createServerConnections } from "./servers";
import { createSharedPerformance } from "./sharedPerformance";
import { createStateWatchers } from "./stateWatchers";
import type { ServicePolicy } from "./types";

/** Share of a server's connections for all daemons; the rest is for control calls and replaced daemons. */
const CONNECTION_SHARE = 0.7;
/** Maximum requests of one daemon for each slot of a server; more would only wait in the server's queue. */
const MAX_REQUESTS_PER_SLOT = 3;
/** With fewer daemons each meets a server often enough to know its speed by itself. */
const MIN_SHARING_DAEMONS = 24;
const CLEANUP_INTERVAL_MS = 500;
/** Share of the time after which a leaving server gets no new work, in which its keys move to other owners. */
const LEAVING_OWNER_SHARE = 0.5;
/** Maximum periodic tasks; more listeners than this on the stop signal indicate a leak. */
const MAX_TASKS = 50;
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
  const {
    performance,
    loads,
    exchange: performanceExchange,
  } = createSharedPerformance({
    directory,
    listServices,
    isShared: isPerformanceShared,
    clock,
    logger,
    counters,
  });
  const rateLimits = createServerRateLimits({ directory, clock, logger });
  const capacities = createServiceCapacities({
    directory,
    performance,
    loads,
    findRateLimit: (server) => rateLimits.find(server),
    findPolicy,
  });
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
  const organisations = createOrganisationControl({
    daemon: options.daemon,
    channel,
    address: options.peers,
    bound: limits.allowances,
    findAllowance: (organisation) =>
      routing.findActive()?.configuration.organisations?.byName.get(organisation)?.allowance,
    findCountedSize: () => freshness.findCountedSize(),
    getClusterSize: () => freshness.getClusterSize(),
    countContacts: (maxAgeMs) => peers.countWithin(maxAgeMs),
    isCoordinator: () => lease.isHeld(),
    findCoordinator: () => lease.findCoordinator(),
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
    organisationAdmission: organisations.admission,
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
  await startReadinessServer(options.readiness, options.readinessPath, isReady);
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
  const { watchers, exclusions, distribution } = createStateWatchers({
    objects,
    paths,
    routing,
    directory,
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
  const checkedWatchers = [...watchers, feed];
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
    getCapacities: (servers) => capacities.estimateServers(servers),
    areCapacitiesMeasured: (servers) => capacities.areMeasured(servers),
  });
  const freshness = createFreshnessCheck({
    daemon: options.daemon,
    address: options.peers,
    processors: options.processors,
    channel,
    watchers: checkedWatchers,
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
        getCapacity: (service) => capacities.estimateService(service),
        clock,
        timeOfDay: options.timeOfDay,
        logger,
      }),
    ],
    clock,
    logger,
  });
  watchLoopDelay({ clock, logger, metrics, signal: stop.signal });
  checkedWatchers.forEach((watcher) => void watcher.run(stop.signal));
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
    organisations.evict();
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
