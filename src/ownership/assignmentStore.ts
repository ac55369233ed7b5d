/** Changes assignments in the object API and keeps the local snapshot in step. */
import { CallPriority, type ObjectStore, updateObject } from "../objectStore";
import type { SnapshotStore } from "../snapshots";
import type { ServiceName } from "../types";
import { getAssignmentPath, parseAssignment } from "./assignment";
import type { Assignment } from "./types";

/** Conditional changes of assignments. */
export interface AssignmentStore {
  /**
   * Changes an assignment. `change` gets the newest one and may be called again after a conflict; undefined
   * leaves it as it is. Returns the assignment in force afterwards.
   *
   * Throws PlatformUnavailableError when the change may or may not have taken effect.
   */
  update(
    service: ServiceName,
    change: (current: Assignment | undefined) => Assignment | undefined,
  ): Promise<Assignment | undefined>;
  /**
   * Makes sure that no earlier change with a lost answer can still take effect, and reads the result.
   * Throws PlatformUnavailableError when the platform gives no answer.
   */
  resolveInDoubtUpdates(service: ServiceName): Promise<void>;
  /** Reads the newest assignment. Throws PlatformUnavailableError when the platform gives no answer. */
  refresh(service: ServiceName): Promise<void>;
}

/**
 * Creates the store.
 *
 * @param objects - The object API.
 * @param snapshots - Local snapshots; changes are offered to them.
 * @returns The store.
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
