/** Plans leaseholders for the servers of one data centre. */
import type { Configuration } from "../configuration";
import type { Member, Membership } from "../membership";
import type { SnapshotStore } from "../snapshots";
import { type DaemonName, type DataCentreName, formatRun } from "../types";
import { setLeaseholder } from "./assignment";
import { listEligibleMembers } from "./election";
import { rankCandidates } from "./slots";
import type { StopFindings } from "./stopFindings";
import type { AssignedServer, Assignment, Leaseholder } from "./types";

/** Views that the plan reads. */
export interface LeaseholderPlanOptions {
  readonly membership: Membership;
  readonly snapshots: SnapshotStore;
}

/**
 * Gives a leaseholder to each server of a data centre that has none, or whose leaseholder is gone.
 *
 * @param options - Views to read.
 * @param assignment - The assignment.
 * @param configuration - The configuration in force.
 * @param dataCentre - The data centre.
 * @param stopped - What is proved of daemons that are gone.
 * @returns The assignment, unchanged when nothing differs.
 */
export function planLeaseholders(
  options: LeaseholderPlanOptions,
  assignment: Assignment,
  configuration: Configuration,
  dataCentre: DataCentreName,
  stopped: StopFindings,
): Assignment {
  const members = listEligibleMembers(options.membership, dataCentre);
  const counts = new Map(countLeases(options.snapshots));
  let next = assignment;
  for (const server of assignment.servers.filter((entry) => entry.dataCentre === dataCentre)) {
    const member = needsLeaseholder(options.membership, server, configuration, stopped)
      ? chooseMemberWithFewestLeases(server, members, counts)
      : undefined;
    if (member !== undefined) {
      counts.set(member.daemon, (counts.get(member.daemon) ?? 0) + 1);
      next = setLeaseholder(next, server.name, toLeaseholder(member));
    }
  }
  return next;
}

/** A fenced server shuts out the old generation by itself; for others the old holder must have stopped. */
function needsLeaseholder(
  membership: Membership,
  server: AssignedServer,
  configuration: Configuration,
  stopped: StopFindings,
): boolean {
  const holder = server.leaseholder;
  if (holder === null) {
    return true;
  }
  if (membership.isPresent(holder)) {
    return false;
  }
  return configuration.servers[server.name]?.fenced === true || stopped.runs.has(formatRun(holder));
}

/**
 * Counts the leases of each daemon over all services.
 *
 * @param snapshots - Snapshots to read.
 * @returns Leases by daemon; a daemon without any is missing.
 */
export function countLeases(snapshots: SnapshotStore): ReadonlyMap<DaemonName, number> {
  const counts = new Map<DaemonName, number>();
  for (const { value } of snapshots.getAssignments()) {
    for (const { leaseholder } of value.servers) {
      if (leaseholder !== null) {
        counts.set(leaseholder.daemon, (counts.get(leaseholder.daemon) ?? 0) + 1);
      }
    }
  }
  return counts;
}

/**
 * Chooses the member with the fewest leases; the rendezvous score breaks ties.
 *
 * @param server - The server that needs a leaseholder.
 * @param members - Members that may hold it.
 * @param counts - Leases of each member.
 * @returns The member, or undefined without members.
 */
export function chooseMemberWithFewestLeases(
  server: AssignedServer,
  members: readonly Member[],
  counts: ReadonlyMap<DaemonName, number>,
): Member | undefined {
  const minCount = Math.min(...members.map((member) => counts.get(member.daemon) ?? 0));
  const tied = members.filter((member) => (counts.get(member.daemon) ?? 0) === minCount);
  const [best] = rankCandidates(
    server.name,
    tied.map((member) => member.daemon),
  );
  return tied.find((member) => member.daemon === best);
}

/**
 * Gives the lease record of a member.
 *
 * @param member - The member.
 * @returns The record.
 */
export function toLeaseholder(member: Member): Leaseholder {
  return { daemon: member.daemon, incarnation: member.incarnation, address: member.address };
}
