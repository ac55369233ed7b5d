/** Conditional update of one object that resolves lost answers before anything else is done. */
import { randomUUID } from "node:crypto";
import { z } from "zod";
import { PlatformUnavailableError } from "../errors";
import type { Version } from "../types";
import type { CallPriority, ObjectStore, StoredObject } from "./types";

const MAX_ATTEMPTS = 5;

/** Stored form: the value, and an identifier of the write that made it. */
const envelopeSchema = z.object({ writeId: z.string(), value: z.unknown() });

/** A decoded object. */
export interface VersionedValue {
  readonly version: Version;
  readonly value: unknown;
}

/** Result of a conditional update. */
export type UpdateResult =
  | { readonly kind: "updated"; readonly version: Version; readonly value: unknown }
  /** The change function saw nothing to change. */
  | { readonly kind: "unchanged"; readonly current: VersionedValue | undefined };

/**
 * Reads the value out of a stored object.
 *
 * @param stored - The stored object.
 * @returns Its version and value.
 * @throws ZodError when the object was not written by a conditional update.
 */
export function decodeStoredObject(stored: StoredObject): VersionedValue {
  return { version: stored.version, value: envelopeSchema.parse(stored.value).value };
}

/**
 * Changes one object. The change is computed from the newest value, written under the condition that
 * nobody wrote in between, and computed anew after a conflict. A write whose answer was lost is sent
 * again with the same identifier until the object API says whether it took effect.
 *
 * @param store - The object API.
 * @param path - Path of the object.
 * @param priority - Priority of the calls.
 * @param change - Computes the new value from the current one; undefined leaves the object as it is.
 * @param cached - A known value to start from, which saves the first read.
 * @returns What happened.
 * @throws PlatformUnavailableError when the platform gave no definite answer; the change may have taken effect.
 */
export async function updateObject(
  store: ObjectStore,
  path: string,
  priority: CallPriority,
  change: (current: VersionedValue | undefined) => unknown,
  cached?: VersionedValue,
): Promise<UpdateResult> {
  let current = cached ?? (await readValue(store, path, priority));
  for (;;) {
    const value = change(current);
    if (value === undefined) {
      return { kind: "unchanged", current };
    }
    const writeId = randomUUID();
    const base = current?.version ?? 0;
    const result = await writeUntilAnswered(store, path, { writeId, value }, base, priority);
    if (result.kind === "written") {
      return { kind: "updated", version: result.version, value };
    }
    if (result.current !== undefined && envelopeSchema.parse(result.current.value).writeId === writeId) {
      return { kind: "updated", version: result.current.version, value };
    }
    current = result.current === undefined ? undefined : decodeStoredObject(result.current);
  }
}

async function readValue(
  store: ObjectStore,
  path: string,
  priority: CallPriority,
): Promise<VersionedValue | undefined> {
  const stored = await store.read(path, priority);
  return stored === undefined ? undefined : decodeStoredObject(stored);
}

/** The same conditional write may be sent many times: it takes effect at most once. */
async function writeUntilAnswered(
  store: ObjectStore,
  path: string,
  value: unknown,
  base: Version,
  priority: CallPriority,
) {
  for (let attempt = 1; ; attempt += 1) {
    try {
      return await store.write(path, value, base, priority);
    } catch (error) {
      if (!(error instanceof PlatformUnavailableError) || attempt === MAX_ATTEMPTS) {
        throw error;
      }
    }
  }
}
