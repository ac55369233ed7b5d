/** Elects daemons for tasks. Elections need no agreement: two winners at once do no harm. */
import type { Member, Membership } from "../membership";
import type { DataCentreName } from "../types";
import { rankCandidates } from "./slots";

/**
 * Lists the daemons that may be elected: those that reach the platform; where none does, all of them, since
 * calls to the platform are passed on.
 *
 * @param membership - Which daemons are present.
 * @param dataCentre - Only daemons of this data centre.
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
 * Tells whether this daemon is elected for a task.
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
