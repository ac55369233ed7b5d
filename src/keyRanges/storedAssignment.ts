/** The key assignment of one service in the object store, as its coordinator reads and writes it. */
import {
  CallPriority,
  type ObjectStore,
  type Timeline,
  type UpdateResult,
  type VersionedValue,
  getTimeline,
  updateObject,
} from "../objectStore";
import { Event, type Logger } from "../observability";
import { type Clock, type ServiceName, type Version, sleep } from "../types";
import { getAssignmentPath, parseRangeAssignment } from "./assignmentDocument";
import type { OwnerTable } from "./ownerTable";
import { continueAssignment, hasOverlaps, replaceAssignment } from "./restoredAssignment";
import type { RangeAssignment } from "./types";

/**
 * Servers that registered after the copy of a restored store are back within this time after a coordinator was
 * elected, which itself takes the duration of a lease.
 */
const RESTORED_DIRECTORY_DELAY_MS = 1000;

/** Options for {@link createStoredAssignment}. */
export interface StoredAssignmentOptions {
  readonly service: ServiceName;
  readonly objects: ObjectStore;
  readonly owners: Pick<OwnerTable, "getRanges">;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Whether the whole deployment starts for the first time; otherwise a missing record was lost with a restore. */
  readonly isFirstStart: boolean;
  /** Returns the object store's timeline as of the last renewal of the coordinator lease. */
  readonly getTimeline: () => Timeline;
  /** Returns whether this term of the coordinator still lasts. */
  readonly isCoordinator: () => boolean;
}

/** Where the assignment comes from that a coordinator continues with after a read. */
type AssignmentBase =
  /** Nothing was ever assigned. */
  | { readonly kind: "none" }
  /** The store was restored so lately that servers may not have registered again. */
  | { readonly kind: "unsettled" }
  | { readonly kind: "stored"; readonly assignment: RangeAssignment }
  /** The stored one is a copy; this coordinator's own one is up to date. */
  | { readonly kind: "continued"; readonly assignment: RangeAssignment }
  /** The stored one is a copy or overlapping, and servers may hold other keys than this one says. */
  | { readonly kind: "replaced"; readonly assignment: RangeAssignment };

/** An assignment that was read and written back, so that the coordinator continues with it. */
export interface ResolvedAssignment {
  readonly source: "stored" | "continued" | "replaced";
  /** Whether it is the first one of this coordinator's term. */
  readonly isFirst: boolean;
}

/** The assignment as this coordinator knows it. */
export interface StoredAssignment {
  /** Returns the assignment as last read or written, with the fencing tokens that were issued since. */
  get(): RangeAssignment;
  /** Returns the version in the object store; 0 before the first write. */
  getVersion(): Version;
  /** Returns whether it is unknown: not read yet, or the last write failed or is in doubt. */
  isInDoubt(): boolean;
  /** Returns whether the object store has been restored since it was stored. */
  isCopy(): boolean;
  /**
   * Reads the assignment and writes it back on condition that its version is unchanged. The new version makes
   * every earlier in-doubt write fail, whether it came from this or from another coordinator. A copy from before a
   * restore of the store is replaced. Returns undefined if nothing is stored, or servers may not have registered yet.
   */
  resolve(signal: AbortSignal): Promise<ResolvedAssignment | undefined>;
  /** Stores the next assignment and returns its version; throws if that failed or is in doubt. */
  write(next: RangeAssignment): Promise<Version>;
  /** Reserves `count` fencing tokens that were never issued and returns the first. */
  allocateTokens(count: number): number;
}

/**
 * Creates the assignment of a coordinator's term, which has not been read yet.
 *
 * @param options - Object store, known owners, and the coordinator's term.
 * @returns The assignment.
 */
export function createStoredAssignment(options: StoredAssignmentOptions): StoredAssignment {
  const { service, objects, clock, logger, isCoordinator } = options;
  const path = getAssignmentPath(service);
  const startedAt = clock.now();
  let assignment: RangeAssignment = { service, timeline: 0, isProvisional: false, nextToken: 1, ranges: [] };
  let stored: VersionedValue | undefined;
  let isInDoubt = true;

  return {
    get: () => assignment,
    getVersion: () => stored?.version ?? 0,
    isInDoubt: () => isInDoubt,
    isCopy: () => stored !== undefined && options.getTimeline() > assignment.timeline,
    resolve: async (signal) => {
      let base: AssignmentBase = { kind: "none" };
      const result = await updateObject(objects, path, CallPriority.Ownership, (current) => {
        assertCoordinator();
        base = findBase(current);
        return "assignment" in base ? base.assignment : undefined;
      });
      return adopt(base, result, signal);
    },
    write,
    allocateTokens: (count) => {
      const first = assignment.nextToken;
      assignment = { ...assignment, nextToken: first + count };
      return first;
    },
  };

  async function adopt(
    base: AssignmentBase,
    result: UpdateResult,
    signal: AbortSignal,
  ): Promise<ResolvedAssignment | undefined> {
    if (base.kind === "unsettled") {
      await sleep(clock, RESTORED_DIRECTORY_DELAY_MS, signal);
      return undefined;
    }
    isInDoubt = false;
    if (result.kind === "unchanged" || base.kind === "none") {
      assignment = continueAssignment(assignment, options.getTimeline());
      return undefined;
    }
    const isFirst = stored === undefined;
    stored = { version: result.version, value: result.value };
    setAssignment(parseRangeAssignment(result.value));
    return { source: base.kind, isFirst };
  }

  /** Finds the assignment to continue with. A record of an earlier timeline is a copy, and may be missing. */
  function findBase(current: VersionedValue | undefined): AssignmentBase {
    const record = current === undefined ? undefined : parseRangeAssignment(current.value);
    const timeline = current === undefined ? options.getTimeline() : getTimeline(current.version);
    const isFirst = stored === undefined;
    const isReliable = record !== undefined && !(isFirst && (record.isProvisional || isOverlapping(record)));
    if (isReliable && record.timeline === timeline) {
      return { kind: "stored", assignment: record };
    }
    if (!isFirst) {
      return { kind: "continued", assignment: continueAssignment(assignment, timeline) };
    }
    const ranges = options.owners.getRanges(service);
    if (record === undefined && ranges.length === 0 && options.isFirstStart) {
      return { kind: "none" };
    }
    if (clock.now() - startedAt < RESTORED_DIRECTORY_DELAY_MS) {
      return { kind: "unsettled" };
    }
    return { kind: "replaced", assignment: replaceAssignment(record, { service, ranges }, timeline) };
  }

  /** Earlier versions could store two owners of keys. */
  function isOverlapping({ ranges }: RangeAssignment): boolean {
    if (!hasOverlaps(ranges)) {
      return false;
    }
    logger.log(Event.AssignmentOverlapping, { service });
    return true;
  }

  async function write(next: RangeAssignment): Promise<Version> {
    const base = stored;
    try {
      const result = await updateObject(
        objects,
        path,
        CallPriority.Ownership,
        (current) => {
          assertCoordinator();
          if (current?.version !== base?.version) {
            throw new Error("the assignment was written by another coordinator after it was read");
          }
          return next;
        },
        base,
      );
      const version = result.kind === "updated" ? result.version : 0;
      stored = { version, value: next };
      setAssignment(next);
      return version;
    } catch (error) {
      isInDoubt = true;
      throw error;
    }
  }

  /** A read or a conflict may take longer than the lease lasts; what a successor has stored must not be written back. */
  function assertCoordinator(): void {
    if (!isCoordinator()) {
      throw new Error("the coordinator lease was lost before the assignment was written");
    }
  }

  /** Replaces the assignment with a stored one; tokens issued since it was written are not reissued. */
  function setAssignment(next: RangeAssignment): void {
    assignment = { ...next, nextToken: Math.max(next.nextToken, assignment.nextToken) };
  }
}
