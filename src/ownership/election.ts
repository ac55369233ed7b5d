/** Elects daemons for tasks. Daemons need not agree on the result: two elected at once do no harm. */
import type { Member, Membership } from "../membership";
import type { DataCentreName } from "../types";
import { rankCandidates } from "./slots";

/**
 * Lists the daemons that may be elected. Of those that are not shutting down, these are the ones that reach
 * the platform or, when none does, all of them, since calls to the platform can be relayed by other daemons.
 *
 * @param membership - Which daemons are present.
 * @param dataCentre - Restricts the list to daemons of this data centre.
 * @returns The daemons.
 */
export function listEligibleMembers(membership: Membership, dataCentre?: DataCentreName): readonly Member[] {
  const remaining = membership
    .present()
    .filter((member) => !member.leaving)
    .filter((member) => dataCentre === undefined || member.dataCentre === dataCentre);
  const withPlatformAccess = remaining.filter((member) => member.platformReachable);
  return withPlatformAccess.length > 0 ? withPlatformAccess : remaining;
}

/**
 * Returns whether this daemon is elected for a task.
 *
 * @param membership - Which daemons are present.
 * @param task - Name of the task.
 * @param eligible - The daemons that may be elected.
 * @returns True when this daemon ranks first.
 */
export function isElected(membership: Membership, task: string, eligible: readonly Member[]): boolean {
  const names = eligible.map((member) => member.daemon);
  return rankCandidates(task, names)[0] === membership.self().daemon;
}
