/**
 * Continues key ownership when the stored assignment cannot be relied on: the object store was restored from a copy,
 * so the assignment is older than the grants, or it gives keys to two servers.
 */
import type { Timeline } from "../objectStore";
import { subtractRanges } from "./holdings";
import { type OwnedRange, type RangeAssignment, overlaps } from "./types";

/** Far more than the tokens issued on one timeline, of which the stored assignment may not show the last ones. */
const TOKENS_PER_TIMELINE = 2 ** 32;

/**
 * Moves an assignment to the store's present timeline. Owners and tokens stay; later tokens are above all that
 * were issued on earlier timelines.
 *
 * @param assignment - Assignment that is known to be up to date.
 * @param timeline - Present timeline of the store.
 * @returns The assignment to store.
 */
export function continueAssignment(assignment: RangeAssignment, timeline: Timeline): RangeAssignment {
  const nextToken = Math.max(assignment.nextToken, timeline * TOKENS_PER_TIMELINE);
  return { ...assignment, timeline, nextToken };
}

/**
 * Chooses the assignment that a new coordinator continues with. All ranges get new tokens, since a server that
 * lost keys without its knowledge may accept an old one.
 *
 * @param stored - The restored assignment, if the copy had one.
 * @param known - The newest assignment that this daemon knows, which the one stored may lack.
 * @param timeline - Present timeline of the store.
 * @returns The assignment to store. Its owners are the most likely ones; others may hold any of their keys.
 */
export function replaceAssignment(
  stored: RangeAssignment | undefined,
  known: Pick<RangeAssignment, "service" | "ranges">,
  timeline: Timeline,
): RangeAssignment {
  const storedRanges = stored?.ranges ?? [];
  const newest = removeOverlaps(
    findHighestToken(known.ranges) >= findHighestToken(storedRanges) ? known.ranges : storedRanges,
  );
  const firstToken = Math.max(
    findHighestToken(newest) + 1,
    stored?.nextToken ?? 1,
    timeline * TOKENS_PER_TIMELINE,
  );
  return {
    service: known.service,
    timeline,
    isProvisional: true,
    nextToken: firstToken + newest.length,
    ranges: newest.map((range, index) => ({ ...range, token: firstToken + index })),
  };
}

/**
 * Returns whether any keys are in two ranges.
 *
 * @param ranges - Ranges in order of keys.
 * @returns True if two of them share a key.
 */
export function hasOverlaps(ranges: readonly OwnedRange[]): boolean {
  let last = -1;
  return ranges.some(({ from, to }) => {
    const isOverlapping = from <= last;
    last = Math.max(last, to);
    return isOverlapping;
  });
}

/** Leaves keys that are in two ranges to the one with the higher fencing token. */
function removeOverlaps(ranges: readonly OwnedRange[]): readonly OwnedRange[] {
  const kept = ranges.flatMap((range) => {
    const stronger = ranges.filter((other) => other.token > range.token && overlaps(other, range));
    return subtractRanges(range, stronger).map(({ from, to }) => ({ ...range, from, to }));
  });
  return kept.sort((left, right) => left.from - right.from);
}

function findHighestToken(ranges: readonly OwnedRange[]): number {
  return ranges.reduce((highest, { token }) => Math.max(highest, token), 0);
}
