/** Types of snapshots, the versioned copies of the platform's objects that every daemon keeps. */
import type { Version } from "../types";

/** An object as received from the platform or from another daemon. */
export interface RawSnapshot {
  readonly path: string;
  readonly version: Version;
  readonly value: unknown;
}

/** A validated object with its version. */
export interface Snapshot<Value> {
  readonly version: Version;
  readonly value: Value;
}

/** Version of each known object, by path. */
export type SnapshotVersions = Readonly<Record<string, Version>>;
