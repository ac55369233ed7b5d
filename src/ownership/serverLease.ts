/** One lease on one backend server: renews it, watches the server, and moves slots away from it. */
import {
  type AdmissionResult,
  type Place,
  createAdmission,
  createRamp,
  type RampPosition,
} from "../balancing";
import type { ConfigurationDocument, Server, Service } from "../configuration";
import { PlatformUnavailableError, describeError } from "../errors";
import type { Membership } from "../membership";
import { type Counters, Event, type Logger } from "../observability";
import type { SnapshotStore } from "../snapshots";
import {
  type Clock,
  type DaemonRun,
  type Epoch,
  type Generation,
  type LoadReport,
  RefusalReason,
  type ServerName,
  type ServiceName,
  type Slot,
  sleep,
} from "../types";
import { clearPredecessors, commitMoves, findServer, holdsLease, slotsOf } from "./assignment";
import type { AssignmentStore } from "./assignmentStore";
import { findLeavingReason, listCandidates } from "./candidates";
import { type SlotLoads, placeSlots } from "./placement";
import { createFencedSession, createUnfencedSession } from "./serverSession";
import { computeSlot } from "./slots";
import type { StatusView } from "./statusView";
import type { StopEvidence } from "./stopEvidence";
import { type Assignment, type Move, type ServerControl, type ServerReport, ServerState } from "./types";

const EXCHANGE_INTERVAL_MS = 200;
const INCOMPLETE_INTERVAL_MS = 2;
const RETRY_INTERVAL_MS = 50;
const LOST_RETRY_INTERVAL_MS = 250;
const MOVE_RETRY_INTERVAL_MS = 100;
/** Silence after which an unfenced server gets no new work. */
const SILENCE_MS = 700;
/** Time that keys may still be served by a server that leaves, until they have moved. */
const LEAVING_GRACE_MS = 1500;
const MILLISECONDS_PER_SECOND = 1000;

/** What a lease is made from. */
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
  readonly counters: Counters;
  /** Whether the platform's VM list says that the server's VM leaves. */
  readonly isVmLeaving: () => boolean;
  /** Whether this process may send without being fenced: false after a pause until it has caught up. */
  readonly isFresh: () => boolean;
}

/** How a request that was sent has ended. */
export type WorkEnd = "answered" | "notSent" | "unresolved";

/** Permission to send one request. */
export interface WorkPermit {
  readonly slot: Slot | undefined;
  readonly epoch: Epoch | undefined;
  /** Aborted when the server is proved stopped. */
  readonly serverLost: AbortSignal;
  /** Takes note of the end. Call it exactly once. */
  end(end: WorkEnd, latencyMs: number | undefined): void;
}

/** Answer to a request for permission. */
export type WorkAdmission =
  | { readonly kind: "permitted"; readonly permit: WorkPermit }
  | { readonly kind: "refused"; readonly reason: RefusalReason };

/** A held lease. */
export interface ServerLease {
  readonly service: ServiceName;
  readonly server: ServerName;
  readonly generation: Generation;
  /** Runs until aborted or until the server is fenced against this generation. */
  run(signal: AbortSignal): Promise<void>;
  /** Asks for permission to send a request; waits in the queue until the deadline at most. */
  beginWork(key: string | undefined, deadlineAt: number, signal: AbortSignal): Promise<WorkAdmission>;
  /** Takes the server's word in an answer that it is cold or has shed the request. */
  recordCold(): void;
  /** Wakes the loop, for example after a new assignment. */
  wake(): void;
  /** Stops new work, as the lease passes to another daemon. */
  close(): void;
  /** Continues where the previous leaseholder was. */
  resume(position: RampPosition, foreignInFlight: number): void;
  /** Ramp position for a successor. */
  rampPosition(): RampPosition;
  /** Load now. */
  load(): LoadReport;
  /** Requests per second of each slot since the last call. */
  takeSlotLoads(): SlotLoads;
  /** State of the server. */
  state(): ServerState;
}

/**
 * Creates a lease that this daemon was given in the assignment.
 *
 * @param options - Lease, ports and views.
 * @returns The lease; call `run` to hold it.
 */
export function createServerLease(options: ServerLeaseOptions): ServerLease {
  const { clock, logger, server, service, generation, snapshots, statuses } = options;
  const ramp = createRamp(clock, options.serverSettings.slots, options.serviceSettings.cold_start_ramp);
  const admission = createAdmission({
    clock,
    limit: () => ramp.limit(),
    queueLength: options.serviceSettings.queue_length,
    queueTimeoutMs: options.serviceSettings.queue_timeout,
  });
  const session = options.serverSettings.fenced ? createFenced() : createUnfenced();
  const working = new Map<Slot, number>();
  const stoppingSlots = new Set<Slot>();
  const slotRequests = new Map<Slot, number>();
  let inFlight = 0;
  let foreignInFlight = 0;
  let countedSince = clock.now();
  let state: ServerState = ServerState.Unknown;
  let statusSequence = 0;
  let serverLost = new AbortController();
  let wakeUp = new AbortController();
  let lastReachedAt = clock.now();
  let leavingSince: number | undefined;
  let isClosed = false;
  let needsSettling = false;
  let hasReportedDoubt = false;

  return {
    service,
    server,
    generation,
    run,
    beginWork,
    recordCold: () => {
      if (ramp.recordReport(true)) {
        logger.log(Event.ServerCold, { server, service });
      }
    },
    wake,
    close: () => {
      isClosed = true;
      admission.close(RefusalReason.NotLeaseholder);
    },
    resume: (position, foreign) => {
      ramp.resume(position);
      setForeignInFlight(foreign);
    },
    rampPosition: () => ramp.position(),
    load: () => admission.load(),
    takeSlotLoads,
    state: () => state,
  };

  async function run(signal: AbortSignal): Promise<void> {
    logger.log(Event.LeaseClaimed, { server, service, generation });
    while (!signal.aborted) {
      const delayMs = await step();
      if (delayMs === undefined) {
        break;
      }
      await sleepUntilWoken(delayMs, signal);
    }
    isClosed = true;
    admission.close(RefusalReason.NotLeaseholder);
  }

  /** One exchange with what follows from it. Returns the pause until the next; undefined ends the lease. */
  async function step(): Promise<number | undefined> {
    const result = await session.exchange();
    switch (result.kind) {
      case "fenced":
        logger.log(Event.LeaseLost, { server, service, generation, by: result.generation });
        return undefined;
      case "unreached":
        return followSilence(result.error);
      case "reached":
        followReport(result.report, result.hasRestarted);
        if (!(await settle())) {
          return EXCHANGE_INTERVAL_MS;
        }
        if (result.isIncomplete) {
          return INCOMPLETE_INTERVAL_MS;
        }
        return (await moveSlots()) ? MOVE_RETRY_INTERVAL_MS : EXCHANGE_INTERVAL_MS;
      default:
        return result satisfies never;
    }
  }

  function followReport(report: ServerReport, hasRestarted: boolean): void {
    lastReachedAt = clock.now();
    hasReportedDoubt = false;
    if (serverLost.signal.aborted) {
      serverLost = new AbortController();
    }
    if (hasRestarted) {
      logger.log(Event.ServerRestarted, { server, service });
      ramp.startCold();
      foreignInFlight = 0;
    }
    if (ramp.recordReport(report.isCold)) {
      logger.log(Event.ServerCold, { server, service });
    }
    updateForeignInFlight(report);
    setState(chooseState(report));
    admission.refresh();
  }

  function chooseState(report: ServerReport): ServerState {
    if (report.isDraining) {
      return ServerState.Draining;
    }
    return ramp.isCold() ? ServerState.Cold : ServerState.Up;
  }

  /** Requests of earlier leaseholders end one by one; their number never rises. */
  function updateForeignInFlight(report: ServerReport): void {
    const others = Math.max(0, report.running - inFlight);
    const isFirstReport = state === ServerState.Unknown && generation > 1;
    setForeignInFlight(isFirstReport ? Math.max(foreignInFlight, others) : Math.min(foreignInFlight, others));
  }

  function setForeignInFlight(count: number): void {
    foreignInFlight = count;
    admission.setForeignInFlight(count);
  }

  async function followSilence(error: string): Promise<number> {
    const silentMs = clock.now() - lastReachedAt;
    if (state !== ServerState.Lost && (options.serverSettings.fenced || silentMs > SILENCE_MS)) {
      if (!options.serverSettings.fenced) {
        // Nothing may be sent between the proof below and what follows from it.
        setState(ServerState.Unknown);
      }
      if (await session.hasProvablyStopped()) {
        declareLost(error);
      } else if (silentMs > SILENCE_MS) {
        reportDoubt(error);
      }
    }
    if (state === ServerState.Lost) {
      await moveSlotsOfLostServer();
      return LOST_RETRY_INTERVAL_MS;
    }
    return RETRY_INTERVAL_MS;
  }

  function declareLost(error: string): void {
    logger.log(Event.ServerLost, { server, service, generation, error });
    setState(ServerState.Lost);
    serverLost.abort();
  }

  function reportDoubt(error: string): void {
    if (!hasReportedDoubt) {
      hasReportedDoubt = true;
      setState(ServerState.Unknown);
      logger.log(Event.ServerUnreachable, { server, service, error });
      logger.log(Event.StopNotProved, { server, service });
    }
  }

  async function moveSlotsOfLostServer(): Promise<void> {
    const owned = currentSlots();
    if (owned.length > 0) {
      await commit(owned);
    }
  }

  /** Moves what must leave the server. Returns true while some of it still waits for running requests. */
  async function moveSlots(): Promise<boolean> {
    const moving = listMovingSlots();
    if (moving.length === 0 || !(await canChangeAssignment())) {
      stoppingSlots.clear();
      return false;
    }
    for (const slot of moving) {
      stoppingSlots.add(slot);
    }
    const idle = moving.filter((slot) => !working.has(slot));
    const stopped = idle.length === 0 ? [] : await session.revoke(idle);
    if (stopped.length > 0) {
      await commit(stopped);
    }
    return stopped.length < moving.length;
  }

  function listMovingSlots(): readonly Slot[] {
    const configuration = currentConfiguration();
    const assignment = currentAssignment();
    if (configuration === undefined || assignment === undefined) {
      return [];
    }
    const owned = currentSlots();
    if (findLeaving(configuration) !== undefined) {
      leavingSince ??= clock.now();
      return listOthers(assignment, configuration).length > 0 ? owned : [];
    }
    leavingSince = undefined;
    const usable = new Set(listOthers(assignment, configuration).map((candidate) => candidate.name));
    const planned = new Set(
      assignment.moves.filter((move) => usable.has(move.target)).map((move) => move.slot),
    );
    return owned.filter((slot) => planned.has(slot));
  }

  /** Asks the platform before work is stopped, so that an outage leaves keys where they are served. */
  async function canChangeAssignment(): Promise<boolean> {
    try {
      await options.assignments.refresh(service);
      return true;
    } catch {
      return false;
    }
  }

  /** Gives stopped slots to other servers. Only the holder of this generation may do so. */
  async function commit(slots: readonly Slot[]): Promise<void> {
    needsSettling = true;
    try {
      await options.assignments.update(service, (current) => {
        if (current === undefined || !holdsLease(current, server, generation, options.self)) {
          return undefined;
        }
        const owned = new Set(slotsOf(current, server).map((owner) => owner.slot));
        const moves = chooseTargets(
          current,
          slots.filter((slot) => owned.has(slot)),
        );
        return moves.length === 0 ? undefined : clearPredecessors(commitMoves(current, moves), server);
      });
      needsSettling = false;
      logger.log(Event.SlotsMoved, { server, service, slots: slots.length });
    } catch (error) {
      handlePlatformError(error);
    }
    for (const slot of slots) {
      stoppingSlots.delete(slot);
    }
  }

  function chooseTargets(assignment: Assignment, slots: readonly Slot[]): readonly Move[] {
    const configuration = currentConfiguration();
    if (configuration === undefined) {
      return [];
    }
    const candidates = listOthers(assignment, configuration);
    const usable = new Set(candidates.map((candidate) => candidate.name));
    const planned = assignment.moves.filter((move) => slots.includes(move.slot) && usable.has(move.target));
    const plannedSlots = new Set(planned.map((move) => move.slot));
    const others = slots.filter((slot) => !plannedSlots.has(slot));
    return [...planned, ...placeSlots(assignment, others, candidates, new Map())];
  }

  function listOthers(assignment: Assignment, configuration: ConfigurationDocument["configuration"]) {
    return listCandidates(assignment, configuration, statuses, options.membership, server);
  }

  /** After a lost answer nothing is granted again until it is known what took effect. */
  async function settle(): Promise<boolean> {
    if (!needsSettling) {
      return true;
    }
    try {
      await options.assignments.settle(service);
      needsSettling = false;
      return true;
    } catch (error) {
      handlePlatformError(error);
      return false;
    }
  }

  function handlePlatformError(error: unknown): void {
    if (!(error instanceof PlatformUnavailableError)) {
      throw error;
    }
    logger.log(Event.PlanFailed, { server, service, error: describeError(error) });
  }

  async function beginWork(
    key: string | undefined,
    deadlineAt: number,
    signal: AbortSignal,
  ): Promise<WorkAdmission> {
    const early = findRefusal(key);
    if (early !== undefined) {
      return { kind: "refused", reason: early };
    }
    const result: AdmissionResult = await admission.acquire(deadlineAt, signal);
    if (result.kind === "refused") {
      return result;
    }
    // Ownership may have changed while the request waited.
    const late = findRefusal(key);
    if (late !== undefined) {
      result.place.release(undefined);
      return { kind: "refused", reason: late };
    }
    return { kind: "permitted", permit: createPermit(slotOf(key), deadlineAt, result.place) };
  }

  function findRefusal(key: string | undefined): RefusalReason | undefined {
    if (isClosed) {
      return RefusalReason.NotLeaseholder;
    }
    if (state === ServerState.Unknown || state === ServerState.Lost || !canSendUnfenced()) {
      return RefusalReason.LeaseNotHeld;
    }
    const leaving = findLeavingRefusal(key);
    if (leaving !== undefined || key === undefined) {
      return leaving;
    }
    const slot = slotOf(key);
    if (slot === undefined || stoppingSlots.has(slot)) {
      return RefusalReason.OwnershipMoving;
    }
    return session.epochToSend(slot) === undefined ? RefusalReason.LeaseNotHeld : undefined;
  }

  function canSendUnfenced(): boolean {
    return options.serverSettings.fenced || options.isFresh();
  }

  /** Keys are served until they have moved, for a short time; work without keys stops at once. */
  function findLeavingRefusal(key: string | undefined): RefusalReason | undefined {
    const configuration = currentConfiguration();
    const reason = configuration === undefined ? undefined : findLeaving(configuration);
    if (reason === undefined) {
      return undefined;
    }
    leavingSince ??= clock.now();
    const isInGrace = key !== undefined && clock.now() - leavingSince < LEAVING_GRACE_MS;
    return isInGrace ? undefined : reason;
  }

  function findLeaving(configuration: ConfigurationDocument["configuration"]): RefusalReason | undefined {
    return options.isVmLeaving()
      ? RefusalReason.ServerLeaving
      : findLeavingReason(configuration, server, state);
  }

  function createPermit(slot: Slot | undefined, deadlineAt: number, place: Place): WorkPermit {
    inFlight += 1;
    if (slot !== undefined) {
      working.set(slot, (working.get(slot) ?? 0) + 1);
      slotRequests.set(slot, (slotRequests.get(slot) ?? 0) + 1);
    }
    return {
      slot,
      epoch: slot === undefined ? undefined : session.epochToSend(slot),
      serverLost: serverLost.signal,
      end: (end, latencyMs) => {
        inFlight -= 1;
        if (end === "unresolved") {
          session.recordUnresolved(slot, deadlineAt);
        }
        if (latencyMs !== undefined) {
          ramp.recordAnswer(latencyMs);
        }
        endSlotWork(slot);
        place.release(latencyMs);
      },
    };
  }

  function endSlotWork(slot: Slot | undefined): void {
    if (slot === undefined) {
      return;
    }
    const remaining = (working.get(slot) ?? 0) - 1;
    if (remaining > 0) {
      working.set(slot, remaining);
      return;
    }
    working.delete(slot);
    if (stoppingSlots.has(slot)) {
      wake();
    }
  }

  function takeSlotLoads(): SlotLoads {
    const seconds = Math.max((clock.now() - countedSince) / MILLISECONDS_PER_SECOND, 1);
    const loads = new Map([...slotRequests].map(([slot, count]) => [slot, count / seconds]));
    slotRequests.clear();
    countedSince = clock.now();
    return loads;
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
    statuses.offer({
      service,
      server,
      generation,
      sequence: statusSequence,
      state,
      reporter: options.self.daemon,
    });
  }

  function currentConfiguration(): ConfigurationDocument["configuration"] | undefined {
    return snapshots.configuration()?.value.configuration;
  }

  function currentAssignment(): Assignment | undefined {
    return snapshots.assignment(service)?.value;
  }

  function currentSlots(): readonly Slot[] {
    const assignment = currentAssignment();
    return assignment === undefined ? [] : slotsOf(assignment, server).map((owned) => owned.slot);
  }

  function slotOf(key: string | undefined): Slot | undefined {
    const assignment = currentAssignment();
    return key === undefined || assignment === undefined
      ? undefined
      : computeSlot(key, assignment.owners.length);
  }

  /** Slots to grant: those owned in the newest assignment, unless they are stopping or a change is unsettled. */
  function desiredSlots() {
    const assignment = currentAssignment();
    if (
      assignment === undefined ||
      needsSettling ||
      !holdsLease(assignment, server, generation, options.self)
    ) {
      return [];
    }
    return slotsOf(assignment, server).filter(({ slot }) => !stoppingSlots.has(slot));
  }

  function createFenced() {
    return createFencedSession({
      control: options.control,
      clock,
      generation,
      desiredSlots,
      predecessorsStoppedAt: findPredecessorsStop,
    });
  }

  function createUnfenced() {
    return createUnfencedSession({
      control: options.control,
      clock,
      desiredSlots,
      predecessorDeadlineMs: generation > 1 ? options.serviceSettings.request_timeout : 0,
      inFlight: () => inFlight,
      isDeclaredStopped: () =>
        snapshots
          .stopNotice()
          .servers.some((stopped) => stopped.server === server && stopped.generation === generation),
    });
  }

  async function findPredecessorsStop(): Promise<number | undefined> {
    const assignment = currentAssignment();
    const entry = assignment === undefined ? undefined : findServer(assignment, server);
    if (entry?.generation !== generation) {
      return undefined;
    }
    let latest = Number.NEGATIVE_INFINITY;
    for (const predecessor of entry.predecessors) {
      if (!(await options.evidence.find(predecessor))) {
        return undefined;
      }
      latest = Math.max(latest, options.evidence.stoppedAt(predecessor) ?? clock.now());
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
