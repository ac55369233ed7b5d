/** Finds the backend server and the leaseholder for a request, according to the newest snapshots. */
import type { LoadView, ServerCandidate } from "../balancing";
import type { Membership } from "../membership";
import {
  type Leaseholder,
  ServerState,
  type StatusView,
  computeSlot,
  findLeavingReason,
  findServer,
  findOwner,
} from "../ownership";
import type { SnapshotStore } from "../snapshots";
import { RefusalReason, type ServerName, type ServiceName } from "../types";

/** The backend server and the leaseholder for a request, or why there is none. */
export type Route =
  | { readonly kind: "found"; readonly server: ServerName; readonly leaseholder: Leaseholder }
  | { readonly kind: "refused"; readonly reason: RefusalReason };

/** Options for {@link createRouteTable}. */
export interface RouteTableOptions {
  readonly snapshots: SnapshotStore;
  readonly membership: Membership;
  readonly statuses: StatusView;
  readonly loads: LoadView;
}

/** Finds routes according to what this daemon knows. */
export interface RouteTable {
  /** Finds the owner of a key and its leaseholder. */
  routeByKey(service: ServiceName, key: string): Route;
  /** Chooses a backend server for a request without a key, outside `avoided` if possible. */
  routeWithoutKey(service: ServiceName, avoided: ReadonlySet<ServerName>): Route;
}

/**
 * Creates the route table.
 *
 * @param options - Snapshots, membership, and the states and loads of the backend servers.
 * @returns The route table.
 */
export function createRouteTable(options: RouteTableOptions): RouteTable {
  const { snapshots, membership, statuses } = options;

  return {
    routeByKey: (service, key) => {
      const assignment = snapshots.findAssignment(service)?.value;
      if (assignment === undefined) {
        return refuse(RefusalReason.NoOwner);
      }
      const owner = findOwner(assignment, computeSlot(key, assignment.owners.length));
      if (owner === undefined) {
        return refuse(RefusalReason.NoOwner);
      }
      return owner.leaseholder === null
        ? refuse(RefusalReason.NoLeaseholder)
        : { kind: "found", server: owner.name, leaseholder: owner.leaseholder };
    },
    routeWithoutKey: (service, avoided) => {
      const usable = listUsableServers(service);
      const preferred = usable.filter((candidate) => !avoided.has(candidate.name));
      const candidate = options.loads.choose(
        preferred.length > 0 ? preferred : usable,
        membership.self().dataCentre,
      );
      return candidate === undefined ? refuse(RefusalReason.NoServer) : routeTo(service, candidate.name);
    },
  };

  function routeTo(service: ServiceName, server: ServerName): Route {
    const assignment = snapshots.findAssignment(service)?.value;
    const leaseholder = assignment === undefined ? undefined : findServer(assignment, server)?.leaseholder;
    return leaseholder === undefined || leaseholder === null
      ? refuse(RefusalReason.NoLeaseholder)
      : { kind: "found", server, leaseholder };
  }

  /**
   * Lists the servers that are reachable, have a present leaseholder and are not leaving. Cold ones are
   * included, since their leaseholders limit them to their ramp.
   */
  function listUsableServers(service: ServiceName): readonly ServerCandidate[] {
    const configuration = snapshots.findConfiguration()?.value.configuration;
    const assignment = snapshots.findAssignment(service)?.value;
    if (configuration === undefined || assignment === undefined) {
      return [];
    }
    return assignment.servers.flatMap((server): ServerCandidate[] => {
      const state = statuses.getState(server.name);
      const settings = configuration.servers[server.name];
      const isReachable = state === ServerState.Up || state === ServerState.Cold;
      const hasPresentLeaseholder = server.leaseholder !== null && membership.isPresent(server.leaseholder);
      const isLeaving = findLeavingReason(configuration, server.name, state) !== undefined;
      if (settings === undefined || !isReachable || !hasPresentLeaseholder || isLeaving) {
        return [];
      }
      return [{ name: server.name, dataCentre: server.dataCentre, slots: settings.slots }];
    });
  }
}

function refuse(reason: RefusalReason): Route {
  return { kind: "refused", reason };
}
