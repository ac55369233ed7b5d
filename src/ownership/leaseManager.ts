/** Holds the leases that assignments give to this daemon, and hands them over to successors. */
import {
  clearPredecessors,
  findServer,
  holdsLease,
  setLeaseholder,
  type AssignedServer,
  type Assignment,
  type Leaseholder,
} from "../assignments";
import type { RampPosition } from "../balancing";
import type { Service } from "../configuration";
import { PlatformUnavailableError, describeError } from "../errors";
import { Event } from "../observability";
import {
  type CancelTimer,
  type DaemonRun,
  type Generation,
  type ServerName,
  type ServiceName,
  isSameRun,
  sleep,
} from "../types";
import { type ServerLease, type ServerLeaseOptions, createServerLease } from "./serverLease";
import type { ServerControl } from "./types";
import { ServerState } from "./types";

/** Interval of the predecessor cleanup, and of the attempts to resolve an in-doubt handover. */
const POLL_INTERVAL_MS = 1000;
const HANDOVER_RETENTION_MS = 5000;

/** State that the previous leaseholder of a server sends to its successor. */
export interface Handover {
  readonly server: ServerName;
  /** Generation of the successor. */
  readonly generation: Generation;
  readonly position: RampPosition;
  /** Number of requests of the previous leaseholder that are still running. */
  readonly inFlight: number;
}

/** Options for {@link createLeaseManager}. */
export interface LeaseManagerOptions extends Omit<
  ServerLeaseOptions,
  "service" | "server" | "generation" | "serverSettings" | "serviceSettings" | "control" | "isVmLeaving"
> {
  /** Creates the adapter for control calls to a server. */
  readonly createControl: (server: ServerName, address: { host: string; port: number }) => ServerControl;
  /** Returns whether the VM list marks a server's VM as leaving. */
  readonly isVmLeaving: (address: { host: string; port: number }) => boolean;
  /** Sends a handover to a successor. */
  readonly sendHandover: (successor: DaemonRun, handover: Handover) => void;
}

/** Manages the leases of this daemon. */
export interface LeaseManager {
  /** Returns the lease of a server, or undefined when this daemon does not hold it. */
  get(server: ServerName): ServerLease | undefined;
  /** Returns all held leases. */
  all(): readonly ServerLease[];
  /** Starts and ends leases to match the newest assignments. */
  reconcile(): void;
  /**
   * Applies a predecessor's handover to the lease of its server: at once, or when the lease starts within
   * HANDOVER_RETENTION_MS.
   */
  receiveHandover(handover: Handover): void;
  /**
   * Hands leases over to successors with one write for each service.
   * Throws PlatformUnavailableError when the platform gives no answer.
   */
  handOver(
    servers: readonly ServerName[],
    chooseSuccessor: (server: AssignedServer) => Leaseholder | undefined,
  ): Promise<void>;
  /** Ends all leases without a handover. */
  stop(): Promise<void>;
}

interface HeldLease {
  readonly lease: ServerLease;
  readonly abort: AbortController;
  readonly control: ServerControl;
  readonly finished: Promise<void>;
  isRunning: boolean;
}

/**
 * Creates a lease manager.
 *
 * @param options - Dependencies that all leases share.
 * @returns The lease manager.
 */
export function createLeaseManager(options: LeaseManagerOptions): LeaseManager {
  const { snapshots, clock, logger, self } = options;
  const held = new Map<ServerName, HeldLease>();
  const handovers = new Map<ServerName, Handover>();
  let isStopped = false;
  let cancelCleanup: CancelTimer = clock.schedule(POLL_INTERVAL_MS, runPredecessorCleanup);

  return {
    get: (server) => held.get(server)?.lease,
    all: () => [...held.values()].map((entry) => entry.lease),
    reconcile,
    receiveHandover,
    handOver,
    stop: async () => {
      isStopped = true;
      cancelCleanup();
      await Promise.all([...held.keys()].map(endLease));
    },
  };

  function reconcile(): void {
    if (isStopped) {
      return;
    }
    for (const [server, entry] of held) {
      if (isStillHeld(entry.lease)) {
        entry.lease.wake();
      } else {
        logger.log(Event.LeaseLost, { server, generation: entry.lease.generation });
        void endLease(server);
      }
    }
    for (const { value: assignment } of snapshots.getAssignments()) {
      for (const server of assignment.servers) {
        startIfAssigned(assignment, server);
      }
    }
  }

  function isStillHeld(lease: ServerLease): boolean {
    const assignment = snapshots.findAssignment(lease.service)?.value;
    return assignment !== undefined && holdsLease(assignment, lease.server, lease.generation, self);
  }

  function startIfAssigned(assignment: Assignment, server: AssignedServer): void {
    if (server.leaseholder === null || !isSameRun(server.leaseholder, self) || held.has(server.name)) {
      return;
    }
    const configuration = snapshots.findConfiguration()?.value.configuration;
    const serverSettings = configuration?.servers[server.name];
    const serviceSettings = configuration?.services[assignment.service];
    if (serverSettings === undefined || serviceSettings === undefined) {
      return;
    }
    startLease(assignment.service, server, serverSettings, serviceSettings);
  }

  function startLease(
    service: ServiceName,
    server: AssignedServer,
    serverSettings: ServerLeaseOptions["serverSettings"],
    serviceSettings: Service,
  ): void {
    const address = { host: serverSettings.host, port: serverSettings.port };
    const control = options.createControl(server.name, address);
    const lease = createServerLease({
      ...options,
      service,
      server: server.name,
      generation: server.generation,
      serverSettings,
      serviceSettings,
      control,
      isVmLeaving: () => options.isVmLeaving(address),
    });
    const abort = new AbortController();
    const entry: HeldLease = {
      lease,
      abort,
      control,
      isRunning: true,
      finished: runLease(lease, abort.signal),
    };
    held.set(server.name, entry);
    applyHandover(lease);
  }

  async function runLease(lease: ServerLease, signal: AbortSignal): Promise<void> {
    try {
      await lease.run(signal);
    } catch (error) {
      logger.log(Event.UnexpectedError, {
        server: lease.server,
        step: "hold lease",
        error: describeError(error),
      });
      lease.close();
    }
  }

  async function endLease(server: ServerName): Promise<void> {
    const entry = held.get(server);
    if (entry === undefined) {
      return;
    }
    held.delete(server);
    entry.lease.close();
    entry.abort.abort();
    await entry.finished;
    entry.control.close();
  }

  function receiveHandover(handover: Handover): void {
    handovers.set(handover.server, handover);
    clock.schedule(HANDOVER_RETENTION_MS, () => {
      if (handovers.get(handover.server) === handover) {
        handovers.delete(handover.server);
      }
    });
    const lease = held.get(handover.server)?.lease;
    if (lease !== undefined) {
      applyHandover(lease);
    }
  }

  function applyHandover(lease: ServerLease): void {
    const handover = handovers.get(lease.server);
    if (handover?.generation === lease.generation) {
      lease.resume(handover.position, handover.inFlight);
    }
  }

  async function handOver(
    servers: readonly ServerName[],
    chooseSuccessor: (server: AssignedServer) => Leaseholder | undefined,
  ): Promise<void> {
    const leases = servers.flatMap((server) => held.get(server)?.lease ?? []);
    for (const service of new Set(leases.map((lease) => lease.service))) {
      await handOverService(
        service,
        leases.filter((lease) => lease.service === service),
        chooseSuccessor,
      );
    }
  }

  /**
   * Hands over the leases of one service. It stops sending before it writes the new leaseholders: an unfenced
   * server refuses no sender, so two must never send to it at once.
   */
  async function handOverService(
    service: ServiceName,
    leases: readonly ServerLease[],
    chooseSuccessor: (server: AssignedServer) => Leaseholder | undefined,
  ): Promise<void> {
    const assignment = snapshots.findAssignment(service)?.value;
    const successors = new Map<ServerLease, Leaseholder>();
    for (const lease of leases) {
      const server = assignment === undefined ? undefined : findServer(assignment, lease.server);
      const successor = server === undefined ? undefined : chooseSuccessor(server);
      if (successor !== undefined) {
        successors.set(lease, successor);
      }
    }
    if (successors.size === 0) {
      return;
    }
    // Throws when the platform does not answer, so that no lease is closed for a handover that cannot be
    // written.
    await options.assignments.refresh(service);
    for (const [lease, successor] of successors) {
      lease.close();
      announceHandover(lease, successor);
    }
    try {
      await options.assignments.update(service, (current) => {
        return current === undefined ? undefined : replaceLeaseholders(current, successors);
      });
    } catch (error) {
      void restartAfterInDoubtUpdate(service, [...successors.keys()]);
      throw error;
    }
    for (const lease of successors.keys()) {
      logger.log(Event.LeaseHandedOver, { server: lease.server, to: successors.get(lease)?.daemon });
    }
    reconcile();
  }

  /**
   * Ends the closed leases, and starts those that are still assigned to this daemon, after an in-doubt
   * handover. It may have taken effect, so nothing is sent until that is known.
   */
  async function restartAfterInDoubtUpdate(
    service: ServiceName,
    leases: readonly ServerLease[],
  ): Promise<void> {
    while (!isStopped) {
      try {
        await options.assignments.resolveInDoubtUpdates(service);
        break;
      } catch {
        await sleep(clock, POLL_INTERVAL_MS);
      }
    }
    for (const lease of leases) {
      if (held.get(lease.server)?.lease === lease) {
        await endLease(lease.server);
      }
    }
    reconcile();
  }

  function announceHandover(lease: ServerLease, successor: Leaseholder): void {
    options.sendHandover(successor, {
      server: lease.server,
      generation: lease.generation + 1,
      position: lease.getRampPosition(),
      inFlight: lease.getLoad().inFlight,
    });
  }

  function replaceLeaseholders(
    current: Assignment,
    successors: ReadonlyMap<ServerLease, Leaseholder>,
  ): Assignment | undefined {
    let next = current;
    for (const [lease, successor] of successors) {
      if (holdsLease(next, lease.server, lease.generation, self)) {
        next = setLeaseholder(next, lease.server, successor);
      }
    }
    return next === current ? undefined : next;
  }

  function runPredecessorCleanup(): void {
    void clearAllObsoletePredecessors().finally(() => {
      if (!isStopped) {
        cancelCleanup = clock.schedule(POLL_INTERVAL_MS, runPredecessorCleanup);
      }
    });
  }

  /**
   * Clears the predecessors of all servers that have answered under this daemon's generation: no evidence
   * that these predecessors have stopped is needed any more.
   */
  async function clearAllObsoletePredecessors(): Promise<void> {
    for (const { value: assignment } of snapshots.getAssignments()) {
      if (assignment.servers.some((server) => hasObsoletePredecessors(assignment, server))) {
        await clearObsoletePredecessors(assignment.service);
      }
    }
  }

  async function clearObsoletePredecessors(service: ServiceName): Promise<void> {
    try {
      await options.assignments.update(service, (current) => {
        const obsolete = current?.servers.filter((server) => hasObsoletePredecessors(current, server)) ?? [];
        return obsolete.length === 0 || current === undefined
          ? undefined
          : obsolete.reduce((next, server) => clearPredecessors(next, server.name), current);
      });
    } catch (error) {
      if (!(error instanceof PlatformUnavailableError)) {
        throw error;
      }
    }
  }

  function hasObsoletePredecessors(assignment: Assignment, server: AssignedServer): boolean {
    const lease = held.get(server.name)?.lease;
    const isReached = lease?.getState() === ServerState.Up || lease?.getState() === ServerState.Cold;
    return (
      lease !== undefined &&
      isReached &&
      server.predecessors.length > 0 &&
      holdsLease(assignment, server.name, lease.generation, self)
    );
  }
}
