/** Ports to the platform: the object API and the VM list. */
import type { Address, DataCentreName, Version } from "../types";

/** An object as the object API holds it. */
export interface StoredObject {
  readonly path: string;
  readonly version: Version;
  readonly value: unknown;
}

/** Answer to a conditional update. */
export type WriteResult =
  | { readonly kind: "written"; readonly version: Version }
  | { readonly kind: "conflict"; readonly current: StoredObject | undefined };

/** Objects as of a version. */
export interface ObjectChanges {
  readonly objects: readonly StoredObject[];
  /** Paths that no longer exist; only a watch reports them. */
  readonly removed?: readonly string[];
  /** Highest version of the object API at the time of the answer. */
  readonly version: Version;
}

/** Importance of a platform call when the budget is short; a lower number goes first. */
export const CallPriority = { Ownership: 0, Configuration: 1, Status: 2 } as const;
export type CallPriority = (typeof CallPriority)[keyof typeof CallPriority];

/** How new an answer must be. Stale answers are cheaper and may be seconds old. */
export const Freshness = { Newest: "newest", Stale: "stale" } as const;
export type Freshness = (typeof Freshness)[keyof typeof Freshness];

/**
 * The object API. Every method throws PlatformUnavailableError when no answer arrives; a write
 * without an answer may have taken effect.
 */
export interface ObjectStore {
  /** Reads one object; undefined when there is none. */
  read(path: string, priority: CallPriority, freshness?: Freshness): Promise<StoredObject | undefined>;
  /** Writes when the object's version is `base`; 0 stands for an absent object. */
  write(path: string, value: unknown, base: Version, priority: CallPriority): Promise<WriteResult>;
  /** Lists the objects whose path starts with `prefix`. */
  list(prefix: string, priority: CallPriority, freshness?: Freshness): Promise<ObjectChanges>;
  /**
   * Waits up to `waitMs` for changes after `since` under `prefix`. Throws HistoryGoneError when the
   * changes since then are no longer known. A stale watch may miss changes of the last seconds; a later one
   * reports them.
   */
  watch(
    prefix: string,
    since: Version,
    waitMs: number,
    signal: AbortSignal,
    freshness?: Freshness,
  ): Promise<ObjectChanges>;
}

/** One VM of the platform's list. */
export interface VmRecord {
  readonly address: Address;
  readonly dataCentre: DataCentreName;
  readonly state: "live" | "leaving";
}

/** The platform's list of VMs. It lags behind what happens. */
export interface VmList {
  /** Reads the list. */
  list(): Promise<readonly VmRecord[]>;
}

/**
 * Gives the name of an object, which is the part of its path after its kind.
 *
 * @param path - Path of the object.
 * @returns The name.
 */
export function getObjectName(path: string): string {
  return path.slice(path.indexOf("/") + 1);
}
