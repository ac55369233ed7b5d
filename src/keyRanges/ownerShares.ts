/**
 * Busy keys that are still together on one server: every daemon sends to it, none sees how many requests the others
 * send, and the server refuses or resets most of them, also those for its other keys and the calls that would move
 * its keys away. The coordinator knows the requests for all keys, so it tells the daemons which share of the requests
 * an overloaded owner can take; they refuse the rest at once.
 */
import type { StatedOwnerShare } from "../discovery";
import type { Clock, ServerName } from "../types";
import type { LoadFunction } from "./rangePlanner";
import type { OwnedRange } from "./types";

/** An owner counts as overloaded above this multiple of its capacity, which is estimated from few answers. */
const OVERLOAD_RATIO = 1.5;
/** Requests that an overloaded owner gets, as a multiple of its capacity: its queue keeps it busy. */
const ADMITTED_RATIO = 1.2;
/** Shares are dropped when they have not been renewed for this time. */
const VALIDITY_MS = 1500;
/** Maximum shares in one message, which bounds its size to that of a network packet. */
const MAX_SHARES = 20;

/**
 * Computes the shares of overloaded owners.
 *
 * @param ranges - Owned ranges of one service.
 * @param getRate - Returns the requests per second for a range.
 * @param getCapacity - Returns the requests per second that a server can take; undefined when it is not known.
 * @returns The lowest shares, at most as many as fit into one message; owners that are not overloaded have none.
 */
export function computeOwnerShares(
  ranges: readonly OwnedRange[],
  getRate: LoadFunction,
  getCapacity: (server: ServerName) => number | undefined,
): readonly StatedOwnerShare[] {
  const rates = new Map<ServerName, number>();
  for (const range of ranges) {
    rates.set(range.server, (rates.get(range.server) ?? 0) + getRate(range));
  }
  return [...rates]
    .flatMap(([server, rate]) => {
      const capacity = getCapacity(server);
      const isOverloaded = capacity !== undefined && rate > OVERLOAD_RATIO * capacity;
      return isOverloaded ? [{ server, share: (ADMITTED_RATIO * capacity) / rate }] : [];
    })
    .sort((left, right) => left.share - right.share)
    .slice(0, MAX_SHARES);
}

/** The shares that hold now. */
export interface OwnerShares {
  /** Returns the shares, for other daemons. */
  share(): readonly StatedOwnerShare[];
  /** Replaces all shares. */
  replace(shares: readonly StatedOwnerShare[]): void;
  /** Returns the share of the requests that may be sent to an owner: 1 unless it is overloaded. */
  find(server: ServerName): number;
}

/**
 * Creates an empty table of shares.
 *
 * @param clock - Clock that their age is measured by.
 * @returns The table.
 */
export function createOwnerShares(clock: Clock): OwnerShares {
  let shares: readonly StatedOwnerShare[] = [];
  let replacedAt = Number.NEGATIVE_INFINITY;
  const getValid = () => (clock.now() - replacedAt < VALIDITY_MS ? shares : []);

  return {
    share: getValid,
    replace: (next) => {
      shares = next;
      replacedAt = clock.now();
    },
    find: (server) => getValid().find((each) => each.server === server)?.share ?? 1,
  };
}
