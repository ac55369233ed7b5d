/** Types of snapshots: versioned copies of the objects that every daemon keeps. */
import type { Version } from "../types";

/** An object as it passes between daemons and from the platform. */
export interface RawSnapshot {
  readonly path: string;
  readonly version: Version;
  readonly value: unknown;
}

/** A checked object with its version. */
export interface Snapshot<Value> {
  readonly version: Version;
  readonly value: Value;
}

/** Version of each known object, by path. */
export type SnapshotVersions = Readonly<Record<string, Version>>;
