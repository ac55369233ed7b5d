/** Finds the owners of keys in the newest known assignments. */
import murmurhash from "murmurhash";
import { describeError } from "../errors";
import { type StoredObject, decodeStoredObject, getTimeline } from "../objectStore";
import { Event, type Logger } from "../observability";
import type { Clock, ServerName, ServiceName, Version } from "../types";
import { ASSIGNMENT_PREFIX, parseRangeAssignment } from "./assignmentDocument";
import type { OwnedRange } from "./types";

/** Time within which the new grants reach the owners after a change of owners. */
const GRANT_ARRIVAL_MS = 40;

/** The owners of keys as this daemon knows them. */
export interface OwnerTable {
  /**
   * Applies stored assignments. Versions that are not newer than the known ones are ignored, and so are copies
   * from before a restore of the store if anything is known.
   */
  apply(objects: readonly StoredObject[]): void;
  /** Replaces the ranges of a service, given in order of keys, if the version is newer than the known one. */
  update(service: ServiceName, ranges: readonly OwnedRange[], version: Version): void;
  /** Returns the known version of a service's assignment; 0 while none is known. */
  getVersion(service: ServiceName): Version;
  /** Returns the owned ranges of a service in order of keys. */
  getRanges(service: ServiceName): readonly OwnedRange[];
  /**
   * Returns a hash of the known versions: equal on daemons that know the same versions, different otherwise
   * except for rare collisions.
   */
  computeDigest(): number;
  /** Returns the owner of a key; undefined while it has none. */
  findOwner(service: ServiceName, key: number): ServerName | undefined;
  /**
   * Waits for the next assignment, at most `waitMs` milliseconds. Shortly after a change it waits only as
   * long as the new grants need to arrive. Returns whether it is worth looking up the owner and sending the
   * request again.
   */
  waitForChange(service: ServiceName, waitMs: number): Promise<boolean>;
}

interface KnownAssignment {
  readonly version: Version;
  readonly ranges: readonly OwnedRange[];
  readonly changedAt: number;
}

/**
 * Creates an empty owner table.
 *
 * @param clock - Clock that measures waiting times and the age of changes.
 * @param logger - Logs assignments that cannot be read.
 * @returns The table.
 */
export function createOwnerTable(clock: Clock, logger: Logger): OwnerTable {
  const known = new Map<ServiceName, KnownAssignment>();
  const waiters = new Map<ServiceName, Set<() => void>>();

  return {
    apply: (objects) => {
      for (const object of objects) {
        applyObject(object);
      }
    },
    update,
    getVersion: (service) => known.get(service)?.version ?? 0,
    getRanges: (service) => known.get(service)?.ranges ?? [],
    computeDigest: () => {
      let digest = 0;
      for (const [service, { version }] of known) {
        digest ^= murmurhash.v3(`${service}@${version}`);
      }
      return digest >>> 0;
    },
    findOwner: (service, key) => {
      const ranges = known.get(service)?.ranges ?? [];
      return findRange(ranges, key)?.server;
    },
    waitForChange: async (service, waitMs) => {
      const before = known.get(service);
      const isFresh = before !== undefined && clock.now() - before.changedAt < GRANT_ARRIVAL_MS;
      await waitForUpdate(service, isFresh ? Math.min(waitMs, GRANT_ARRIVAL_MS) : waitMs);
      return isFresh || known.get(service) !== before;
    },
  };

  function applyObject(object: StoredObject): void {
    if (!object.path.startsWith(ASSIGNMENT_PREFIX)) {
      return;
    }
    try {
      const { version, value } = decodeStoredObject(object);
      const assignment = parseRangeAssignment(value);
      if (assignment.timeline < getTimeline(version) && known.has(assignment.service)) {
        // A copy from before a restore of the store lacks changes that are known here.
        return;
      }
      update(assignment.service, assignment.ranges, version);
    } catch (error) {
      logger.log(Event.AssignmentRefused, { path: object.path, error: describeError(error) });
    }
  }

  function update(service: ServiceName, ranges: readonly OwnedRange[], version: Version): void {
    if (version <= (known.get(service)?.version ?? 0)) {
      return;
    }
    known.set(service, { version, ranges, changedAt: clock.now() });
    const waiting = [...(waiters.get(service) ?? [])];
    waiters.delete(service);
    waiting.forEach((wake) => {
      wake();
    });
  }

  function waitForUpdate(service: ServiceName, waitMs: number): Promise<void> {
    return new Promise((resolve) => {
      const waiting = waiters.get(service) ?? new Set();
      waiters.set(service, waiting);
      const wake = () => {
        cancel();
        waiting.delete(wake);
        resolve();
      };
      const cancel = clock.schedule(Math.max(0, waitMs), wake);
      waiting.add(wake);
    });
  }
}

/**
 * Finds the range that contains a key, by binary search.
 *
 * @param ranges - Ranges in order of keys, without overlaps.
 * @param key - Key to look up.
 * @returns The range; undefined if no range contains the key.
 */
export function findRange<Range extends { readonly from: number; readonly to: number }>(
  ranges: readonly Range[],
  key: number,
): Range | undefined {
  let low = 0;
  let high = ranges.length - 1;
  while (low <= high) {
    const middle = (low + high) >> 1;
    const range = ranges[middle];
    if (range === undefined || key < range.from) {
      high = middle - 1;
    } else if (key > range.to) {
      low = middle + 1;
    } else {
      return range;
    }
  }
  return undefined;
}
