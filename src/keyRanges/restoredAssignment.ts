/**
 * Continues key ownership on an object store that was restored from a copy. The stored assignment is then older
 * than the grants, so neither its owners nor its fencing tokens can be relied on.
 */
import type { Timeline } from "../objectStore";
import type { OwnedRange, RangeAssignment } from "./types";

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
  const newest =
    findHighestToken(known.ranges) >= findHighestToken(storedRanges) ? known.ranges : storedRanges;
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

function findHighestToken(ranges: readonly OwnedRange[]): number {
  return ranges.reduce((highest, { token }) => Math.max(highest, token), 0);
}
