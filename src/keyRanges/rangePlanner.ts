/** Decides which backend server should own which keys. Works on plain data, without network or clock. */
import type { ServerName } from "../types";
import { KEYS_PER_GROUP } from "./keyLoad";
import { KEY_COUNT, type KeyRange, type OwnedRange } from "./types";

/** A backend server that can own keys. */
export interface OwnerCandidate {
  readonly name: ServerName;
  readonly bornAt: number;
  /** Work that it can do, relative to the other candidates. */
  readonly capacity: number;
}

/** Load of a range, in requests. */
export type LoadOf = (range: KeyRange) => number;

/** Keys for a new owner. */
export interface Placement extends KeyRange {
  readonly server: ServerName;
  readonly bornAt: number;
}

/** A server above this multiple of the mean load gives keys away; below it, chance explains the difference. */
const OVERLOAD_RATIO = 1.3;
/** A server is faster than chance explains when its capacity is this multiple of another's. */
const FASTER_RATIO = 1.4;
/** A cut may overshoot the wanted load by this factor; a single busy key that overshoots more stays where it is. */
const CUT_TOLERANCE = 1.4;
/** An excess of this many standard deviations is told from chance. */
const DEVIATIONS = 2;
/** Bounds the calls that renew grants: each range needs its own. */
const MAX_RANGES_PER_SERVER = 6;
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
 * @param loadOf - Load of a range.
 * @returns New owners; empty without candidates.
 */
export function placeFree(
  free: readonly KeyRange[],
  owned: readonly OwnedRange[],
  candidates: readonly OwnerCandidate[],
  loadOf: LoadOf,
): readonly Placement[] {
  if (candidates.length === 0) {
    return [];
  }
  const weigh = createWeigher(loadOf);
  const total = sum([...free, ...owned].map(weigh));
  const capacity = sum(candidates.map((candidate) => candidate.capacity));
  const room = new Map(
    candidates.map((candidate) => {
      const load = sum(owned.filter((range) => isOwnedBy(range, candidate)).map(weigh));
      return [candidate, (total * candidate.capacity) / capacity - load];
    }),
  );
  return free.flatMap((range) => fill(range, room, weigh));
}

/** Cuts a free range into pieces that fill the candidates with the most room, one after the other. */
function fill(
  range: KeyRange,
  room: Map<OwnerCandidate, number>,
  weigh: (range: KeyRange) => number,
): readonly Placement[] {
  const placements: Placement[] = [];
  let from = range.from;
  while (from <= range.to) {
    const [candidate, left] = mostRoom(room);
    const to = takeKeys({ from, to: range.to }, Math.max(left, 0), weigh);
    room.set(candidate, left - weigh({ from, to }));
    placements.push({ from, to, server: candidate.name, bornAt: candidate.bornAt });
    from = to + 1;
  }
  return placements;
}

function mostRoom(room: ReadonlyMap<OwnerCandidate, number>): readonly [OwnerCandidate, number] {
  const [first, ...others] = room;
  if (first === undefined) {
    throw new RangeError("no candidates to place keys on");
  }
  return others.reduce((best, entry) => (entry[1] > best[1] ? entry : best), first);
}

/** Finds the last key of the shortest piece from the start of a range that has the wanted load. */
function takeKeys(range: KeyRange, wanted: number, weigh: (range: KeyRange) => number): number {
  let load = 0;
  let from = range.from;
  while (from <= range.to) {
    const to = Math.min(range.to, endOfGroup(from));
    load += weigh({ from, to });
    if (load >= wanted) {
      return to;
    }
    from = to + 1;
  }
  return range.to;
}

/** Keys to move, and the range that they are cut from. */
export interface Rebalance {
  readonly source: OwnedRange;
  readonly piece: Placement;
}

/**
 * Finds keys whose move makes the loads more even.
 *
 * @param owned - All owned ranges.
 * @param candidates - Servers that may own keys.
 * @param loadOf - Load of a range.
 * @returns The keys to move and their new owner; undefined when the loads are even enough.
 */
export function findRebalance(
  owned: readonly OwnedRange[],
  candidates: readonly OwnerCandidate[],
  loadOf: LoadOf,
): Rebalance | undefined {
  const weigh = createWeigher(loadOf);
  const loads = candidates.map((candidate) => {
    const ranges = owned.filter((range) => isOwnedBy(range, candidate));
    return { candidate, ranges, load: sum(ranges.map(weigh)) };
  });
  const mean = sum(loads.map((each) => each.load)) / sum(candidates.map((each) => each.capacity));
  const shares = loads.map((each) => ({ ...each, share: mean * each.candidate.capacity }));
  const [coldest] = [...shares]
    .filter((each) => each.ranges.length < MAX_RANGES_PER_SERVER)
    .sort((left, right) => left.load / left.share - right.load / right.share);
  if (coldest === undefined) {
    return undefined;
  }
  const sources = shares
    .filter((each) => each !== coldest && each.load > OVERLOAD_RATIO * each.share)
    .filter((each) => each.load > each.share + DEVIATIONS * Math.sqrt(each.share))
    .sort((left, right) => right.load / right.share - left.load / left.share);
  // A server without keys gets some even when no other server is above its share.
  const donors = coldest.ranges.length === 0 ? shares.filter((each) => each.load > 0).sort(byLoad) : [];
  for (const source of [...sources, ...donors]) {
    const wanted = Math.min(
      source === donors[0] ? source.load / 2 : source.load - source.share,
      coldest.share - coldest.load,
    );
    const cut = cutPiece(source.ranges, wanted, weigh);
    if (cut !== undefined) {
      const { name, bornAt } = coldest.candidate;
      return { source: cut.source, piece: { ...cut.piece, server: name, bornAt } };
    }
  }
  return findFasterOwner(shares, sources, weigh);
}

interface Share {
  readonly candidate: OwnerCandidate;
  readonly ranges: readonly OwnedRange[];
  readonly load: number;
  readonly share: number;
}

/** A single busy key cannot be shared out; it is best served by the fastest server. */
function findFasterOwner(
  shares: readonly Share[],
  sources: readonly Share[],
  weigh: (range: KeyRange) => number,
): Rebalance | undefined {
  const fastest = shares.reduce<Share | undefined>(
    (best, each) => (best === undefined || each.candidate.capacity > best.candidate.capacity ? each : best),
    undefined,
  );
  const [source] = sources;
  if (source === undefined || fastest === undefined || fastest.ranges.length >= MAX_RANGES_PER_SERVER) {
    return undefined;
  }
  const busiest = [...source.ranges].sort((left, right) => weigh(right) - weigh(left))[0];
  const isAlone = busiest !== undefined && weigh(busiest) > source.share;
  const isFaster = fastest.candidate.capacity > FASTER_RATIO * source.candidate.capacity;
  if (!isAlone || !isFaster || fastest.load > fastest.share * OVERLOAD_RATIO) {
    return undefined;
  }
  const { name, bornAt } = fastest.candidate;
  return { source: busiest, piece: { from: busiest.from, to: busiest.to, server: name, bornAt } };
}

function byLoad(left: { readonly load: number }, right: { readonly load: number }): number {
  return right.load - left.load;
}

/** Cuts a piece with about the wanted load from an end of one of the ranges. */
function cutPiece(
  ranges: readonly OwnedRange[],
  wanted: number,
  weigh: (range: KeyRange) => number,
): { readonly source: OwnedRange; readonly piece: KeyRange } | undefined {
  let best: { readonly source: OwnedRange; readonly piece: KeyRange; readonly load: number } | undefined;
  for (const source of ranges) {
    for (const piece of [cutFromStart(source, wanted, weigh), cutFromEnd(source, wanted, weigh)]) {
      const load = piece === undefined ? 0 : weigh(piece);
      if (piece !== undefined && load > (best?.load ?? wanted * 0.1)) {
        best = { source, piece, load };
      }
    }
  }
  return best;
}

function cutFromStart(range: KeyRange, wanted: number, weigh: (range: KeyRange) => number) {
  let load = 0;
  let to = range.from - 1;
  while (to < range.to && load < wanted) {
    const next = Math.min(range.to, endOfGroup(to + 1));
    const added = weigh({ from: to + 1, to: next });
    if (load + added > wanted * CUT_TOLERANCE) {
      break;
    }
    load += added;
    to = next;
  }
  return to < range.from || to === range.to ? undefined : { from: range.from, to };
}

function cutFromEnd(range: KeyRange, wanted: number, weigh: (range: KeyRange) => number) {
  let load = 0;
  let from = range.to + 1;
  while (from > range.from && load < wanted) {
    const next = Math.max(range.from, startOfGroup(from - 1));
    const added = weigh({ from: next, to: from - 1 });
    if (load + added > wanted * CUT_TOLERANCE) {
      break;
    }
    load += added;
    from = next;
  }
  return from > range.to || from === range.from ? undefined : { from, to: range.to };
}

function createWeigher(loadOf: LoadOf): (range: KeyRange) => number {
  return (range) => loadOf(range) + ((range.to - range.from + 1) / KEY_COUNT) * IDLE_LOAD;
}

function isOwnedBy(range: OwnedRange, candidate: OwnerCandidate): boolean {
  return range.server === candidate.name && range.bornAt === candidate.bornAt;
}

function endOfGroup(key: number): number {
  return key - (key % KEYS_PER_GROUP) + KEYS_PER_GROUP - 1;
}

function startOfGroup(key: number): number {
  return key - (key % KEYS_PER_GROUP);
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
