/** One daemon: creates and connects the subsystems, starts them in order and shuts them down gracefully. */
import { createLoadView, createRetryBudget } from "../balancing";
import { PlatformUnavailableError, describeError } from "../errors";
import { createMembership, createUdpTransport } from "../membership";
import { Event, createCounters, createErrorReport, createLogger } from "../observability";
import {
  type SlotLoads,
  balanceLeases,
  createAssignmentStore,
  createHttpServerControl,
  createLeaseManager,
  createPauseGuard,
  createPlanner,
  createStatusView,
  createStopEvidence,
  rankCandidates,
  refusesConnections,
} from "../ownership";
import { PEER_PROTOCOL, type Peers, createPeers } from "../peers";
import {
  CallPriority,
  type ObjectAnswer,
  type ObjectCall,
  executeObjectCall,
  createHttpPlatform,
  createRelayedObjectStore,
} from "../objectStore";
import {
  createCallerServer,
  createLeaseholderDispatcher,
  createPeerForwarder,
  createRouteTable,
  createRouter,
  createWorkRegistry,
} from "../routing";
import type { Settings } from "../settings";
import { createSnapshotStore, watchPlatform } from "../snapshots";
import { type ServiceName, chooseRandom, repeat, sleep, systemClock } from "../types";
import { createAdminServer } from "./adminServer";
import { shutDownGracefully } from "./gracefulShutdown";
import { RELEASE } from "./release";
import { type Dissemination, createDissemination } from "./dissemination";
import { describeOwner, describeStatus } from "./status";

const WATCHERS_PER_DATA_CENTRE = 2;
const LEASE_BALANCE_INTERVAL_MS = 2000;
const START_CHECK_INTERVAL_MS = 50;
const MAX_SEED_SYNC_ATTEMPTS = 20;
const REFRESH_RETRY_MS = 500;
const RETRY_BUDGET_RATIO = 0.1;
const RETRY_BUDGET_CAPACITY = 100;

/** A running daemon. */
export interface Daemon {
  /** Shuts down gracefully: hands over the leases, completes requests in flight, then stops. */
  shutDown(): Promise<void>;
}

/**
 * Starts a daemon.
 *
 * @param settings - Settings of the daemon.
 * @returns The daemon, as soon as its addresses are bound.
 * @throws Error when an address cannot be bound.
 */
export async function startDaemon(settings: Settings): Promise<Daemon> {
  const clock = systemClock;
  const random = Math.random;
  const logger = createLogger(settings.daemon, settings.log_level);
  const counters = createCounters(settings.daemon, settings.statsd);
  const platform = createHttpPlatform({
    url: settings.platform.url.replace(/\/$/, ""),
    timeoutMs: settings.platform.timeout,
    writesPerSecond: settings.platform.writes_per_second,
    readsPerSecond: settings.platform.reads_per_second,
  });
  const snapshots = createSnapshotStore(logger, counters);
  const statuses = createStatusView();
  const run = { daemon: settings.daemon, incarnation: Date.now() };
  const stop = new AbortController();
  let isLeaving = false;
  let hasPlatformAnswered = false;
  let hasSyncedWithSeeds = false;

  const transport = await createUdpTransport(settings.peers);
  const membership = createMembership({
    cluster: settings.cluster,
    self: { ...run, dataCentre: settings.data_centre, address: settings.peers },
    seeds: settings.seeds.map((seed) => ({
      daemon: seed.daemon,
      address: { host: seed.host, port: seed.port },
    })),
    clock,
    transport,
    logger,
    counters,
    random,
    computeDigest: () => snapshots.computeDigest(),
  });
  const pauseGuard = createPauseGuard(clock, logger, () => {
    void refreshAfterPause();
  });
  const objects = createRelayedObjectStore({
    direct: platform.objects,
    isReachable: () => membership.self().platformReachable,
    relay: relayObjectCall,
  });
  const assignments = createAssignmentStore(objects, snapshots);
  const evidence = createStopEvidence({
    membership,
    snapshots,
    vms: platform.vms,
    identifyPeer: (address) => getPeers().identify(address),
    clock,
  });
  const leases = createLeaseManager({
    self: run,
    assignments,
    snapshots,
    statuses,
    membership,
    evidence,
    clock,
    logger,
    isFresh: () => pauseGuard.isFresh(),
    createControl: createHttpServerControl,
    isVmLeaving: (address) => dissemination.isVmLeaving(address),
    sendHandover: (successor, handover) => {
      getPeers().broadcast({ kind: "handover", handover }, [successor.daemon]);
    },
  });
  const registry = createWorkRegistry(clock);
  const dispatcher = createLeaseholderDispatcher({
    leases,
    snapshots,
    registry,
    clock,
    logger,
    counters,
    peers: getPeers,
  });
  const loads = createLoadView(clock, random);
  const router = createRouter({
    table: createRouteTable({ snapshots, membership, statuses, loads }),
    forward: createPeerForwarder({
      membership,
      peers: getPeers,
      counters,
      handleLocally: dispatcher.handleWork,
      random,
    }),
    loads,
    retryBudget: createRetryBudget(RETRY_BUDGET_RATIO, RETRY_BUDGET_CAPACITY),
    clock,
    counters,
  });
  const planner = createPlanner({
    membership,
    snapshots,
    assignments,
    statuses,
    evidence,
    clock,
    logger,
    collectLoads,
    refusesConnections,
  });

  const peers: Peers = await createPeers({
    hello: {
      kind: "hello",
      protocol: PEER_PROTOCOL,
      cluster: settings.cluster,
      ...run,
      dataCentre: settings.data_centre,
      release: RELEASE,
    },
    address: settings.peers,
    membership,
    clock,
    logger,
    counters,
    handlers: {
      handleWork: dispatcher.handleWork,
      blockUnlessSeen: (workId) => registry.blockUnlessSeen(workId),
      handleObjectCall: (call) => executeObjectCall(platform.objects, call, CallPriority.Ownership),
      listNewerThan: (versions) => snapshots.listNewerThan(versions),
      getVersions: () => snapshots.getVersions(),
      applySnapshots: (received) => {
        dissemination.applySnapshots(received);
      },
      listOwnStatuses: () => statuses.all().filter((status) => status.reporter === settings.daemon),
      applyStatuses: (received) => {
        received.forEach((status) => statuses.apply(status));
      },
      setLeavingVms: (addresses) => {
        dissemination.setLeavingVms(addresses);
      },
      receiveHandover: (handover) => {
        leases.receiveHandover(handover);
      },
      consumeSlotLoads,
    },
  });
  const dissemination: Dissemination = createDissemination({
    snapshots,
    statuses,
    membership,
    peers,
    vms: platform.vms,
    clock,
    random,
    logger,
    isWatcher,
  });
  snapshots.events.on("changed", () => {
    membership.setConfigurationVersion(snapshots.findConfiguration()?.version ?? 0);
    leases.reconcile();
  });
  membership.events.on("changed", (member) => {
    if (member.status === "alive" && member.daemon !== settings.daemon) {
      getPeers()
        .connect(member.daemon)
        .catch(() => undefined);
    }
  });

  const callers = await createCallerServer({
    address: settings.callers,
    router,
    snapshots,
    clock,
    logger,
    counters,
  });
  const admin = await createAdminServer(settings.admin, {
    isReady,
    describeStatus: () => describeStatus({ membership, snapshots, statuses, leases, isReady }),
    describeOwner: (service, key) => describeOwner(snapshots, service, key),
    getCounters: () => ({ ...counters.totals(), "peers.sentBytes": getPeers().countSentBytes() }),
    release: RELEASE,
  });
  logger.log(Event.DaemonStarted, { release: RELEASE, dataCentre: settings.data_centre });

  void watchPlatform(
    {
      objects: platform.objects,
      snapshots,
      clock,
      logger,
      isWatcher,
      onReachabilityUpdate: (reachable) => {
        hasPlatformAnswered ||= reachable;
        membership.setPlatformReachable(reachable);
      },
    },
    stop.signal,
  );
  void dissemination.run(stop.signal);
  void runPlanner();
  void repeat(
    clock,
    LEASE_BALANCE_INTERVAL_MS,
    stop.signal,
    rebalanceLeases,
    createErrorReport(logger, "rebalance leases"),
  );

  return { shutDown };

  /** Defers the access to `peers`, since its handlers use subsystems that in turn use `peers`. */
  function getPeers(): Peers {
    return peers;
  }

  /**
   * Relays a call to the object store through a daemon that can reach the platform, while this one cannot.
   * Returns undefined when no present daemon can.
   */
  async function relayObjectCall(call: ObjectCall): Promise<ObjectAnswer | undefined> {
    const candidates = membership
      .present()
      .filter((member) => member.platformReachable && member.daemon !== settings.daemon);
    const relay = chooseRandom(random, candidates);
    if (relay === undefined) {
      return undefined;
    }
    counters.increment("platform.relayed", call.kind);
    try {
      return await (await getPeers().connect(relay.daemon)).executeObjectCall(call);
    } catch {
      return { kind: "unavailable" };
    }
  }

  function isReady(): boolean {
    return !isLeaving && hasCurrentSnapshots() && snapshots.findConfiguration() !== undefined;
  }

  /**
   * Returns whether the platform has answered or all seeds were asked for snapshots. A restarted daemon that
   * relied on a single peer could act on a stale snapshot.
   */
  function hasCurrentSnapshots(): boolean {
    return hasPlatformAnswered || hasSyncedWithSeeds;
  }

  async function runPlanner(): Promise<void> {
    await syncWithSeeds();
    while (!isReady() && !stop.signal.aborted) {
      await sleep(clock, START_CHECK_INTERVAL_MS, stop.signal);
    }
    logger.log(Event.DaemonReady);
    await planner.run(stop.signal);
  }

  async function syncWithSeeds(): Promise<void> {
    const others = settings.seeds.filter((seed) => seed.daemon !== settings.daemon);
    await Promise.all(others.map((seed) => syncWithSeed(seed.daemon)));
    hasSyncedWithSeeds = snapshots.findConfiguration() !== undefined;
  }

  async function syncWithSeed(daemon: string): Promise<void> {
    for (let attempt = 0; attempt < MAX_SEED_SYNC_ATTEMPTS && !stop.signal.aborted; attempt += 1) {
      if (membership.get(daemon) !== undefined && (await dissemination.syncWith(daemon))) {
        return;
      }
      await sleep(clock, START_CHECK_INTERVAL_MS, stop.signal);
    }
  }

  /** Returns whether this daemon watches the platform. Two per data centre do, and inform the others. */
  function isWatcher(): boolean {
    const eligible = membership
      .present()
      .filter(
        (member) => member.dataCentre === settings.data_centre && !member.leaving && member.platformReachable,
      )
      .map((member) => member.daemon);
    return rankCandidates("watcher", eligible).slice(0, WATCHERS_PER_DATA_CENTRE).includes(settings.daemon);
  }

  /**
   * Reads the newest assignments of this daemon's leases, since another daemon may have taken the leases
   * during the pause.
   */
  async function refreshAfterPause(): Promise<void> {
    while (!stop.signal.aborted) {
      try {
        for (const service of new Set(leases.all().map((lease) => lease.service))) {
          await assignments.refresh(service);
        }
        pauseGuard.markFresh();
        return;
      } catch {
        await sleep(clock, REFRESH_RETRY_MS, stop.signal);
      }
    }
  }

  function consumeSlotLoads(service: ServiceName): SlotLoads {
    const own = leases.all().filter((lease) => lease.service === service);
    return new Map(own.flatMap((lease) => [...lease.consumeSlotLoads()]));
  }

  async function collectLoads(service: ServiceName): Promise<SlotLoads> {
    const collected = new Map(consumeSlotLoads(service));
    const others = membership.present().filter((member) => member.daemon !== settings.daemon);
    await Promise.all(
      others.map(async (member) => {
        try {
          const peer = await getPeers().connect(member.daemon);
          for (const [slot, load] of await peer.queryLoads(service)) {
            collected.set(slot, load);
          }
        } catch {
          // The loads of a daemon that does not answer are missing from this round.
        }
      }),
    );
    return collected;
  }

  async function rebalanceLeases(): Promise<void> {
    if (isLeaving || !isReady()) {
      return;
    }
    try {
      await balanceLeases({ leases, membership, snapshots });
    } catch (error) {
      logHandoverError(error);
    }
  }

  function logHandoverError(error: unknown): void {
    const kind = error instanceof PlatformUnavailableError ? Event.PlanFailed : Event.UnexpectedError;
    logger.log(kind, { step: "hand leases over", error: describeError(error) });
  }

  async function shutDown(): Promise<void> {
    isLeaving = true;
    await shutDownGracefully({
      clock,
      logger,
      membership,
      snapshots,
      leases,
      callers,
      dispatcher,
      peers,
      timeoutMs: settings.shutdown_timeout,
      logHandoverError,
      stopSubsystems,
    });
  }

  async function stopSubsystems(): Promise<void> {
    stop.abort();
    membership.stop();
    transport.close();
    pauseGuard.stop();
    dispatcher.close();
    admin.close();
    await getPeers().close();
    await platform.close();
    counters.close();
  }
}
