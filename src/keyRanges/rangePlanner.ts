/** Places keys without an owner on backend servers. Works on plain data, without network or clock. */
import type { ServerName } from "../types";
import { KEY_COUNT, type KeyRange, type OwnedRange } from "./types";

/** A backend server that can own keys. */
export interface OwnerCandidate {
  readonly name: ServerName;
  readonly bornAt: number;
  /** Amount of work that it can do, relative to the other candidates. */
  readonly capacity: number;
}

/** Returns the load of a range, in requests. */
export type LoadFunction = (range: KeyRange) => number;

/** Keys and the new owner to place them on. */
export interface Placement extends KeyRange {
  readonly server: ServerName;
  readonly bornAt: number;
}

/** Weight of all keys together beside their load, in requests; spreads keys without requests as well. */
const IDLE_LOAD = 1;

/**
 * Finds the ranges of keys without an owner.
 *
 * @param ranges - Owned ranges in order of keys.
 * @returns The unowned ranges in order of keys.
 */
export function findUnowned(ranges: readonly KeyRange[]): readonly KeyRange[] {
  const gaps: KeyRange[] = [];
  let next = 0;
  for (const range of ranges) {
    if (range.from > next) {
      gaps.push({ from: next, to: range.from - 1 });
    }
    next = range.to + 1;
  }
  if (next < KEY_COUNT) {
    gaps.push({ from: next, to: KEY_COUNT - 1 });
  }
  return gaps;
}

/**
 * Places unowned keys on the candidates that are furthest below their share of the load, which is in
 * proportion to their capacity.
 *
 * @param free - Unowned ranges in order of keys.
 * @param owned - Ranges that keep their owners.
 * @param candidates - Servers that may own keys.
 * @param getLoad - Returns the load of a range.
 * @returns Keys and their new owners; empty if there are no candidates.
 */
export function placeUnownedRanges(
  free: readonly KeyRange[],
  owned: readonly OwnedRange[],
  candidates: readonly OwnerCandidate[],
  getLoad: LoadFunction,
): readonly Placement[] {
  if (candidates.length === 0) {
    return [];
  }
  const weigh = createWeightFunction(getLoad);
  const total = sum([...free, ...owned].map(weigh));
  const capacity = sum(candidates.map((candidate) => candidate.capacity));
  const headroom = new Map(
    candidates.map((candidate) => {
      const load = sum(owned.filter((range) => isOwnedBy(range, candidate)).map(weigh));
      return [candidate, (total * candidate.capacity) / capacity - load];
    }),
  );
  return free.flatMap((range) => splitAmongCandidates(range, headroom, weigh));
}

/**
 * Splits an unowned range into pieces, each of which fills the candidate that has the most headroom left, and
 * updates the headroom.
 */
function splitAmongCandidates(
  range: KeyRange,
  headroom: Map<OwnerCandidate, number>,
  weigh: LoadFunction,
): readonly Placement[] {
  const placements: Placement[] = [];
  let from = range.from;
  while (from <= range.to) {
    const [candidate, left] = findMostHeadroom(headroom);
    const to = findLastKeyForLoad({ from, to: range.to }, Math.max(left, 0), weigh);
    headroom.set(candidate, left - weigh({ from, to }));
    placements.push({ from, to, server: candidate.name, bornAt: candidate.bornAt });
    from = to + 1;
  }
  return placements;
}

function findMostHeadroom(headroom: ReadonlyMap<OwnerCandidate, number>): readonly [OwnerCandidate, number] {
  const [first, ...others] = headroom;
  if (first === undefined) {
    throw new RangeError("no candidates to place keys on");
  }
  return others.reduce((best, entry) => (entry[1] > best[1] ? entry : best), first);
}

/**
 * Finds the last key of the shortest piece from the start of a range that has at least the wanted load; the
 * last key of the range if the whole range has less.
 */
function findLastKeyForLoad(range: KeyRange, wanted: number, weigh: LoadFunction): number {
  let low = range.from;
  let high = range.to;
  while (low < high) {
    const middle = (low + high) >> 1;
    if (weigh({ from: range.from, to: middle }) >= wanted) {
      high = middle;
    } else {
      low = middle + 1;
    }
  }
  return low;
}

/**
 * Creates a function that adds a small weight per key to the load, so that keys without requests are spread
 * as well.
 *
 * @param getLoad - Returns the load of a range.
 * @returns A function that returns the weight of a range.
 */
export function createWeightFunction(getLoad: LoadFunction): LoadFunction {
  return (range) => getLoad(range) + ((range.to - range.from + 1) / KEY_COUNT) * IDLE_LOAD;
}

/**
 * Returns whether a range is owned by this process of a server.
 *
 * @param range - The owned range.
 * @param candidate - The server's process.
 * @returns True if name and start time of the owner agree.
 */
export function isOwnedBy(range: OwnedRange, candidate: OwnerCandidate): boolean {
  return range.server === candidate.name && range.bornAt === candidate.bornAt;
}

/**
 * Adds up numbers.
 *
 * @param values - Numbers to add; may be empty.
 * @returns Their sum; 0 if there are none.
 */
export function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
