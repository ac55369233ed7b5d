/**
 * Rebalances the load of key owners when adjacent keys become busy: splits their range into pieces and moves
 * these to the least loaded servers. Works on plain data, without network or clock.
 */
import {
  type LoadFunction,
  type OwnerCandidate,
  type Placement,
  createWeightFunction,
  sum,
} from "./rangePlanner";
import type { KeyRange, OwnedRange } from "./types";

/** A server above this multiple of its share gives up keys; a smaller difference can be random variation. */
const OVERLOAD_RATIO = 1.3;
/** A server counts as faster above this multiple of another's capacity; less can be random variation. */
const FASTER_RATIO = 1.4;
/**
 * The load of a piece may be up to this multiple of the wanted load, which is the smaller of what the old
 * owner should give up and what the new owner lacks of its share. A single busy key with more load stays
 * where it is, unless {@link MAX_TARGET_LOAD_RATIO} allows the move.
 */
const CUT_TOLERANCE = 1.4;
/** A piece with at most this fraction of the wanted load is not worth a move. */
const MIN_CUT_RATIO = 0.1;
/**
 * Keys with more than the wanted load move only if the load of their new owner, relative to its share, ends up at
 * or below this fraction of the old owner's.
 */
const MAX_TARGET_LOAD_RATIO = 0.75;
/** Bounds the calls that renew grants, since each range needs its own. */
const MAX_RANGES_PER_SERVER = 6;

/** Keys to move with their new owner, and the owned range that they are split off. */
export interface RebalanceMove {
  readonly source: OwnedRange;
  readonly piece: Placement;
}

/** Options for {@link planRebalance}. */
export interface RebalanceOptions {
  readonly owned: readonly OwnedRange[];
  readonly candidates: readonly OwnerCandidate[];
  readonly getLoad: LoadFunction;
  readonly maxMoves: number;
  /** Returns whether keys of a range may be moved now. */
  readonly isMovable: (range: OwnedRange) => boolean;
}

interface Part extends KeyRange {
  /** Owned range of which this part remains after the moves planned so far. */
  readonly source: OwnedRange;
  readonly load: number;
}

/** Load and ranges of one candidate while a plan is made. */
interface CandidateState {
  readonly candidate: OwnerCandidate;
  /** Share of the total load, in proportion to the candidate's capacity. */
  readonly share: number;
  /** Load above which the candidate gives up keys. */
  readonly limit: number;
  load: number;
  /** Number of ranges that the server will own, including those that are moved to it. */
  ranges: number;
  /** Keys that may still be moved away. */
  parts: Part[];
}

/**
 * Plans moves that even out the load. Pieces are split off the ends of what remains of a range, so that
 * several can leave it in one plan.
 *
 * @param options - Owned ranges, candidates, loads and limits.
 * @returns The moves; empty if the load is even enough.
 */
export function planRebalance(options: RebalanceOptions): readonly RebalanceMove[] {
  const weigh = createWeightFunction(options.getLoad);
  const states = createStates(options, weigh);
  const moves: RebalanceMove[] = [];
  while (moves.length < options.maxMoves) {
    const move = findMove(states, weigh);
    if (move === undefined) {
      break;
    }
    moves.push(move);
  }
  return moves;
}

/**
 * Groups moves of adjacent keys in one range, so that one release call reclaims them all.
 *
 * @param moves - Moves of one plan.
 * @returns Groups of adjacent pieces, in order of keys.
 */
export function groupAdjacentMoves(
  moves: readonly RebalanceMove[],
): readonly (readonly [Placement, ...Placement[]])[] {
  const groups: [Placement, ...Placement[]][] = [];
  let last: RebalanceMove | undefined;
  for (const move of [...moves].sort((left, right) => left.piece.from - right.piece.from)) {
    const group = groups.at(-1);
    if (group !== undefined && last?.source === move.source && last.piece.to + 1 === move.piece.from) {
      group.push(move.piece);
    } else {
      groups.push([move.piece]);
    }
    last = move;
  }
  return groups;
}

function createStates(options: RebalanceOptions, weigh: LoadFunction): CandidateState[] {
  const byOwner = new Map<string, OwnedRange[]>();
  for (const range of options.owned) {
    const owner = `${range.server}/${range.bornAt}`;
    const ranges = byOwner.get(owner) ?? [];
    ranges.push(range);
    byOwner.set(owner, ranges);
  }
  const ownedBy = ({ name, bornAt }: OwnerCandidate) => byOwner.get(`${name}/${bornAt}`) ?? [];
  const total = sum(options.candidates.flatMap(ownedBy).map(weigh));
  const capacity = sum(options.candidates.map((candidate) => candidate.capacity));
  return options.candidates.map((candidate) => {
    const ranges = ownedBy(candidate);
    const share = (total * candidate.capacity) / capacity;
    return {
      candidate,
      share,
      limit: findOverloadLimit(share, options.candidates.length),
      load: sum(ranges.map(weigh)),
      ranges: ranges.length,
      parts: ranges
        .filter(options.isMovable)
        .map((range) => ({ from: range.from, to: range.to, source: range, load: weigh(range) })),
    };
  });
}

/** Finds the next move and applies it to the candidates' states. */
function findMove(states: readonly CandidateState[], weigh: LoadFunction): RebalanceMove | undefined {
  const leastLoaded = findLeastLoaded(states);
  if (leastLoaded === undefined) {
    return undefined;
  }
  const sources = states
    .filter((each) => each !== leastLoaded && isOverloaded(each))
    .sort((left, right) => right.load / right.share - left.load / left.share);
  for (const source of sources) {
    const wanted = Math.min(source.load - source.share, leastLoaded.share - leastLoaded.load);
    const maxLoad =
      (source.load / source.share) * MAX_TARGET_LOAD_RATIO * leastLoaded.share - leastLoaded.load;
    const cut = cutPiece(source.parts, wanted, weigh) ?? cutBusyKey(source.parts, wanted, maxLoad, weigh);
    if (cut !== undefined) {
      return applyMove(source, leastLoaded, cut, weigh);
    }
  }
  return leastLoaded.ranges === 0
    ? findMoveToEmptyServer(states, leastLoaded, weigh)
    : findMoveToFastestServer(states, sources[0], weigh);
}

function findLeastLoaded(states: readonly CandidateState[]): CandidateState | undefined {
  let leastLoaded: CandidateState | undefined;
  for (const each of states) {
    const isLessLoaded =
      leastLoaded === undefined || each.load / each.share < leastLoaded.load / leastLoaded.share;
    if (each.ranges < MAX_RANGES_PER_SERVER && isLessLoaded) {
      leastLoaded = each;
    }
  }
  return leastLoaded;
}

function isOverloaded({ load, limit }: CandidateState): boolean {
  return load > limit;
}

/**
 * Returns the load above which a server counts as overloaded. The busiest of many servers with equal shares is above
 * its share by about this many standard deviations at any time.
 */
function findOverloadLimit(share: number, servers: number): number {
  const deviations = Math.sqrt(2 * Math.log(Math.max(servers, 2)));
  return Math.max(OVERLOAD_RATIO * share, share + deviations * Math.sqrt(share));
}

/** Finds keys for a server that has none, even if no other server is above its share. */
function findMoveToEmptyServer(
  states: readonly CandidateState[],
  leastLoaded: CandidateState,
  weigh: LoadFunction,
): RebalanceMove | undefined {
  const sources = states
    .filter((each) => each.parts.length > 0)
    .sort((left, right) => right.load - left.load);
  for (const [index, source] of sources.entries()) {
    const spare = index === 0 ? source.load / 2 : source.load - source.share;
    const cut = cutPiece(source.parts, Math.min(spare, leastLoaded.share - leastLoaded.load), weigh);
    if (cut !== undefined) {
      return applyMove(source, leastLoaded, cut, weigh);
    }
  }
  return undefined;
}

/**
 * Finds a move of the busiest part to the fastest server, since a single busy key cannot be split and is
 * served best there.
 */
function findMoveToFastestServer(
  states: readonly CandidateState[],
  source: CandidateState | undefined,
  weigh: LoadFunction,
): RebalanceMove | undefined {
  const fastest = states.reduce<CandidateState | undefined>(
    (best, each) => (best === undefined || each.candidate.capacity > best.candidate.capacity ? each : best),
    undefined,
  );
  if (source === undefined || fastest === undefined || fastest.ranges >= MAX_RANGES_PER_SERVER) {
    return undefined;
  }
  const [busiest] = [...source.parts].sort((left, right) => right.load - left.load);
  if (busiest === undefined || busiest.load <= source.share) {
    return undefined;
  }
  const isFaster = fastest.candidate.capacity > FASTER_RATIO * source.candidate.capacity;
  if (!isFaster || fastest.load > fastest.share * OVERLOAD_RATIO) {
    return undefined;
  }
  return applyMove(source, fastest, { part: busiest, from: busiest.from, to: busiest.to }, weigh);
}

interface Cut extends KeyRange {
  readonly part: Part;
}

function applyMove(
  source: CandidateState,
  target: CandidateState,
  cut: Cut,
  weigh: LoadFunction,
): RebalanceMove {
  const { part, from, to } = cut;
  const load = weigh({ from, to });
  source.load -= load;
  target.load += load;
  target.ranges += 1;
  source.parts = source.parts.flatMap((each) => (each === part ? subtract(part, cut, weigh) : [each]));
  const { name, bornAt } = target.candidate;
  return { source: part.source, piece: { from, to, server: name, bornAt } };
}

/** Returns what remains of a part without a piece at one of its ends; empty if nothing does. */
function subtract(part: Part, piece: KeyRange, weigh: LoadFunction): readonly Part[] {
  const left = {
    from: piece.from === part.from ? piece.to + 1 : part.from,
    to: piece.from === part.from ? part.to : piece.from - 1,
  };
  return left.from > left.to ? [] : [{ ...left, source: part.source, load: weigh(left) }];
}

/**
 * Finds the piece with the highest load within {@link CUT_TOLERANCE} at an end of one of the parts. Returns
 * undefined if none has more than {@link MIN_CUT_RATIO} of the wanted load.
 */
function cutPiece(parts: readonly Part[], wanted: number, weigh: LoadFunction): Cut | undefined {
  let best: (Cut & { readonly load: number }) | undefined;
  for (const part of parts) {
    for (const piece of [cutFromStart(part, wanted, weigh), cutFromEnd(part, wanted, weigh)]) {
      const load = piece === undefined ? 0 : weigh(piece);
      if (piece !== undefined && load > (best?.load ?? wanted * MIN_CUT_RATIO)) {
        best = { part, ...piece, load };
      }
    }
  }
  return best;
}

/**
 * Finds the shortest piece above {@link CUT_TOLERANCE} at each end of the busiest part and returns the
 * lighter one, which may be the whole part; undefined if its load is above `maxLoad`.
 */
function cutBusyKey(
  parts: readonly Part[],
  wanted: number,
  maxLoad: number,
  weigh: LoadFunction,
): Cut | undefined {
  const [busiest] = [...parts].sort((left, right) => right.load - left.load);
  if (busiest === undefined || wanted <= 0) {
    return undefined;
  }
  const pieces = [cutFromStart(busiest, wanted, weigh), cutFromEnd(busiest, wanted, weigh)].map(
    (piece, index) =>
      index === 0
        ? { from: busiest.from, to: (piece?.to ?? busiest.from - 1) + 1 }
        : { from: (piece?.from ?? busiest.to + 1) - 1, to: busiest.to },
  );
  const [lighter] = pieces.sort((left, right) => weigh(left) - weigh(right));
  return lighter === undefined || weigh(lighter) > maxLoad ? undefined : { part: busiest, ...lighter };
}

/**
 * Returns the longest piece within {@link CUT_TOLERANCE} at the start of a range; undefined if it is empty or
 * the whole range.
 */
function cutFromStart(range: KeyRange, wanted: number, weigh: LoadFunction): KeyRange | undefined {
  const { from } = range;
  const to = findLast(from, range.to, (last) => weigh({ from, to: last }) <= wanted * CUT_TOLERANCE);
  return to < from || to === range.to ? undefined : { from, to };
}

function cutFromEnd(range: KeyRange, wanted: number, weigh: LoadFunction): KeyRange | undefined {
  const { to } = range;
  const keyCount = findLast(1, to - range.from + 1, (count) => {
    return weigh({ from: to - count + 1, to }) <= wanted * CUT_TOLERANCE;
  });
  return keyCount < 1 || keyCount === to - range.from + 1 ? undefined : { from: to - keyCount + 1, to };
}

/** Finds the last number from `first` to `last` that fits, given that all before it fit; else `first - 1`. */
function findLast(first: number, last: number, fits: (value: number) => boolean): number {
  let low = first - 1;
  let high = last;
  while (low < high) {
    const middle = (low + high + 1) >> 1;
    if (fits(middle)) {
      low = middle;
    } else {
      high = middle - 1;
    }
  }
  return low;
}
