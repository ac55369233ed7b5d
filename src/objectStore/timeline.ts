/**
 * Versions of an object store that may be restored from a copy. Each restore starts a new timeline, on which
 * revisions are given out again; a version contains both, so that versions of a later timeline are higher.
 */
import type { Version } from "../types";

/** Number of a store's timeline; it increases with each restore. */
export type Timeline = number;

/** Bounds revisions to a trillion and timelines to 8192, which together fit into a safe integer. */
const REVISIONS_PER_TIMELINE = 2 ** 40;
const MAX_TIMELINE = Number.MAX_SAFE_INTEGER / REVISIONS_PER_TIMELINE;

/**
 * Creates a version.
 *
 * @param timeline - Timeline of the store.
 * @param revision - Revision on this timeline.
 * @returns The version.
 * @throws RangeError when one of them is out of range.
 */
export function createVersion(timeline: Timeline, revision: number): Version {
  if (timeline > MAX_TIMELINE || revision >= REVISIONS_PER_TIMELINE) {
    throw new RangeError(`timeline ${timeline} or revision ${revision} is out of range`);
  }
  return timeline * REVISIONS_PER_TIMELINE + revision;
}

/**
 * Returns the timeline of a version.
 *
 * @param version - The version.
 * @returns Its timeline; 0 for the version 0 of an absent object.
 */
export function getTimeline(version: Version): Timeline {
  return Math.floor(version / REVISIONS_PER_TIMELINE);
}

/**
 * Returns the revision of a version.
 *
 * @param version - The version.
 * @returns Its revision on its timeline.
 */
export function getRevision(version: Version): number {
  return version % REVISIONS_PER_TIMELINE;
}
