/** Plans the owners of slots: first placement, reassignment from lost data centres, and load balancing. */
import {
  clearPredecessors,
  commitMoves,
  setLeaseholder,
  getOwnedSlots,
  syncServers,
  type AssignedServer,
  type Assignment,
} from "../assignments";
import type { Configuration } from "../configuration";
import type { Membership } from "../membership";
import type { Clock, ServiceName } from "../types";
import { listCandidates } from "./candidates";
import { listEligibleMembers } from "./election";
import { type SlotLoads, listUnownedSlots, placeSlots, planBalancingMoves } from "./placement";
import type { StatusView } from "./statusView";
import type { StopFindings, StopSearch } from "./stopFindings";

/** Maximum wait for all servers before the slots of a new service are placed. */
const FIRST_PLACEMENT_DELAY_MS = 2000;
const BALANCE_TOLERANCE = 1.1;
const BALANCE_MAX_MOVES = 32;
/** Time over which the loads are counted; equals BALANCE_INTERVAL_MS of the planner. */
const BALANCE_WINDOW_SECONDS = 10;

/** Options for {@link createOwnerPlanner}. */
export interface OwnerPlannerOptions {
  readonly membership: Membership;
  readonly statuses: StatusView;
  readonly search: StopSearch;
  readonly clock: Clock;
}

/** Plans the owners of one service's slots. */
export type OwnerPlanner = (
  assignment: Assignment,
  configuration: Configuration,
  stopped: StopFindings,
  loads: SlotLoads | undefined,
) => Assignment;

/**
 * Creates an owner planner.
 *
 * @param options - Dependencies of the planner.
 * @returns The planner; it returns the same assignment object when nothing differs.
 */
export function createOwnerPlanner(options: OwnerPlannerOptions): OwnerPlanner {
  const { membership, statuses, search, clock } = options;
  const firstCandidateAt = new Map<ServiceName, number>();

  return planOwners;

  function planOwners(
    assignment: Assignment,
    configuration: Configuration,
    stopped: StopFindings,
    loads: SlotLoads | undefined,
  ): Assignment {
    let next = syncServers(assignment, configuration);
    next = reassignLostDataCentres(next, configuration, stopped);
    next = removeUnusableMoves(next, configuration);
    const candidates = listCandidates(next, configuration, statuses, membership);
    const unowned = isReadyToPlace(next, configuration, candidates.length) ? listUnownedSlots(next) : [];
    const placed = placeSlots(next, unowned, candidates, loads ?? new Map());
    next = placed.length === 0 ? next : commitMoves(next, placed);
    const planned =
      loads === undefined
        ? []
        : planBalancingMoves(next, candidates, loads, {
            tolerance: BALANCE_TOLERANCE,
            maxMoves: BALANCE_MAX_MOVES,
            windowSeconds: BALANCE_WINDOW_SECONDS,
          });
    return planned.length === 0 ? next : { ...next, moves: [...next.moves, ...planned] };
  }

  /**
   * Returns whether slots without an owner may be placed. While a service is starting, it waits for all
   * servers up to FIRST_PLACEMENT_WAIT_MS: otherwise the first servers to answer would get all slots.
   */
  function isReadyToPlace(
    assignment: Assignment,
    configuration: Configuration,
    candidateCount: number,
  ): boolean {
    if (candidateCount === 0) {
      return false;
    }
    const firstAt = firstCandidateAt.get(assignment.service) ?? clock.now();
    firstCandidateAt.set(assignment.service, firstAt);
    const servers = Object.values(configuration.servers).filter(
      (server) => server.service === assignment.service,
    );
    return candidateCount === servers.length || clock.now() - firstAt > FIRST_PLACEMENT_DELAY_MS;
  }

  function removeUnusableMoves(assignment: Assignment, configuration: Configuration): Assignment {
    if (assignment.moves.length === 0) {
      return assignment;
    }
    const usable = new Set(
      listCandidates(assignment, configuration, statuses, membership).map((candidate) => candidate.name),
    );
    const moves = assignment.moves.filter((move) => usable.has(move.target));
    return moves.length === assignment.moves.length ? assignment : { ...assignment, moves };
  }

  /**
   * Reassigns the slots of servers in data centres without any daemon, once nothing runs at these servers any
   * more.
   */
  function reassignLostDataCentres(
    assignment: Assignment,
    configuration: Configuration,
    stopped: StopFindings,
  ): Assignment {
    let next = assignment;
    for (const server of assignment.servers) {
      if (hasEligibleDaemon(server) || !search.isIdle(server, configuration, stopped)) {
        continue;
      }
      next = server.leaseholder === null ? next : setLeaseholder(next, server.name, null);
      const slots = getOwnedSlots(next, server.name).map((owned) => owned.slot);
      const candidates = listCandidates(next, configuration, statuses, membership, server.name);
      const moves = placeSlots(next, slots, candidates, new Map());
      next = moves.length === 0 ? next : clearPredecessors(commitMoves(next, moves), server.name);
    }
    return next;
  }

  function hasEligibleDaemon(server: AssignedServer): boolean {
    return listEligibleMembers(membership, server.dataCentre).length > 0;
  }
}
