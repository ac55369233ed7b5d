/** Chooses owners for slots: moves as few slots as possible, then evens out the load. */
import { type Assignment, type Move, NO_OWNER } from "../assignments";
import type { ServerName, Slot } from "../types";

/** A server that may receive slots. */
export interface Candidate {
  readonly name: ServerName;
  /** Capacity of the server relative to the other candidates. */
  readonly weight: number;
}

/** Load of each slot in requests per second; a slot without an entry has BASE_LOAD. */
export type SlotLoads = ReadonlyMap<Slot, number>;

/** Limits of one round of balancing. */
export interface BalanceLimits {
  /**
   * Ratio of the busiest server's load to the mean above which slots move. They also move when the least
   * loaded server is below the mean by the same fraction.
   */
  readonly tolerance: number;
  /**
   * Time over which the loads were counted, in seconds. The shorter it is, the larger the statistical noise.
   */
  readonly windowSeconds: number;
  /** Maximum number of moves in one round. */
  readonly maxMoves: number;
}

/** Differences within this many standard deviations of a count are treated as statistical noise. */
const NOISE_STANDARD_DEVIATIONS = 3;
/** Load added to every slot, so that slots without requests are spread evenly too. */
const BASE_LOAD = 0.01;

interface Bin {
  readonly name: ServerName;
  readonly weight: number;
  readonly slots: Set<Slot>;
  load: number;
}

/**
 * Chooses new owners for slots that have none or must leave theirs: each slot, heaviest first, goes to the
 * least loaded candidate. All other slots stay.
 *
 * @param assignment - The assignment.
 * @param slots - The slots to place.
 * @param candidates - Servers that may receive them.
 * @param loads - Load of each slot.
 * @returns The moves; empty when there is no candidate.
 */
export function placeSlots(
  assignment: Assignment,
  slots: readonly Slot[],
  candidates: readonly Candidate[],
  loads: SlotLoads,
): readonly Move[] {
  if (candidates.length === 0) {
    return [];
  }
  const bins = createBins(assignment, candidates, loads, new Set(slots));
  const heaviestFirst = [...slots].sort(
    (left, right) => getLoad(loads, right) - getLoad(loads, left) || left - right,
  );
  return heaviestFirst.map((slot) => {
    const bin = findLeastLoaded(bins);
    bin.load += getLoad(loads, slot);
    return { slot, target: bin.name };
  });
}

/**
 * Lists the slots without an owner.
 *
 * @param assignment - The assignment.
 * @returns The slots.
 */
export function listUnownedSlots(assignment: Assignment): readonly Slot[] {
  return assignment.owners.flatMap((owner, slot) => (owner === NO_OWNER ? [slot] : []));
}

/**
 * Plans moves from the busiest to the least loaded candidates while that lowers the highest load.
 *
 * @param assignment - The assignment.
 * @param candidates - Servers between which slots may move.
 * @param loads - Load of each slot.
 * @param limits - Tolerance, counting time and maximum number of moves.
 * @returns The moves; empty while the load is within the tolerance.
 */
export function planBalancingMoves(
  assignment: Assignment,
  candidates: readonly Candidate[],
  loads: SlotLoads,
  limits: BalanceLimits,
): readonly Move[] {
  const bins = createBins(assignment, candidates, loads, new Set());
  const moves: Move[] = [];
  while (moves.length < limits.maxMoves) {
    const move = planNextMove(bins, loads, limits);
    if (move === undefined) {
      break;
    }
    moves.push(move);
  }
  return moves;
}

/**
 * Finds a move of one slot from the busiest to the least loaded bin and applies it to both bins. Returns
 * undefined when the load is balanced or no slot can improve it.
 */
function planNextMove(bins: readonly Bin[], loads: SlotLoads, limits: BalanceLimits): Move | undefined {
  if (bins.length < 2) {
    return undefined;
  }
  const busiest = bins.reduce((left, right) =>
    computeRelativeLoad(right) > computeRelativeLoad(left) ? right : left,
  );
  const leastLoaded = findLeastLoaded(bins);
  const totalWeight = bins.reduce((sum, bin) => sum + bin.weight, 0);
  const mean = bins.reduce((sum, bin) => sum + bin.load, 0) / totalWeight;
  if (!isImbalanced(busiest, leastLoaded, mean, limits, hasAnyRequests(busiest, loads))) {
    return undefined;
  }
  const slot = findBestSlot(busiest, leastLoaded, loads, mean);
  if (slot === undefined) {
    return undefined;
  }
  const load = getLoad(loads, slot);
  busiest.slots.delete(slot);
  busiest.load -= load;
  leastLoaded.slots.add(slot);
  leastLoaded.load += load;
  return { slot, target: leastLoaded.name };
}

/**
 * Returns whether the busiest server is far above the mean, or the least loaded one far below it, such as a
 * server that has returned and does not have its share of the load yet.
 */
function isImbalanced(
  busiest: Bin,
  leastLoaded: Bin,
  mean: number,
  limits: BalanceLimits,
  hasRequests: boolean,
): boolean {
  const toleratedDeviation = limits.tolerance - 1;
  const computeNoise = (load: number) =>
    hasRequests ? NOISE_STANDARD_DEVIATIONS * Math.sqrt(load / limits.windowSeconds) : 0;
  const isOver = busiest.load > busiest.weight * mean * (1 + toleratedDeviation) + computeNoise(busiest.load);
  const fairLoad = leastLoaded.weight * mean;
  return isOver || leastLoaded.load < fairLoad * (1 - toleratedDeviation) - computeNoise(fairLoad);
}

/**
 * Finds the heaviest slot that neither raises the target above its share of the mean load nor lowers the
 * source below its own. Without such a slot, it finds the lightest one that still lowers the higher of the
 * two relative loads.
 */
function findBestSlot(source: Bin, target: Bin, loads: SlotLoads, mean: number): Slot | undefined {
  const excess = source.load - mean * source.weight;
  const room = mean * target.weight - target.load;
  const limit = Math.max(Math.min(excess, room), 0);
  let best: Slot | undefined;
  for (const slot of source.slots) {
    const load = getLoad(loads, slot);
    if (load <= limit && (best === undefined || load > getLoad(loads, best))) {
      best = slot;
    }
  }
  return best ?? findSlotThatLowersMaximum(source, target, loads);
}

function findSlotThatLowersMaximum(source: Bin, target: Bin, loads: SlotLoads): Slot | undefined {
  const before = computeRelativeLoad(source);
  let best: Slot | undefined;
  for (const slot of source.slots) {
    const load = getLoad(loads, slot);
    const lowers = (target.load + load) / target.weight < before;
    if (lowers && (best === undefined || load < getLoad(loads, best))) {
      best = slot;
    }
  }
  return best;
}

/**
 * Returns whether any slot of a bin has requests. Without requests the load is only the number of slots,
 * which is exact and has no statistical noise.
 */
function hasAnyRequests(bin: Bin, loads: SlotLoads): boolean {
  return [...bin.slots].some((slot) => (loads.get(slot) ?? 0) > 0);
}

/**
 * Creates one bin for each candidate, with its load after the planned moves. Slots with a planned move count
 * for their target but are not listed in a bin, so that they are not moved again.
 */
function createBins(
  assignment: Assignment,
  candidates: readonly Candidate[],
  loads: SlotLoads,
  excluded: ReadonlySet<Slot>,
): readonly Bin[] {
  const bins = candidates.map((candidate): Bin => ({ ...candidate, slots: new Set(), load: 0 }));
  const byName = new Map(bins.map((bin) => [bin.name, bin]));
  const targets = new Map(assignment.moves.map((move) => [move.slot, move.target]));
  assignment.owners.forEach((owner, slot) => {
    const bin = byName.get(targets.get(slot) ?? assignment.servers[owner]?.name ?? "");
    if (bin === undefined || excluded.has(slot)) {
      return;
    }
    bin.load += getLoad(loads, slot);
    if (!targets.has(slot)) {
      bin.slots.add(slot);
    }
  });
  return bins;
}

function findLeastLoaded(bins: readonly Bin[]): Bin {
  return bins.reduce((left, right) =>
    computeRelativeLoad(right) < computeRelativeLoad(left) ? right : left,
  );
}

function computeRelativeLoad(bin: Bin): number {
  return bin.load / bin.weight;
}

function getLoad(loads: SlotLoads, slot: Slot): number {
  return (loads.get(slot) ?? 0) + BASE_LOAD;
}
