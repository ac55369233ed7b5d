/** Interfaces to the platform: the object store and the VM list. */
import type { Address, DataCentreName, Version } from "../types";

/** An object as the object store holds it. */
export interface StoredObject {
  readonly path: string;
  readonly version: Version;
  readonly value: unknown;
}

/** Result of a conditional write. */
export type WriteResult =
  | { readonly kind: "written"; readonly version: Version }
  | { readonly kind: "conflict"; readonly current: StoredObject | undefined };

/** Transfer of an answer, without the wait for it. */
export interface Transfer {
  readonly bytes: number;
  /** Time from the head of the answer to its end, in milliseconds. */
  readonly durationMs: number;
}

/** Listed or changed objects, as of a version. */
export interface ObjectChanges {
  readonly objects: readonly StoredObject[];
  /** Paths of removed objects; only a watch reports them. */
  readonly removed?: readonly string[];
  /** Highest version in the object store at the time of the answer. */
  readonly version: Version;
  /** Undefined when the adapter does not measure it. */
  readonly transfer?: Transfer;
}

/** Priority of a platform call that waits for the rate limiter; a lower number goes first. */
export const CallPriority = { Ownership: 0, Configuration: 1, Status: 2 } as const;
export type CallPriority = (typeof CallPriority)[keyof typeof CallPriority];

/** How recent an answer must be. Stale answers are cheaper and may be seconds old. */
export const Freshness = { Newest: "newest", Stale: "stale" } as const;
export type Freshness = (typeof Freshness)[keyof typeof Freshness];

/** Options of a watch. */
export interface WatchOptions {
  /** Maximum wait for a change in milliseconds; with 0 the answer comes at once. */
  readonly waitMs: number;
  /** Ends the wait when aborted, but not the transfer of an answer that has started. */
  readonly signal: AbortSignal;
  /** {@link Freshness.Newest} unless set. */
  readonly freshness?: Freshness;
  /** Maximum size of the answer in bytes, where the adapter knows it; without it the adapter's own limit holds. */
  readonly maxBytes?: number;
}

/**
 * The object store. Every method throws PlatformUnavailableError when no answer arrives; a write without an
 * answer is in doubt: it may have taken effect.
 */
export interface ObjectStore {
  /** Reads one object; returns undefined when there is none. */
  read(path: string, priority: CallPriority, freshness?: Freshness): Promise<StoredObject | undefined>;
  /** Writes an object if its current version is `base`, where 0 stands for an absent object. */
  write(path: string, value: unknown, base: Version, priority: CallPriority): Promise<WriteResult>;
  /** Lists the objects whose path starts with `prefix`. */
  list(prefix: string, priority: CallPriority, freshness?: Freshness): Promise<ObjectChanges>;
  /**
   * Waits for changes after a version under `prefix`. Throws HistoryGoneError when the store no longer has the
   * changes since then, or when the answer exceeds `maxBytes`. A stale watch may miss changes of the last
   * seconds, which a later one reports.
   */
  watch(prefix: string, since: Version, options: WatchOptions): Promise<ObjectChanges>;
}

/** One entry of the platform's VM list. */
export interface VmRecord {
  readonly address: Address;
  readonly dataCentre: DataCentreName;
  readonly state: "live" | "leaving";
}

/** The platform's list of VMs, which lags behind their actual state. */
export interface VmList {
  /** Fetches the list. */
  list(): Promise<readonly VmRecord[]>;
}

/**
 * Returns the name of an object, which is the part of its path after its kind.
 *
 * @param path - Path of the object.
 * @returns The name.
 */
export function getObjectName(path: string): string {
  return path.slice(path.indexOf("/") + 1);
}
