/** Interfaces of a prefix watcher. */
import type { ObjectStore, StoredObject } from "../objectStore";
import type { Logger } from "../observability";
import type { Clock, Version } from "../types";
import type { PrefixFollower } from "./changeFeed";

/** Receives the objects of a prefix and their changes. */
export interface PrefixListener {
  /** Called with the complete list; objects that are not in it no longer exist. */
  readonly onList: (objects: readonly StoredObject[]) => void;
  /** Called with the changed objects and the paths of the removed ones. */
  readonly onChange: (objects: readonly StoredObject[], removed: readonly string[]) => void;
  /** Called when the store answers again after failed calls, before its answer is passed on. */
  readonly onStoreRecovered?: () => void;
}

/** Options for {@link createPrefixWatcher}. */
export interface PrefixWatcherOptions extends PrefixListener {
  readonly objects: ObjectStore;
  readonly prefix: string;
  /** Pause after each change, in milliseconds, so that changes in quick succession arrive in one answer. */
  readonly pauseMs: number;
  /** Returns whether digests are compared with the coordinator's, so that cheaper, stale watches suffice. */
  readonly isFreshnessChecked: () => boolean;
  /** Returns whether the others' digests are compared with this daemon's. */
  readonly isReference: () => boolean;
  /** Maximum wait of a watch while this daemon is the reference, in milliseconds; a default unless set. */
  readonly referenceWaitMs?: number | undefined;
  /** Distribution of the changes through the coordinator; without it, the store is always watched. */
  readonly follower?: PrefixFollower;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly random: () => number;
}

/** Watches one prefix. */
export interface PrefixWatcher {
  readonly prefix: string;
  /**
   * Returns the local time since which the state is known: when the latest read of the newest state began, or when
   * the state was last confirmed. Negative infinity while only stale answers were read.
   */
  getCurrentAt(): number;
  /** Returns whether the latest call was answered, or may still be answered in time. */
  isAnswered(): boolean;
  /** Returns the version of the store up to which the changes are known; 0 when that is not known. */
  getVersion(): Version;
  /** Records that the state equals the newest one, as another daemon knows it. */
  confirm(): void;
  /** Computes a digest of the known versions; equal digests almost certainly mean equal versions. */
  computeDigest(): number;
  /** Cancels a pending watch, whose connection may be dead without an error, and polls at once. */
  refresh(): void;
  /** Lists and watches until aborted. */
  run(signal: AbortSignal): Promise<void>;
}
