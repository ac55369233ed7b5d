/**
 * Changes of stored state as the coordinator passes them on to the other daemons, and the decisions about them: what
 * is sent, whether a change can be applied, and until when a daemon relies on the coordinator. Nothing of the network.
 */
import { z } from "zod";
import { type StoredObject, getTimeline } from "../objectStore";
import type { Version } from "../types";

/** Minimum number of daemons, as counted. With fewer, their own watches cost less than the faster ones of one daemon. */
export const MIN_DISTRIBUTION_SIZE = 24;
/** Minimum drain bound in milliseconds: a change is known everywhere at the latest after this time. */
export const MIN_DRAIN_MS = 2500;
/**
 * A daemon reads from the store by itself when its state has not been confirmed for this long. With the spread below
 * it leaves 650 ms of the bound of 2.5 s for the answer: 0.3 MB take 350 ms on a link of 7 Mbit/s, and decoding them
 * 150 ms on 0.2 core. Exceeds the age of a confirmation in use: two waits of the coordinator's watch and its pause
 * between them (0.95 s), and the time between two replies (0.4 s).
 */
export const MAX_UNCONFIRMED_MS = 1600;

/** A change of the objects under one prefix. */
export interface StateChange {
  /** First version whose state the change applies to; it applies to all later ones before `version`, too. */
  readonly base: Version;
  /** Version that the change leads to. */
  readonly version: Version;
  /** Null when only the version is announced, and the state has to be read. */
  readonly content: {
    readonly objects: readonly StoredObject[];
    readonly removed: readonly string[];
  } | null;
}

const storedObjectSchema = z
  .object({ path: z.string().min(1), version: z.int().positive(), value: z.unknown() })
  .transform(({ path, version, value }): StoredObject => ({ path, version, value }));

/** A {@link StateChange} in a datagram. */
export const changeMessageSchema = z
  .object({
    prefix: z.string().min(1),
    base: z.int().nonnegative(),
    version: z.int().positive(),
    content: z
      .object({ objects: z.array(storedObjectSchema), removed: z.array(z.string().min(1)) })
      .nullable(),
  })
  .refine(
    ({ prefix, content }) =>
      content === null ||
      [...content.objects.map(({ path }) => path), ...content.removed].every((path) =>
        path.startsWith(prefix),
      ),
    "a path is not under the prefix",
  )
  .refine(
    ({ version, content }) => content?.objects.every((object) => object.version <= version) ?? true,
    "an object is newer than the change",
  );
export type ChangeMessage = z.output<typeof changeMessageSchema>;

/** What a daemon does with a change that it has received. */
export const ChangeVerdict = { Apply: "apply", Read: "read", Ignore: "ignore" } as const;
export type ChangeVerdict = (typeof ChangeVerdict)[keyof typeof ChangeVerdict];

/**
 * Decides what to do with a received change.
 *
 * @param known - Version up to which this daemon knows the changes; undefined before its first list.
 * @param change - The change.
 * @returns Whether to apply the change, to read from the store, or to ignore the change.
 */
export function judgeChange(known: Version | undefined, change: StateChange): ChangeVerdict {
  if (known === undefined || change.version <= known) {
    return ChangeVerdict.Ignore;
  }
  const isOnTimeline = getTimeline(change.version) === getTimeline(known);
  const isFollowing = isOnTimeline && change.base <= known && change.content !== null;
  return isFollowing ? ChangeVerdict.Apply : ChangeVerdict.Read;
}

/** State of a prefix at the coordinator that a daemon's own state equals. */
export interface Confirmation {
  /** Local time at which the store had this state. */
  readonly at: number;
  /** Version of the coordinator's state. */
  readonly version: Version;
}

/** What a confirmation means for a daemon. */
export const ConfirmationVerdict = { Accept: "accept", Read: "read", Ignore: "ignore" } as const;
export type ConfirmationVerdict = (typeof ConfirmationVerdict)[keyof typeof ConfirmationVerdict];

/**
 * Decides whether equal digests confirm a daemon's state.
 *
 * @param known - Version up to which this daemon knows the changes; undefined before its first list.
 * @param confirmation - The coordinator's state.
 * @param now - Local time.
 * @returns Whether to accept the confirmation, to read a restored store, or to ignore the confirmation.
 */
export function judgeConfirmation(
  known: Version | undefined,
  confirmation: Confirmation,
  now: number,
): ConfirmationVerdict {
  // A reply to an earlier process at this address refers to another clock.
  if (known === undefined || confirmation.at > now) {
    return ConfirmationVerdict.Ignore;
  }
  const difference = getTimeline(confirmation.version) - getTimeline(known);
  // The digests of empty states are equal on all timelines.
  if (difference !== 0) {
    return difference > 0 ? ConfirmationVerdict.Read : ConfirmationVerdict.Ignore;
  }
  return ConfirmationVerdict.Accept;
}

/**
 * Computes the local time at which the store still had a state that a watch has reported.
 *
 * @param startedAt - Start of the watch.
 * @param waitMs - Maximum wait of the watch; the store answers earlier only if it has changes.
 * @param hasChanges - Whether the answer contains changes, so that it may have been created at any time since the start.
 * @param answeredAt - Time of the answer.
 * @returns The time.
 */
export function findWatchedAt(
  startedAt: number,
  waitMs: number,
  hasChanges: boolean,
  answeredAt: number,
): number {
  return !hasChanges && answeredAt >= startedAt + waitMs ? startedAt + waitMs : startedAt;
}
