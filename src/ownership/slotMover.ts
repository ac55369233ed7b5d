/** Moves slots away from one backend server, each after work on it there has provably stopped. */
import {
  clearPredecessors,
  commitMoves,
  holdsLease,
  getOwnedSlots,
  type Assignment,
  type Move,
  type SlotEpoch,
} from "../assignments";
import type { Configuration } from "../configuration";
import { PlatformUnavailableError, describeError } from "../errors";
import type { Membership } from "../membership";
import { Event, type Logger } from "../observability";
import type { SnapshotStore } from "../snapshots";
import type { DaemonRun, Generation, ServerName, ServiceName, Slot } from "../types";
import type { AssignmentStore } from "./assignmentStore";
import { listCandidates } from "./candidates";
import { placeSlots } from "./placement";
import type { ServerSession } from "./serverSession";
import type { StatusView } from "./statusView";
import type { WorkTracker } from "./workTracker";

/** Options for {@link createSlotMover}. */
export interface SlotMoverOptions {
  readonly service: ServiceName;
  readonly server: ServerName;
  readonly generation: Generation;
  readonly self: DaemonRun;
  readonly assignments: AssignmentStore;
  readonly snapshots: SnapshotStore;
  readonly statuses: StatusView;
  readonly membership: Membership;
  readonly logger: Logger;
  readonly work: WorkTracker;
  /**
   * Returns the server's session. It is read at use, because the session in turn reads the slots to grant
   * from the mover.
   */
  readonly session: () => ServerSession;
  /** Returns whether the server must get no new work. */
  readonly isLeaving: (configuration: Configuration) => boolean;
}

/** Moves slots away from one server. */
export interface SlotMover {
  /**
   * Moves the slots that must leave the server. Returns true while some of them still wait for running
   * requests.
   */
  moveSlots(): Promise<boolean>;
  /** Moves all slots of a server that has provably stopped. */
  moveSlotsOfLostServer(): Promise<void>;
  /** Determines whether an in-doubt update took effect. Returns false while that is unknown. */
  resolveInDoubtUpdate(): Promise<boolean>;
  /** Returns whether a slot gets no new requests, since it is about to move. */
  isStopping(slot: Slot): boolean;
  /**
   * Returns the slots to grant: those owned in the newest assignment and not stopping; none while an update
   * is in doubt.
   */
  desiredSlots(): readonly SlotEpoch[];
}

/**
 * Creates a slot mover.
 *
 * @param options - The lease and its dependencies.
 * @returns The slot mover.
 */
export function createSlotMover(options: SlotMoverOptions): SlotMover {
  const { service, server, generation, snapshots, statuses, logger, work } = options;
  const stoppingSlots = new Set<Slot>();
  let hasInDoubtUpdate = false;

  return {
    moveSlots,
    moveSlotsOfLostServer,
    resolveInDoubtUpdate,
    isStopping: (slot) => stoppingSlots.has(slot),
    desiredSlots,
  };

  async function moveSlotsOfLostServer(): Promise<void> {
    const owned = currentSlots();
    if (owned.length > 0) {
      await commit(owned);
    }
  }

  /**
   * Moves the slots that must leave the server. Returns true while some of them still wait for running
   * requests.
   */
  async function moveSlots(): Promise<boolean> {
    const moving = listMovingSlots();
    if (moving.length === 0 || !(await canChangeAssignment())) {
      stoppingSlots.clear();
      return false;
    }
    for (const slot of moving) {
      stoppingSlots.add(slot);
    }
    const idle = moving.filter((slot) => !work.hasRequestsInFlight(slot));
    const stopped = idle.length === 0 ? [] : await options.session().revoke(idle);
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
    const isLeaving = options.isLeaving(configuration);
    if (!isLeaving && assignment.moves.length === 0) {
      return [];
    }
    const owned = currentSlots();
    if (isLeaving) {
      return listMoveTargets(assignment, configuration).length > 0 ? owned : [];
    }
    const usable = new Set(listMoveTargets(assignment, configuration).map((candidate) => candidate.name));
    const planned = new Set(
      assignment.moves.filter((move) => usable.has(move.target)).map((move) => move.slot),
    );
    return owned.filter((slot) => planned.has(slot));
  }

  /**
   * Returns whether the platform answers. Checked before work on slots is stopped, so that during an outage
   * the slots stay where they are served.
   */
  async function canChangeAssignment(): Promise<boolean> {
    try {
      await options.assignments.refresh(service);
      return true;
    } catch {
      return false;
    }
  }

  /** Assigns stopped slots to other servers. Only the leaseholder of this generation may do so. */
  async function commit(slots: readonly Slot[]): Promise<void> {
    hasInDoubtUpdate = true;
    try {
      await options.assignments.update(service, (current) => {
        if (current === undefined || !holdsLease(current, server, generation, options.self)) {
          return undefined;
        }
        const owned = new Set(getOwnedSlots(current, server).map((owner) => owner.slot));
        const moves = chooseTargets(
          current,
          slots.filter((slot) => owned.has(slot)),
        );
        return moves.length === 0 ? undefined : clearPredecessors(commitMoves(current, moves), server);
      });
      hasInDoubtUpdate = false;
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
    const candidates = listMoveTargets(assignment, configuration);
    const usable = new Set(candidates.map((candidate) => candidate.name));
    const planned = assignment.moves.filter((move) => slots.includes(move.slot) && usable.has(move.target));
    const plannedSlots = new Set(planned.map((move) => move.slot));
    const unplanned = slots.filter((slot) => !plannedSlots.has(slot));
    return [...planned, ...placeSlots(assignment, unplanned, candidates, new Map())];
  }

  function listMoveTargets(assignment: Assignment, configuration: Configuration) {
    return listCandidates(assignment, configuration, statuses, options.membership, server);
  }

  /**
   * Determines whether an in-doubt update took effect. While that is unknown, it returns false and no slot is
   * granted.
   */
  async function resolveInDoubtUpdate(): Promise<boolean> {
    if (!hasInDoubtUpdate) {
      return true;
    }
    try {
      await options.assignments.resolveInDoubtUpdates(service);
      hasInDoubtUpdate = false;
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

  function desiredSlots(): readonly SlotEpoch[] {
    const assignment = currentAssignment();
    if (
      assignment === undefined ||
      hasInDoubtUpdate ||
      !holdsLease(assignment, server, generation, options.self)
    ) {
      return [];
    }
    const owned = getOwnedSlots(assignment, server);
    return stoppingSlots.size === 0 ? owned : owned.filter(({ slot }) => !stoppingSlots.has(slot));
  }

  function currentConfiguration(): Configuration | undefined {
    return snapshots.findConfiguration()?.value.configuration;
  }

  function currentAssignment(): Assignment | undefined {
    return snapshots.findAssignment(service)?.value;
  }

  function currentSlots(): readonly Slot[] {
    const assignment = currentAssignment();
    return assignment === undefined ? [] : getOwnedSlots(assignment, server).map((owned) => owned.slot);
  }
}
