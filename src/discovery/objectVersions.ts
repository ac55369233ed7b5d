/** Versions of the known objects under one prefix, and their digest. */
import murmurhash from "murmurhash";
import type { StoredObject } from "../objectStore";
import type { Version } from "../types";

/** The versions of the known objects. */
export interface ObjectVersions {
  /** Replaces all versions. Returns the objects whose version was not known, and whether anything has changed. */
  replaceAll(objects: readonly StoredObject[]): {
    readonly added: readonly StoredObject[];
    readonly hasChanged: boolean;
  };
  /** Applies changed and removed objects. */
  applyChanges(objects: readonly StoredObject[], removed: readonly string[]): void;
  /** Computes a digest; equal digests almost certainly mean equal versions. */
  computeDigest(): number;
}

/**
 * Creates an empty record.
 *
 * @returns The record.
 */
export function createObjectVersions(): ObjectVersions {
  const versions = new Map<string, Version>();
  /** The coordinator sends its digest several hundred times a second, far more often than it changes. */
  let cachedDigest: number | undefined;

  return {
    replaceAll: (objects) => {
      const added = objects.filter((object) => versions.get(object.path) !== object.version);
      const hasChanged = added.length > 0 || objects.length !== versions.size;
      versions.clear();
      record(objects);
      return { added, hasChanged };
    },
    applyChanges: (objects, removed) => {
      record(objects);
      removed.forEach((path) => versions.delete(path));
    },
    computeDigest: () => {
      cachedDigest ??= computeDigest();
      return cachedDigest;
    },
  };

  function record(objects: readonly StoredObject[]): void {
    cachedDigest = undefined;
    objects.forEach(({ path, version }) => versions.set(path, version));
  }

  function computeDigest(): number {
    let digest = 0;
    for (const [path, version] of versions) {
      digest ^= murmurhash.v3(`${path}@${version}`);
    }
    return digest >>> 0;
  }
}
