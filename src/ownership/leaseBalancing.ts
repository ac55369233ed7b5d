/** Evens out the number of leases between the daemons of a data centre, one lease at a time. */
import type { AssignedServer, Leaseholder } from "../assignments";
import type { Membership } from "../membership";
import type { SnapshotStore } from "../snapshots";
import type { LeaseManager } from "./leaseManager";
import { chooseMemberWithFewestLeases, countLeases, toLeaseholder } from "./leaseholderPlan";
import { rankCandidates } from "./slots";

/** A daemon hands over a lease when it holds at least this many more than the daemon with the fewest. */
const MIN_LEASE_DIFFERENCE = 2;

/** Options for {@link balanceLeases} and {@link chooseSuccessor}. */
export interface LeaseBalancingOptions {
  readonly leases: LeaseManager;
  readonly membership: Membership;
  readonly snapshots: SnapshotStore;
}

/**
 * Chooses the next leaseholder of a server: the daemon with the fewest leases among the other present daemons
 * of its data centre that are not shutting down.
 *
 * @param options - Membership and snapshots to read.
 * @param server - The server.
 * @returns The successor, or undefined when there is none.
 */
export function chooseSuccessor(
  options: LeaseBalancingOptions,
  server: AssignedServer,
): Leaseholder | undefined {
  const { membership } = options;
  const eligible = membership
    .present()
    .filter((member) => member.dataCentre === server.dataCentre && !member.leaving)
    .filter((member) => member.daemon !== membership.self().daemon);
  const member = chooseMemberWithFewestLeases(server, eligible, countLeases(options.snapshots));
  return member === undefined ? undefined : toLeaseholder(member);
}

/**
 * Hands over one lease when this daemon holds the most in its data centre, and at least MIN_LEASE_DIFFERENCE
 * more than another one. Of several daemons with the most leases only one is elected to do so: otherwise they
 * would all choose the same receiver.
 *
 * @param options - Leases, membership and snapshots.
 * @throws PlatformUnavailableError when the platform gives no answer.
 */
export async function balanceLeases(options: LeaseBalancingOptions): Promise<void> {
  const { leases, membership } = options;
  const counts = countLeases(options.snapshots);
  const leaseCounts = membership
    .present()
    .filter((member) => member.dataCentre === membership.self().dataCentre && !member.leaving)
    .map((member) => ({ daemon: member.daemon, count: counts.get(member.daemon) ?? 0 }));
  const maxCount = Math.max(...leaseCounts.map((holder) => holder.count));
  const minCount = Math.min(...leaseCounts.map((holder) => holder.count));
  const donors = leaseCounts.filter((holder) => holder.count === maxCount).map((holder) => holder.daemon);
  if (
    maxCount - minCount < MIN_LEASE_DIFFERENCE ||
    rankCandidates("giver", donors)[0] !== membership.self().daemon
  ) {
    return;
  }
  const lease = leases.all().at(-1);
  if (lease !== undefined) {
    await leases.handOver([lease.server], (server) => chooseSuccessor(options, server));
  }
}
