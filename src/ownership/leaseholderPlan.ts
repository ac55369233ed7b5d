/** Plans leaseholders for the servers of one data centre. */
import { setLeaseholder, type AssignedServer, type Assignment, type Leaseholder } from "../assignments";
import type { Configuration } from "../configuration";
import type { Member, Membership } from "../membership";
import type { SnapshotStore } from "../snapshots";
import { type DaemonName, type DataCentreName, formatRun } from "../types";
import { listEligibleMembers } from "./election";
import { rankCandidates } from "./slots";
import type { StopFindings } from "./stopFindings";

/** Options for {@link planLeaseholders}. */
export interface LeaseholderPlanOptions {
  readonly membership: Membership;
  readonly snapshots: SnapshotStore;
}

/**
 * Assigns a leaseholder to each server of a data centre that has none, or whose leaseholder is absent and may
 * be replaced.
 *
 * @param options - Membership and snapshots to read.
 * @param assignment - The assignment.
 * @param configuration - The configuration in force.
 * @param dataCentre - The data centre to plan for.
 * @param stopped - Daemon runs that are proved stopped.
 * @returns The changed assignment, or the same object when nothing differs.
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

/**
 * Returns whether a server needs a new leaseholder. A fenced server refuses the old generation itself; at an
 * unfenced one, an absent leaseholder may still send, so it is replaced only after it is proved stopped.
 */
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
 * @returns Number of leases by daemon; daemons without leases have no entry.
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
 * @param counts - Number of leases of each member.
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
 * Returns a member as it is recorded as leaseholder in an assignment.
 *
 * @param member - The member.
 * @returns The leaseholder record.
 */
export function toLeaseholder(member: Member): Leaseholder {
  return { daemon: member.daemon, incarnation: member.incarnation, address: member.address };
}
