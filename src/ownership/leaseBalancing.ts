/** Evens out the number of leases between the daemons of a data centre, one lease at a time. */
import type { Membership } from "../membership";
import type { SnapshotStore } from "../snapshots";
import type { LeaseManager } from "./leaseManager";
import { chooseMember, countLeases, toLeaseholder } from "./leaseholderPlan";
import type { AssignedServer, Leaseholder } from "./types";

/** A daemon gives a lease away when it has this many more than the one with the fewest. */
const MINIMUM_DIFFERENCE = 2;

/** What lease balancing reads. */
export interface LeaseBalancingOptions {
  readonly leases: LeaseManager;
  readonly membership: Membership;
  readonly snapshots: SnapshotStore;
}

/**
 * Chooses a successor for a server: a present daemon of its data centre that does not shut down, with the
 * fewest leases.
 *
 * @param options - Views to read.
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
  const member = chooseMember(server, eligible, countLeases(options.snapshots));
  return member === undefined ? undefined : toLeaseholder(member);
}

/**
 * Hands one lease over when this daemon holds clearly more than another one.
 *
 * @param options - Views to read.
 * @throws PlatformUnavailableError when the platform gives no answer.
 */
export async function balanceLeases(options: LeaseBalancingOptions): Promise<void> {
  const { leases, membership } = options;
  const counts = countLeases(options.snapshots);
  const own = leases.all();
  const others = membership
    .present()
    .filter((member) => member.dataCentre === membership.self().dataCentre && !member.leaving)
    .map((member) => counts.get(member.daemon) ?? 0);
  if (own.length - Math.min(...others) < MINIMUM_DIFFERENCE) {
    return;
  }
  const lease = own[own.length - 1];
  if (lease !== undefined) {
    await leases.handOver([lease.server], (server) => chooseSuccessor(options, server));
  }
}
