/** Holdings: the owned ranges of one service with the state of the grants that the coordinator renews. */
import type { ServerName } from "../types";
import type { Placement } from "./rangePlanner";
import { type KeyRange, type OwnedRange, type RangeAssignment, contains, overlaps } from "./types";

/** State of an owned range. */
export const HoldingPhase = {
  /** The owner's grants are renewed. */
  Held: "held",
  /**
   * The owner has seen a higher fencing token on some of the keys and refuses renewals. It may hold the others, so
   * they stay with it, under a new token.
   */
  Fenced: "fenced",
  /** The range is being reclaimed from its owner. */
  Leaving: "leaving",
} as const;
export type HoldingPhase = (typeof HoldingPhase)[keyof typeof HoldingPhase];

/** An owned range with the state of its grants. */
export interface Holding {
  readonly range: OwnedRange;
  phase: HoldingPhase;
  /** Local time at which the last grant was sent; negative infinity before the first. */
  sentAt: number;
  /** Local time at which a grant that failed is sent again; infinity unless the last one failed. */
  retryAt: number;
  isGrantInFlight: boolean;
  /** Whether the last grant was sent with the longest duration, to outlast an outage of the object store. */
  isOutageGrant: boolean;
  /** Data that the last owner left for the next one, sent with the next grant; null if there is none. */
  handover: string | null;
}

/** What shows that the last owner of keys has stopped work on them. */
export const FreedBy = {
  /** It answered a release. */
  Release: "release",
  /** Every grant that may have reached it has expired. */
  Expiry: "expiry",
  /** Another server has its address, so its process has ended. */
  ProcessEnd: "process-end",
} as const;
export type FreedBy = (typeof FreedBy)[keyof typeof FreedBy];

/** Keys whose last owner has provably stopped work on them and that have no new owner yet. */
export interface FreedRange extends KeyRange {
  readonly server: ServerName;
  readonly by: FreedBy;
  /** Fencing token under which the last owner held the keys. */
  readonly token: number;
  readonly handover: string | null;
  /** New owners, if the keys were released in order to move them there; otherwise empty. */
  readonly targets: readonly Placement[];
}

/**
 * Creates a holding whose grant has not been sent yet.
 *
 * @param range - The keys and their owner.
 * @param handover - Data that the last owner left for the next one; null if there is none.
 * @returns The holding, due for its first grant.
 */
export function createHolding(range: OwnedRange, handover: string | null = null): Holding {
  return {
    range,
    phase: HoldingPhase.Held,
    sentAt: Number.NEGATIVE_INFINITY,
    retryAt: Number.POSITIVE_INFINITY,
    isGrantInFlight: false,
    isOutageGrant: false,
    handover,
  };
}

/**
 * Splits a holding at both ends of a piece of it. The parts keep owner and token; each needs its own grants.
 *
 * @param holding - Holding to split.
 * @param piece - Keys within its range.
 * @returns The parts in order of keys.
 */
export function splitHolding(holding: Holding, piece: KeyRange): readonly Holding[] {
  const { range } = holding;
  const ranges = [
    { from: range.from, to: piece.from - 1 },
    { from: piece.from, to: piece.to },
    { from: piece.to + 1, to: range.to },
  ];
  return ranges
    .filter(({ from, to }) => from <= to)
    .map(({ from, to }) => ({ ...holding, range: { ...range, from, to }, isGrantInFlight: false }));
}

/**
 * Reconciles holdings with the stored assignment. Keys of a stored range that are neither part of a known
 * holding nor freed stay with their stored owner, which holds them until it has answered a release or its
 * grants have expired.
 *
 * @param stored - Ranges of the stored assignment, in order of keys.
 * @param known - Holdings before the change; parts of a split range keep its token.
 * @param freed - Keys that were freed since the stored assignment was written.
 * @returns The holdings in order of keys.
 */
export function adoptHoldings(
  stored: readonly OwnedRange[],
  known: readonly Holding[],
  freed: readonly FreedRange[],
): readonly Holding[] {
  return stored.flatMap((range) => {
    const isPart = (part: KeyRange & { readonly token: number }) =>
      part.token === range.token && contains(range, part);
    const kept = known.filter((holding) => isPart(holding.range));
    const accounted = [...kept.map((holding) => holding.range), ...freed.filter(isPart)];
    const rest = subtractRanges(range, accounted).map(({ from, to }) =>
      createHolding({ ...range, from, to }),
    );
    return sortHoldings([...kept, ...rest]);
  });
}

/**
 * Subtracts ranges from a range.
 *
 * @param range - The range.
 * @param others - The ranges to subtract.
 * @returns The parts of the range that none of the others covers, in order of keys.
 */
export function subtractRanges(range: KeyRange, others: readonly KeyRange[]): readonly KeyRange[] {
  let rest: readonly KeyRange[] = [range];
  for (const other of others) {
    rest = rest.flatMap((piece) =>
      overlaps(piece, other)
        ? [
            { from: piece.from, to: other.from - 1 },
            { from: other.to + 1, to: piece.to },
          ].filter(({ from, to }) => from <= to)
        : [piece],
    );
  }
  return rest;
}

/**
 * Gives the range of a holding to its owner once more, so that it gets a new fencing token.
 *
 * @param holding - A holding whose owner refuses renewals.
 * @returns The placement.
 */
export function placeAgain({ range: { from, to, server, bornAt } }: Holding): Placement {
  return { from, to, server, bornAt };
}

/** Changes to the assignment and the holdings when keys get new owners. */
export interface HoldingChange {
  readonly assignment: RangeAssignment;
  readonly dropped: readonly Holding[];
  readonly added: readonly Holding[];
}

/**
 * Assigns keys to new owners under fencing tokens that were never issued. Adjacent ranges of one owner are
 * merged into one, so that one call renews them.
 *
 * @param holdings - Holdings in order of keys; none of them overlaps a placement.
 * @param placements - Keys and their new owners.
 * @param freed - Freed keys, with the data that their last owners left.
 * @param before - Assignment before the change.
 * @returns The new assignment, with the holdings that it drops and adds.
 */
export function planHoldings(
  holdings: readonly Holding[],
  placements: readonly Placement[],
  freed: readonly FreedRange[],
  before: RangeAssignment,
): HoldingChange {
  let { nextToken } = before;
  const placed = placements.map((placement) => {
    const handover = freed.find((each) => contains(each, placement))?.handover;
    const { from, to, server, bornAt } = placement;
    return createHolding({ from, to, server, bornAt, token: nextToken++ }, handover ?? null);
  });
  const merged: Holding[] = [];
  for (const holding of sortHoldings([...holdings, ...placed])) {
    const last = merged.at(-1);
    if (last === undefined || !canMerge(last, holding)) {
      merged.push(holding);
      continue;
    }
    const range = { ...last.range, to: holding.range.to, token: nextToken++ };
    merged[merged.length - 1] = createHolding(range, last.handover ?? holding.handover);
  }
  const known = new Set(holdings);
  return {
    assignment: { ...before, nextToken, ranges: merged.map((holding) => holding.range) },
    dropped: holdings.filter((holding) => !merged.includes(holding)),
    added: merged.filter((holding) => !known.has(holding)),
  };
}

/**
 * Sorts holdings by their keys.
 *
 * @param holdings - Holdings in any order.
 * @returns The same holdings in order of keys, in a new array.
 */
export function sortHoldings(holdings: readonly Holding[]): Holding[] {
  return [...holdings].sort((left, right) => left.range.from - right.range.from);
}

/**
 * Returns whether two holdings can become one. A handover belongs to exactly the keys that were released, so
 * a range with a handover is not merged until a grant has delivered it.
 */
function canMerge(left: Holding, right: Holding): boolean {
  const isSameOwner = left.range.server === right.range.server && left.range.bornAt === right.range.bornAt;
  const areMergeable = [left, right].every(
    (holding) => holding.phase === HoldingPhase.Held && holding.handover === null,
  );
  return isSameOwner && areMergeable && left.range.to + 1 === right.range.from;
}
