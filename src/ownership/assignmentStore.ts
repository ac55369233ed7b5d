/** Updates assignments in the object store and keeps the local snapshots up to date. */
import { getAssignmentPath, parseAssignment, type Assignment } from "../assignments";
import { CallPriority, type ObjectStore, updateObject } from "../objectStore";
import type { SnapshotStore } from "../snapshots";
import type { ServiceName } from "../types";

/** Conditional updates of assignments. */
export interface AssignmentStore {
  /**
   * Updates an assignment. `change` gets the local snapshot, or the stored assignment if there is none, and
   * again the newest assignment after each version conflict. If it returns undefined, nothing is written.
   * Returns the local snapshot afterwards.
   *
   * Throws PlatformUnavailableError when the update may or may not have taken effect.
   */
  update(
    service: ServiceName,
    change: (current: Assignment | undefined) => Assignment | undefined,
  ): Promise<Assignment | undefined>;
  /**
   * Makes sure that no in-doubt update, whose answer was lost, can still take effect, and reads the result.
   * It rewrites the newest assignment unchanged: the new version makes a delayed conditional write fail.
   * Throws PlatformUnavailableError when the platform gives no answer.
   */
  resolveInDoubtUpdates(service: ServiceName): Promise<void>;
  /**
   * Reads the newest assignment into the local snapshots.
   * Throws PlatformUnavailableError when the platform gives no answer.
   */
  refresh(service: ServiceName): Promise<void>;
}

/**
 * Creates an assignment store.
 *
 * @param objects - The object store that keeps the assignments.
 * @param snapshots - Local snapshots; they are updated with each assignment that is read or written.
 * @returns The assignment store.
 */
export function createAssignmentStore(objects: ObjectStore, snapshots: SnapshotStore): AssignmentStore {
  return {
    update,
    resolveInDoubtUpdates: async (service) => {
      await refresh(service);
      await update(service, (current) => current);
    },
    refresh,
  };

  async function update(
    service: ServiceName,
    change: (current: Assignment | undefined) => Assignment | undefined,
  ): Promise<Assignment | undefined> {
    const path = getAssignmentPath(service);
    const cached = snapshots.findAssignment(service);
    if (cached !== undefined && change(cached.value) === undefined) {
      return cached.value;
    }
    const result = await updateObject(
      objects,
      path,
      CallPriority.Ownership,
      (current) => change(current === undefined ? undefined : parseAssignment(current.value)),
      cached,
    );
    const newest = result.kind === "updated" ? result : result.current;
    if (newest !== undefined) {
      snapshots.apply({ path, version: newest.version, value: newest.value });
    }
    return snapshots.findAssignment(service)?.value;
  }

  async function refresh(service: ServiceName): Promise<void> {
    const path = getAssignmentPath(service);
    const result = await updateObject(objects, path, CallPriority.Ownership, () => undefined);
    if (result.kind === "unchanged" && result.current !== undefined) {
      snapshots.apply({ path, version: result.current.version, value: result.current.value });
    }
  }
}
