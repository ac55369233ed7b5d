/** Holdings: the owned ranges of one service with the state of the grants that the coordinator renews. */
import type { DiscoveredServer } from "../discovery";
import { Event, type Logger } from "../observability";
import type { Clock, ServerName } from "../types";
import type { GrantLedger } from "./grantLedger";
import type { Placement } from "./rangePlanner";
import {
  type GrantResult,
  type KeyControl,
  type KeyRange,
  type OwnedRange,
  type RangeAssignment,
  contains,
  overlaps,
} from "./types";

/** Bounds how long the keys of a lost server stay with it; long enough to elect another coordinator. */
const GRANT_DURATION_MS = 4000;
/** Leaves enough time to elect another coordinator before a grant expires. */
const RENEWAL_INTERVAL_MS = 1200;
/**
 * If the object store has not answered for this long, an outage is likely, and grants are sent with the
 * longest duration to outlast it.
 */
const OUTAGE_THRESHOLD_MS = 1100;
/** A grant that took longer than this is logged. */
const SLOW_GRANT_MS = 250;
/** Pause before a grant that was not sent or not answered is sent again. */
const RETRY_DELAY_MS = 400;

/** State of an owned range. */
export const HoldingPhase = {
  /** The owner's grants are renewed. */
  Held: "held",
  /**
   * The owner has seen a higher fencing token on some of the keys and refuses renewals. It may hold the others, so
   * they stay with it, under a new token.
   */
  Refused: "refused",
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

/** Options for {@link renewGrant}. */
export interface RenewalOptions {
  readonly control: KeyControl;
  readonly ledger: GrantLedger;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly isCoordinator: () => boolean;
  /**
   * Returns the time since the object store last answered this daemon's renewal of its lease, in
   * milliseconds.
   */
  readonly getStoreSilenceMs: () => number;
  readonly maxGrantMs: number;
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

/** Result of the renewal of a grant. */
export const RenewalResult = {
  /** The renewal was answered, was not due, or will be tried again. */
  Continues: "continues",
  /** The server has seen a higher fencing token. */
  Fenced: "fenced",
  /** The server's process has ended. */
  ServerEnded: "server-ended",
} as const;
export type RenewalResult = (typeof RenewalResult)[keyof typeof RenewalResult];

/**
 * Sends or renews a grant if that is due and no other server can hold the keys.
 *
 * @param holding - The range and the state of its grants, which is updated.
 * @param server - Owner of the range.
 * @param options - Key control, ledger and limits.
 * @returns What the result means for the holding.
 */
export async function renewGrant(
  holding: Holding,
  server: DiscoveredServer,
  options: RenewalOptions,
): Promise<RenewalResult> {
  const { range } = holding;
  const { clock, ledger } = options;
  const now = clock.now();
  const isOutage = options.getStoreSilenceMs() > OUTAGE_THRESHOLD_MS;
  if (!isRenewalDue(holding, now, isOutage) || !options.isCoordinator()) {
    return RenewalResult.Continues;
  }
  if (ledger.getFreeAt(range, range.server) > now) {
    return RenewalResult.Continues;
  }
  const durationMs = isOutage ? options.maxGrantMs : Math.min(GRANT_DURATION_MS, options.maxGrantMs);
  const record = ledger.begin(range, range.server, durationMs);
  holding.sentAt = now;
  holding.retryAt = Number.POSITIVE_INFINITY;
  holding.isGrantInFlight = true;
  holding.isOutageGrant = isOutage;
  const { from, to, token } = range;
  const grant = { from, to, token, durationMs, handover: holding.handover };
  // The keys may be released, and given to another server, while the connection is being made.
  const isPermitted = () => options.isCoordinator() && holding.phase === HoldingPhase.Held;
  const result = await options.control.grant(server, grant, isPermitted).finally(() => {
    holding.isGrantInFlight = false;
  });
  if (result.kind === "notSent") {
    record.cancel();
  } else {
    record.end();
  }
  logSlowGrant(holding, options, clock.now() - now, result);
  switch (result.kind) {
    case "granted":
      holding.handover = null;
      return RenewalResult.Continues;
    case "fenced":
      options.logger.log(Event.GrantFenced, { server: range.server, from, to, token });
      return RenewalResult.Fenced;
    case "misdirected":
      logFailure(holding, options, result.kind);
      return RenewalResult.ServerEnded;
    case "notSent":
      holding.retryAt = clock.now() + RETRY_DELAY_MS;
      logFailure(holding, options, result.detail);
      return RenewalResult.Continues;
    case "unanswered":
      holding.retryAt = clock.now() + RETRY_DELAY_MS;
      logFailure(holding, options, result.detail);
      return RenewalResult.Continues;
    default:
      return result satisfies never;
  }
}

function isRenewalDue(holding: Holding, now: number, isOutage: boolean): boolean {
  const isDue =
    now - holding.sentAt >= RENEWAL_INTERVAL_MS ||
    holding.retryAt <= now ||
    (isOutage && !holding.isOutageGrant);
  return isDue && !holding.isGrantInFlight && holding.phase === HoldingPhase.Held;
}

/** A grant counts from its arrival at the server, which may be as late as its answer. */
function logSlowGrant(
  { range }: Holding,
  options: RenewalOptions,
  tookMs: number,
  { kind }: GrantResult,
): void {
  if (tookMs >= SLOW_GRANT_MS) {
    const { server, from, to, token } = range;
    const isCoordinator = options.isCoordinator();
    options.logger.log(Event.GrantSlow, { server, from, to, token, tookMs, result: kind, isCoordinator });
  }
}

function logFailure(holding: Holding, options: RenewalOptions, detail: string): void {
  const { server, from, to, token } = holding.range;
  options.logger.log(Event.GrantFailed, { step: "grant", server, from, to, token, detail });
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
