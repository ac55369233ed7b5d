/** Holds one lease on one backend server: renews it, monitors the server, and moves slots away from it. */
import { findServer, type Assignment } from "../assignments";
import {
  type AdmissionResult,
  type AdmissionPermit,
  createAdmission,
  createRamp,
  type RampPosition,
} from "../balancing";
import type { ConfigurationDocument, Server, Service } from "../configuration";
import type { Membership } from "../membership";
import { Event, type Logger } from "../observability";
import type { SnapshotStore } from "../snapshots";
import {
  type Clock,
  type DaemonRun,
  type Generation,
  type LoadReport,
  RefusalReason,
  type ServerName,
  type ServiceName,
  type Slot,
  sleep,
} from "../types";
import type { AssignmentStore } from "./assignmentStore";
import { findLeavingReason } from "./candidates";
import type { SlotLoads } from "./placement";
import { createFencedSession, createUnfencedSession } from "./serverSession";
import { createSlotMover } from "./slotMover";
import { computeSlot } from "./slots";
import type { StatusView } from "./statusView";
import type { StopEvidence } from "./stopEvidence";
import { type ServerControl, type ServerReport, ServerState } from "./types";
import type { WorkAdmission, WorkPermit } from "./workPermit";
import { createWorkTracker } from "./workTracker";

const EXCHANGE_INTERVAL_MS = 200;
const INCOMPLETE_GRANT_INTERVAL_MS = 2;
const RETRY_DELAY_MS = 50;
const LOST_RETRY_INTERVAL_MS = 250;
const MOVE_RETRY_INTERVAL_MS = 100;
/** Time without an answer after which a server gets no new work. */
const UNRESPONSIVE_TIMEOUT_MS = 700;
/** Time for which a leaving server may still serve keys that have not moved yet. */
const LEAVING_GRACE_MS = 1500;

/** Options for {@link createServerLease}. */
export interface ServerLeaseOptions {
  readonly service: ServiceName;
  readonly server: ServerName;
  readonly generation: Generation;
  readonly self: DaemonRun;
  /** Settings of the server and its service at the start of the lease. */
  readonly serverSettings: Server;
  readonly serviceSettings: Service;
  readonly control: ServerControl;
  readonly assignments: AssignmentStore;
  readonly snapshots: SnapshotStore;
  readonly statuses: StatusView;
  readonly membership: Membership;
  readonly evidence: StopEvidence;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Returns whether the platform's VM list marks the server's VM as leaving. */
  readonly isVmLeaving: () => boolean;
  /**
   * Returns whether this process may send to an unfenced server: false after a pause until the newest
   * assignments have been read.
   */
  readonly isFresh: () => boolean;
}

/** A lease of this daemon on a backend server. */
export interface ServerLease {
  readonly service: ServiceName;
  readonly server: ServerName;
  readonly generation: Generation;
  /** Holds the lease until aborted or until the server refuses this generation. */
  run(signal: AbortSignal): Promise<void>;
  /** Acquires permission to send a request; waits in the queue until the deadline at most. */
  acquirePermit(key: string | undefined, deadlineAt: number, signal: AbortSignal): Promise<WorkAdmission>;
  /** Records that an answer reported the server as cold or the request as shed. */
  recordCold(): void;
  /** Records a broken or refused connection, which is the first sign of a restart. */
  recordBrokenConnection(): void;
  /** Starts the next control exchange early, for example after a new assignment. */
  wake(): void;
  /** Refuses new and queued work, since the lease passes to another daemon. */
  close(): void;
  /**
   * Continues from the state of the previous leaseholder: its ramp position and the number of its requests in
   * flight.
   */
  resume(position: RampPosition, predecessorInFlight: number): void;
  /** Returns the ramp position for a successor. */
  getRampPosition(): RampPosition;
  /** Returns the current load. */
  getLoad(): LoadReport;
  /** Returns the requests per second of each slot since the last call, and starts a new count. */
  consumeSlotLoads(): SlotLoads;
  /** Returns the state of the server. */
  getState(): ServerState;
}

/**
 * Creates a lease that an assignment gives to this daemon.
 *
 * @param options - The lease and its dependencies.
 * @returns The lease; call `run` to hold it.
 */
export function createServerLease(options: ServerLeaseOptions): ServerLease {
  const { clock, logger, server, service, generation, snapshots, statuses } = options;
  const ramp = createRamp(clock, options.serverSettings.slots, options.serviceSettings.cold_start_ramp);
  const admission = createAdmission({
    clock,
    limit: () => ramp.getLimit(),
    queueLength: options.serviceSettings.queue_length,
    queueTimeoutMs: options.serviceSettings.queue_timeout,
  });
  const work = createWorkTracker(clock);
  const mover = createSlotMover({
    ...options,
    work,
    session: () => session,
    isLeaving: (configuration) => findServerLeavingReason(configuration) !== undefined,
  });
  const session = options.serverSettings.fenced ? createFenced() : createUnfenced();
  let predecessorInFlight = 0;
  let state: ServerState = ServerState.Unknown;
  let statusSequence = 0;
  let serverLost = new AbortController();
  let wakeUp = new AbortController();
  let lastReachedAt = clock.now();
  let leavingStartedAt: number | undefined;
  let isClosed = false;
  let hasReportedUnreachable = false;

  return {
    service,
    server,
    generation,
    run,
    acquirePermit,
    recordCold: () => {
      if (ramp.recordReport(true)) {
        logger.log(Event.ServerCold, { server, service });
      }
    },
    recordBrokenConnection: () => {
      ramp.restartLearning();
    },
    wake,
    close: () => {
      isClosed = true;
      admission.close(RefusalReason.NotLeaseholder);
    },
    resume: (position, inFlight) => {
      ramp.resume(position);
      setPredecessorInFlight(inFlight);
    },
    getRampPosition: () => ramp.getPosition(),
    getLoad: () => admission.getLoad(),
    consumeSlotLoads: () => work.consumeSlotLoads(),
    getState: () => state,
  };

  async function run(signal: AbortSignal): Promise<void> {
    logger.log(Event.LeaseClaimed, { server, service, generation });
    while (!signal.aborted) {
      const delayMs = await runIteration();
      if (delayMs === undefined) {
        break;
      }
      await sleepUntilWoken(delayMs, signal);
    }
    isClosed = true;
    admission.close(RefusalReason.NotLeaseholder);
  }

  /**
   * Carries out one control exchange and acts on its result.
   * Returns the pause until the next one in milliseconds; undefined ends the lease.
   */
  async function runIteration(): Promise<number | undefined> {
    const result = await session.exchange();
    switch (result.kind) {
      case "fenced":
        logger.log(Event.LeaseLost, { server, service, generation, by: result.generation });
        return undefined;
      case "unreached":
        return handleUnreachable(result.error);
      case "reached":
        handleReport(result.report, result.hasRestarted);
        if (!(await mover.resolveInDoubtUpdate())) {
          return EXCHANGE_INTERVAL_MS;
        }
        if (result.isIncomplete) {
          return INCOMPLETE_GRANT_INTERVAL_MS;
        }
        return (await mover.moveSlots()) ? MOVE_RETRY_INTERVAL_MS : EXCHANGE_INTERVAL_MS;
      default:
        return result satisfies never;
    }
  }

  function handleReport(report: ServerReport, hasRestarted: boolean): void {
    lastReachedAt = clock.now();
    hasReportedUnreachable = false;
    if (serverLost.signal.aborted) {
      serverLost = new AbortController();
    }
    if (hasRestarted) {
      logger.log(Event.ServerRestarted, { server, service });
      ramp.startCold();
      predecessorInFlight = 0;
    }
    if (ramp.recordReport(report.isCold)) {
      logger.log(Event.ServerCold, { server, service });
    }
    updatePredecessorInFlight(report);
    setState(chooseState(report));
    updateLeavingStartedAt();
    admission.admitWaiting();
  }

  function chooseState(report: ServerReport): ServerState {
    if (report.isDraining) {
      return ServerState.Draining;
    }
    return ramp.isCold() ? ServerState.Cold : ServerState.Up;
  }

  /**
   * Updates the number of requests of earlier leaseholders. They send no more, so after the first report it
   * only falls.
   */
  function updatePredecessorInFlight(report: ServerReport): void {
    const others = Math.max(0, report.running - work.countInFlight());
    const isFirstReport = state === ServerState.Unknown && generation > 1;
    setPredecessorInFlight(
      isFirstReport ? Math.max(predecessorInFlight, others) : Math.min(predecessorInFlight, others),
    );
  }

  function setPredecessorInFlight(count: number): void {
    predecessorInFlight = count;
    admission.setPredecessorInFlight(count);
  }

  async function handleUnreachable(error: string): Promise<number> {
    const unreachableMs = clock.now() - lastReachedAt;
    if (
      state !== ServerState.Lost &&
      (options.serverSettings.fenced || unreachableMs > UNRESPONSIVE_TIMEOUT_MS)
    ) {
      if (!options.serverSettings.fenced) {
        // Stops new work until the proof below is acted on: a request sent meanwhile would invalidate it.
        setState(ServerState.Unknown);
      }
      if (await session.hasProvablyStopped()) {
        declareLost(error);
      } else if (unreachableMs > UNRESPONSIVE_TIMEOUT_MS) {
        reportUnreachable(error);
      }
    }
    if (state === ServerState.Lost) {
      await mover.moveSlotsOfLostServer();
      return LOST_RETRY_INTERVAL_MS;
    }
    return RETRY_DELAY_MS;
  }

  function declareLost(error: string): void {
    logger.log(Event.ServerLost, { server, service, generation, error });
    setState(ServerState.Lost);
    serverLost.abort();
  }

  function reportUnreachable(error: string): void {
    if (!hasReportedUnreachable) {
      hasReportedUnreachable = true;
      setState(ServerState.Unknown);
      logger.log(Event.ServerUnreachable, { server, service, error });
      logger.log(Event.StopUnconfirmed, { server, service });
    }
  }

  async function acquirePermit(
    key: string | undefined,
    deadlineAt: number,
    signal: AbortSignal,
  ): Promise<WorkAdmission> {
    const refusalBeforeWait = findRefusal(key);
    if (refusalBeforeWait !== undefined) {
      return { kind: "refused", reason: refusalBeforeWait };
    }
    const result: AdmissionResult = await admission.acquire(deadlineAt, signal);
    if (result.kind === "refused") {
      return result;
    }
    // Ownership may have changed while the request waited.
    const refusalAfterWait = findRefusal(key);
    if (refusalAfterWait !== undefined) {
      result.permit.release(undefined);
      return { kind: "refused", reason: refusalAfterWait };
    }
    return { kind: "permitted", permit: createPermit(findSlot(key), deadlineAt, result.permit) };
  }

  function findRefusal(key: string | undefined): RefusalReason | undefined {
    if (isClosed) {
      return RefusalReason.NotLeaseholder;
    }
    if (state === ServerState.Unknown || state === ServerState.Lost || !canSendAfterPause()) {
      return RefusalReason.LeaseNotHeld;
    }
    const leaving = findLeavingRefusal(key);
    if (leaving !== undefined || key === undefined) {
      return leaving;
    }
    const slot = findSlot(key);
    if (slot === undefined || mover.isStopping(slot)) {
      return RefusalReason.OwnershipMoving;
    }
    return session.findEpochToSend(slot) === undefined ? RefusalReason.LeaseNotHeld : undefined;
  }

  function canSendAfterPause(): boolean {
    return options.serverSettings.fenced || options.isFresh();
  }

  /**
   * Finds the reason to refuse a request because the server is leaving. Requests with keys are served for up
   * to LEAVING_GRACE_MS until their slots have moved; those without keys are refused at once.
   */
  function findLeavingRefusal(key: string | undefined): RefusalReason | undefined {
    const configuration = currentConfiguration();
    const reason = configuration === undefined ? undefined : findServerLeavingReason(configuration);
    if (reason === undefined) {
      return undefined;
    }
    leavingStartedAt ??= clock.now();
    const isInGrace = key !== undefined && clock.now() - leavingStartedAt < LEAVING_GRACE_MS;
    return isInGrace ? undefined : reason;
  }

  function findServerLeavingReason(
    configuration: ConfigurationDocument["configuration"],
  ): RefusalReason | undefined {
    return options.isVmLeaving()
      ? RefusalReason.ServerLeaving
      : findLeavingReason(configuration, server, state);
  }

  /** Records when the server began to leave: the grace period counts from then, not from the next request. */
  function updateLeavingStartedAt(): void {
    const configuration = currentConfiguration();
    if (configuration !== undefined && findServerLeavingReason(configuration) !== undefined) {
      leavingStartedAt ??= clock.now();
    } else {
      leavingStartedAt = undefined;
    }
  }

  function createPermit(
    slot: Slot | undefined,
    deadlineAt: number,
    admissionPermit: AdmissionPermit,
  ): WorkPermit {
    work.start(slot);
    return {
      slot,
      epoch: slot === undefined ? undefined : session.findEpochToSend(slot),
      serverLost: serverLost.signal,
      end: (end, latencyMs) => {
        if (end === "unresolved") {
          session.recordUnresolved(slot, deadlineAt);
        }
        if (latencyMs !== undefined) {
          ramp.recordAnswer(latencyMs);
        }
        work.end(slot);
        wakeIfIdle(slot);
        admissionPermit.release(latencyMs);
      },
    };
  }

  /**
   * Wakes the loop when the last request of a stopping slot has ended, since the move of the slot waits for
   * that.
   */
  function wakeIfIdle(slot: Slot | undefined): void {
    if (slot !== undefined && mover.isStopping(slot) && !work.hasRequestsInFlight(slot)) {
      wake();
    }
  }

  function setState(next: ServerState): void {
    if (state !== next && next === ServerState.Up) {
      logger.log(Event.ServerUp, { server, service });
    }
    if (state === next && statusSequence > 0) {
      return;
    }
    state = next;
    statusSequence += 1;
    statuses.apply({
      service,
      server,
      generation,
      sequence: statusSequence,
      state,
      reporter: options.self.daemon,
    });
  }

  function currentConfiguration(): ConfigurationDocument["configuration"] | undefined {
    return snapshots.findConfiguration()?.value.configuration;
  }

  function currentAssignment(): Assignment | undefined {
    return snapshots.findAssignment(service)?.value;
  }

  function findSlot(key: string | undefined): Slot | undefined {
    const assignment = currentAssignment();
    return key === undefined || assignment === undefined
      ? undefined
      : computeSlot(key, assignment.owners.length);
  }

  function createFenced() {
    return createFencedSession({
      control: options.control,
      clock,
      generation,
      desiredSlots: () => mover.desiredSlots(),
      findPredecessorsStoppedAt,
    });
  }

  function createUnfenced() {
    return createUnfencedSession({
      control: options.control,
      clock,
      desiredSlots: () => mover.desiredSlots(),
      predecessorDeadlineMs: generation > 1 ? options.serviceSettings.request_timeout : 0,
      inFlight: () => work.countInFlight(),
      isDeclaredStopped: () =>
        snapshots
          .getStopNotice()
          .servers.some((stopped) => stopped.server === server && stopped.generation === generation),
    });
  }

  async function findPredecessorsStoppedAt(): Promise<number | undefined> {
    const assignment = currentAssignment();
    const entry = assignment === undefined ? undefined : findServer(assignment, server);
    if (entry?.generation !== generation) {
      return undefined;
    }
    let latest = Number.NEGATIVE_INFINITY;
    for (const predecessor of entry.predecessors) {
      if (!(await options.evidence.hasProvablyStopped(predecessor))) {
        return undefined;
      }
      latest = Math.max(latest, options.evidence.findStoppedAt(predecessor) ?? clock.now());
    }
    return latest;
  }

  function wake(): void {
    wakeUp.abort();
  }

  async function sleepUntilWoken(delayMs: number, signal: AbortSignal): Promise<void> {
    wakeUp = new AbortController();
    await sleep(clock, delayMs, AbortSignal.any([signal, wakeUp.signal]));
  }
}
