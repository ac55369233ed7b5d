/** Divides the capacity of a service, or of one owner of keys, among requests of different priorities. */

/** Work of the requests of one priority; work is relative to the mean request of the service. */
export interface PriorityDemand {
  /** 0 is the highest. */
  readonly priority: number;
  /** Work of all requests that callers have sent, per second. */
  readonly offered: number;
  /** Work of those that a share has refused, per second. */
  readonly withheld: number;
  /** Work of the others that found no capacity, per second. */
  readonly refused: number;
}

/**
 * Lower bound of a share, relative to the share of all requests that can be served. Less than 0.25 counts as
 * starvation; the difference covers the requests that servers refuse in addition.
 */
export const MIN_RELATIVE_SHARE = 0.3;

/**
 * Part of the offered work that must have another priority than most of it. Less cannot be what makes a service short,
 * and most of it would be refused for the rest: requests that only test which configuration is in force, for example.
 */
const MIN_COMPETING_SHARE = 0.02;

/**
 * Returns whether requests of different priorities compete for a service.
 *
 * @param demands - Offered work of each priority.
 * @returns Whether more than a trace of the work has another priority than most of it.
 */
export function areCompeting(demands: readonly Pick<PriorityDemand, "offered">[]): boolean {
  const offered = demands.reduce((total, demand) => total + demand.offered, 0);
  const most = Math.max(0, ...demands.map((demand) => demand.offered));
  return offered - most > MIN_COMPETING_SHARE * offered;
}

/**
 * Computes the share of the requests of each priority that is admitted: the lower bound for each, then what is left
 * for the most urgent first.
 *
 * @param demands - Offered work of each priority, in any order.
 * @param capacity - Work per second that can be served.
 * @returns Shares from 0 to 1 by priority.
 */
export function computePriorityShares(
  demands: readonly Pick<PriorityDemand, "priority" | "offered">[],
  capacity: number,
): ReadonlyMap<number, number> {
  const offered = demands.reduce((total, demand) => total + demand.offered, 0);
  const floor = computeFloor(offered, capacity);
  let left = Math.max(0, capacity - floor * offered);
  const shares = new Map<number, number>();
  for (const demand of [...demands].sort((one, other) => one.priority - other.priority)) {
    const extra = Math.min(left, demand.offered * (1 - floor));
    left -= extra;
    shares.set(demand.priority, demand.offered > 0 ? Math.min(1, floor + extra / demand.offered) : 1);
  }
  return shares;
}

/**
 * Returns the lower bound of the shares.
 *
 * @param offered - Offered work of all priorities, per second.
 * @param capacity - Work per second that can be served.
 * @returns The bound, from 0 to {@link MIN_RELATIVE_SHARE}.
 */
export function computeFloor(offered: number, capacity: number): number {
  return offered > 0 ? MIN_RELATIVE_SHARE * Math.min(1, Math.max(0, capacity) / offered) : MIN_RELATIVE_SHARE;
}
