/** Places keys without owner on backend servers. Works on plain data, without network or clock. */
import type { ServerName } from "../types";
import { KEY_COUNT, type KeyRange, type OwnedRange } from "./types";

/** A backend server that can own keys. */
export interface OwnerCandidate {
  readonly name: ServerName;
  readonly bornAt: number;
  /** Work that it can do, relative to the other candidates. */
  readonly capacity: number;
}

/** Load of a range, in requests. */
export type LoadFunction = (range: KeyRange) => number;

/** Keys for a new owner. */
export interface Placement extends KeyRange {
  readonly server: ServerName;
  readonly bornAt: number;
}

/** Every key weighs a little, so that keys without requests are spread as well. */
const IDLE_LOAD = 1;

/**
 * Lists the keys that nobody owns.
 *
 * @param ranges - Owned ranges in order of keys.
 * @returns The gaps in order of keys.
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
 * Places free keys on the candidates that are furthest below their share of the load.
 *
 * @param free - Keys without an owner, in order.
 * @param owned - Ranges that stay where they are.
 * @param candidates - Servers that may own keys.
 * @param getLoad - Load of a range.
 * @returns New owners; empty without candidates.
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

/** Cuts a free range into pieces that fill the candidates with the most room, one after the other. */
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

/** Finds the last key of the shortest piece from the start of a range that has the wanted load. */
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
 * Adds a little weight for each key, so that keys without requests are spread as well.
 *
 * @param getLoad - Load of a range.
 * @returns The weight of a range.
 */
export function createWeightFunction(getLoad: LoadFunction): LoadFunction {
  return (range) => getLoad(range) + ((range.to - range.from + 1) / KEY_COUNT) * IDLE_LOAD;
}

/**
 * Tells whether a range is owned by this run of a server.
 *
 * @param range - The range.
 * @param candidate - The server.
 * @returns True when it is.
 */
export function isOwnedBy(range: OwnedRange, candidate: OwnerCandidate): boolean {
  return range.server === candidate.name && range.bornAt === candidate.bornAt;
}

/**
 * Adds up numbers.
 *
 * @param values - The numbers.
 * @returns Their sum.
 */
export function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
