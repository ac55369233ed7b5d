/** The grants of one service's keys that this daemon keeps alive. */
import type { DiscoveredServer } from "../discovery";
import { Event, type Logger } from "../observability";
import type { Clock } from "../types";
import type { GrantLedger } from "./grantLedger";
import type { Placement } from "./rangePlanner";
import {
  type KeyControl,
  type KeyRange,
  type OwnedRange,
  type RangeAssignment,
  contains,
  overlaps,
} from "./types";

/** Longest time for which a lost server's keys stay with it; long enough for the election of another coordinator. */
const GRANT_DURATION_MS = 4000;
/** Leaves time for the election of another coordinator before a grant lapses. */
const RENEWAL_INTERVAL_MS = 1200;
/** Without an answer from the store for this long an outage is likely, and grants are made to outlast it. */
const OUTAGE_THRESHOLD_MS = 1100;
/** Pause before a grant that got no answer is sent again. */
const RETRY_DELAY_MS = 400;

/** Whether a range stays with its owner. */
export const HoldingPhase = { Held: "held", Leaving: "leaving" } as const;
export type HoldingPhase = (typeof HoldingPhase)[keyof typeof HoldingPhase];

/** An owned range with the state of its grants. */
export interface Holding {
  readonly range: OwnedRange;
  phase: HoldingPhase;
  sentAt: number;
  retryAt: number;
  isGrantInFlight: boolean;
  /** Whether the last grant was made to outlast an outage of the store. */
  isOutageGrant: boolean;
  /** Sent with the next grant. */
  handover: string | null;
}

/** Keys whose owner has provably stopped work on them. */
export interface FreedRange extends KeyRange {
  /** Fencing token of the owner that has stopped. */
  readonly token: number;
  readonly handover: string | null;
  /** New owners, when the keys were released for their sake. */
  readonly targets: readonly Placement[];
}

/** What renewals need. */
export interface RenewalOptions {
  readonly control: KeyControl;
  readonly ledger: GrantLedger;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly isCoordinator: () => boolean;
  /** Time since the store last answered this daemon's renewal of its lease, in milliseconds. */
  readonly getStoreSilenceMs: () => number;
  readonly maxGrantMs: number;
}

/**
 * Creates a holding whose grant has not been sent yet.
 *
 * @param range - The owned range.
 * @param handover - What the last owner left.
 * @returns The holding.
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

/** How a renewal ended. */
export const RenewalResult = {
  /** It was answered, was not due, or is tried again. */
  Continues: "continues",
  /** The server has seen a higher fencing token. */
  Fenced: "fenced",
  /** The server's process has ended. */
  ServerEnded: "server-ended",
} as const;
export type RenewalResult = (typeof RenewalResult)[keyof typeof RenewalResult];

/**
 * Renews a grant when that is due and no other server can hold the keys.
 *
 * @param holding - The range and its state.
 * @param server - Its owner.
 * @param options - Ports and limits.
 * @returns How it ended.
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
  const undo = ledger.record(range, range.server, durationMs);
  holding.sentAt = now;
  holding.retryAt = Number.POSITIVE_INFINITY;
  holding.isGrantInFlight = true;
  holding.isOutageGrant = isOutage;
  const { from, to, token } = range;
  const result = await options.control.grant(server, {
    from,
    to,
    token,
    durationMs,
    handover: holding.handover,
  });
  holding.isGrantInFlight = false;
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
      undo();
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

function logFailure(holding: Holding, options: RenewalOptions, detail: string): void {
  const { server, from, to, token } = holding.range;
  options.logger.log(Event.GrantFailed, { step: "grant", server, from, to, token, detail });
}

/**
 * Cuts a holding at the ends of a piece of it. The parts keep owner and token; each needs grants of its own.
 *
 * @param holding - The holding.
 * @param piece - Keys inside its range.
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
    .map(({ from, to }) => ({ ...holding, range: { ...range, from, to }, isCalling: false }));
}

/**
 * Brings holdings into line with the stored assignment. Keys of a stored range that are neither part of a known
 * holding nor freed stay with their stored owner, since only an answered release or a lapse ends its hold.
 *
 * @param stored - Ranges of the stored assignment, in order of keys.
 * @param known - Holdings so far; parts of a range keep its token.
 * @param freed - Keys that were freed since the stored assignment was made.
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
    const rest = subtractAll(range, accounted).map(({ from, to }) => createHolding({ ...range, from, to }));
    return sortHoldings([...kept, ...rest]);
  });
}

/** The keys of a range that are in none of the others. */
function subtractAll(range: KeyRange, others: readonly KeyRange[]): readonly KeyRange[] {
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

/** Holdings before and after keys have got new owners. */
export interface HoldingChange {
  readonly assignment: RangeAssignment;
  readonly dropped: readonly Holding[];
  readonly added: readonly Holding[];
}

/**
 * Gives keys to new owners, under fencing tokens that were never given out. Neighbouring ranges of one
 * owner become one range, so that one call renews them.
 *
 * @param holdings - Holdings in order of keys; the placements are in none of them.
 * @param placements - New owners.
 * @param freed - Keys with what their last owners left.
 * @param before - The assignment so far.
 * @returns The change.
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
 * Orders holdings by their keys.
 *
 * @param holdings - The holdings.
 * @returns The same holdings in order.
 */
export function sortHoldings(holdings: readonly Holding[]): Holding[] {
  return [...holdings].sort((left, right) => left.range.from - right.range.from);
}

/** A handover belongs to exactly the keys that were released, so a range with one stays by itself at first. */
function canMerge(left: Holding, right: Holding): boolean {
  const isSameOwner = left.range.server === right.range.server && left.range.bornAt === right.range.bornAt;
  const areMergeable = [left, right].every(
    (holding) => holding.phase === HoldingPhase.Held && holding.handover === null,
  );
  return isSameOwner && areMergeable && left.range.to + 1 === right.range.from;
}
