/** Conditional update of one object, which resolves an in-doubt write before it does anything else. */
import { randomUUID } from "node:crypto";
import { z } from "zod";
import { PlatformUnavailableError } from "../errors";
import type { Version } from "../types";
import type { CallPriority, ObjectStore, StoredObject } from "./types";

const MAX_ATTEMPTS = 5;

/** Stored form: the value and the identifier of the write that produced it. */
const envelopeSchema = z.object({ writeId: z.string(), value: z.unknown() });

/** The value of a decoded object, with its version. */
export interface VersionedValue {
  readonly version: Version;
  readonly value: unknown;
}

/** Result of a conditional update. */
export type UpdateResult =
  | { readonly kind: "updated"; readonly version: Version; readonly value: unknown }
  /** The change function returned undefined, so nothing was written. */
  | { readonly kind: "unchanged"; readonly current: VersionedValue | undefined };

/**
 * Decodes a stored object.
 *
 * @param stored - The stored object.
 * @returns Its version and value.
 * @throws ZodError when the object was not written by a conditional update.
 */
export function decodeStoredObject(stored: StoredObject): VersionedValue {
  return { version: stored.version, value: envelopeSchema.parse(stored.value).value };
}

/**
 * Updates one object. The new value is computed from the current one, written on the condition that nobody
 * wrote in between, and computed again after a conflict. An in-doubt write is sent again with the same
 * identifier, for a bounded number of attempts, to learn whether it took effect.
 *
 * @param store - The object store.
 * @param path - Path of the object.
 * @param priority - Priority of the calls.
 * @param change - Computes the new value from the current one; undefined leaves the object unchanged.
 * @param cached - A known value to start from, which saves the first read.
 * @returns The version and value written, or the current value when nothing was to change.
 * @throws PlatformUnavailableError when a read failed, or when a write is still in doubt: it may
 *   have taken effect.
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

/**
 * Sends a conditional write until it is answered, at most {@link MAX_ATTEMPTS} times; repeats are safe
 * because it takes effect at most once.
 */
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
