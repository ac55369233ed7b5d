/** Selects the servers that may receive slots or new work. */
import { findServer, type Assignment } from "../assignments";
import type { Configuration, Server } from "../configuration";
import type { Membership } from "../membership";
import { RefusalReason, type ServerName } from "../types";
import type { Candidate } from "./placement";
import type { StatusView } from "./statusView";
import { ServerState } from "./types";

/** Finds the reason why a server must not receive new work; undefined when it may. */
export function findLeavingReason(
  configuration: Configuration,
  name: ServerName,
  state: ServerState,
): RefusalReason | undefined {
  const server = configuration.servers[name];
  if (server === undefined || server.state === "draining" || state === ServerState.Draining) {
    return RefusalReason.ServerLeaving;
  }
  if (configuration.data_centres[server.data_centre]?.state === "out") {
    return RefusalReason.DataCentreOut;
  }
  return undefined;
}

/**
 * Lists the servers that may receive slots: those that are up or, when none is, also those that are cold or
 * whose state is unknown.
 *
 * @param assignment - The assignment of the service.
 * @param configuration - The configuration in force.
 * @param statuses - Reported state of the servers.
 * @param membership - Which daemons are present.
 * @param excluded - A server to leave out.
 * @returns The candidates.
 */
export function listCandidates(
  assignment: Assignment,
  configuration: Configuration,
  statuses: StatusView,
  membership: Membership,
  excluded?: ServerName,
): readonly Candidate[] {
  const usable = Object.entries(configuration.servers).filter(
    ([name, server]) =>
      server.service === assignment.service &&
      name !== excluded &&
      findLeavingReason(configuration, name, statuses.getState(name)) === undefined &&
      statuses.getState(name) !== ServerState.Lost &&
      hasPresentLeaseholder(assignment, name, membership),
  );
  const warm = usable.filter(([name]) => statuses.getState(name) === ServerState.Up);
  return (warm.length > 0 ? warm : usable).map(toCandidate);
}

function hasPresentLeaseholder(assignment: Assignment, name: ServerName, membership: Membership): boolean {
  const leaseholder = findServer(assignment, name)?.leaseholder ?? null;
  return leaseholder !== null && membership.isPresent(leaseholder);
}

function toCandidate([name, server]: [ServerName, Server]): Candidate {
  return { name, weight: server.slots };
}
