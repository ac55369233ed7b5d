/** Types of key ownership by ranges: keys are numbers, and each range of them has at most one owner. */
import type { DiscoveredServer } from "../discovery";
import type { Timeline } from "../objectStore";
import type { ServerName, ServiceName } from "../types";

/** Number of keys of a service; keys run from 0 to this, exclusive. */
export const KEY_COUNT = 65_536;

/** A range of keys from the first to the last, both inclusive. */
export interface KeyRange {
  readonly from: number;
  readonly to: number;
}

/** The range of all keys. */
export const ALL_KEYS: KeyRange = { from: 0, to: KEY_COUNT - 1 };

/**
 * Returns whether two ranges share a key.
 *
 * @param left - One range.
 * @param right - The other range.
 * @returns True if at least one key is in both ranges.
 */
export function overlaps(left: KeyRange, right: KeyRange): boolean {
  return left.from <= right.to && left.to >= right.from;
}

/**
 * Returns whether a range contains all keys of another one.
 *
 * @param outer - The containing range.
 * @param inner - The contained range.
 * @returns True if every key of `inner` is in `outer`.
 */
export function contains(outer: KeyRange, inner: KeyRange): boolean {
  return outer.from <= inner.from && inner.to <= outer.to;
}

/** A range and the process of the backend server that owns it. */
export interface OwnedRange extends KeyRange {
  readonly server: ServerName;
  /** Start time of the owner's process; another process of the same name does not own the range. */
  readonly bornAt: number;
  /** Fencing token: higher than that of every earlier owner of any of these keys. */
  readonly token: number;
}

/** Ownership of a service's keys. Keys in no range have no owner. */
export interface RangeAssignment {
  readonly service: ServiceName;
  /**
   * Timeline of the object store on which the assignment was written. Once the store has a later one, the
   * assignment is a copy that may lack changes.
   */
  readonly timeline: Timeline;
  /**
   * Whether other servers may still hold keys that it gives an owner: it was written after a restore, and they have
   * not all released them yet.
   */
  readonly isProvisional: boolean;
  /** Lowest fencing token that was never issued. */
  readonly nextToken: number;
  /** In order of keys, without overlaps. */
  readonly ranges: readonly OwnedRange[];
}

/** A grant of keys to a backend server. */
export interface KeyGrant extends KeyRange {
  readonly token: number;
  /** How long the server may run work on these keys, from the arrival of the call, in milliseconds. */
  readonly durationMs: number;
  /** Data that the last owner left for the next one; null if there is none. */
  readonly handover: string | null;
}

/** Result of a grant call. */
export type GrantResult =
  | { readonly kind: "granted" }
  /** The server has seen a higher fencing token on some of these keys. */
  | { readonly kind: "fenced" }
  /** Another server has the address now, so the process of the called one has ended. */
  | { readonly kind: "misdirected" }
  /** No connection could be made, or the call was no longer permitted, so the grant will never take effect. */
  | { readonly kind: "notSent"; readonly detail: string }
  /** No answer came; the grant may have taken effect or may still do so. */
  | { readonly kind: "unanswered"; readonly detail: string };

/** Result of a release call. */
export type ReleaseResult =
  /** No work on these keys runs on the server any more. */
  | { readonly kind: "released"; readonly handover: string | null }
  /** Another server has the address now, so the process of the called one has ended. */
  | { readonly kind: "misdirected" }
  | { readonly kind: "unanswered"; readonly detail: string };

/** Time after which a grant call ends in any case. Nothing of it is sent afterwards. */
export const MAX_GRANT_CALL_MS = 700;

/** Control calls to backend servers that enforce key ownership. They never throw; failures are results. */
export interface KeyControl {
  /**
   * Grants keys or renews a grant, within {@link MAX_GRANT_CALL_MS}. The call is sent only if `isPermitted` returns
   * true once there is a connection, which takes a time in which the right to grant keys may be lost.
   */
  grant(server: DiscoveredServer, grant: KeyGrant, isPermitted: () => boolean): Promise<GrantResult>;
  /** Reclaims keys; the server answers once the work that ran on them has ended. */
  release(server: DiscoveredServer, range: KeyRange, token: number): Promise<ReleaseResult>;
}
