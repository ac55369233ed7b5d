/**
 * Many daemons and many servers: if each daemon spread its few requests over all servers, no connection would be
 * reused and no report of a server's load would be recent. So a daemon prefers a stable subset of the servers of a
 * service, of which some are in its own data centre. Daemons and servers are matched by rendezvous hashing, so that
 * every server is in about equally many subsets, and one that comes or goes changes little else.
 */
import murmurhash from "murmurhash";
import type { DiscoveredServer } from "../../discovery";
import type { DaemonName, DataCentreName, ServiceName } from "../../types";

/** Size of a subset, half of it in the daemon's own data centre where that has enough servers. */
const SUBSET_SIZE = 8;
/** Services with at most this many servers are used whole: a subset would save little and balance worse. */
export const MAX_WHOLE_SIZE = 16;

/** Subsets of the services' servers. */
export interface ServerSubsets {
  /** Returns the servers of a service that this daemon prefers; all of them if they are few. */
  choose(service: ServiceName, servers: readonly DiscoveredServer[]): readonly DiscoveredServer[];
}

/**
 * Creates the subsets of one daemon.
 *
 * @param daemon - Name of the daemon.
 * @param dataCentre - Data centre of the daemon.
 * @returns The subsets.
 */
export function createServerSubsets(daemon: DaemonName, dataCentre: DataCentreName): ServerSubsets {
  const chosen = new Map<
    ServiceName,
    { readonly servers: readonly DiscoveredServer[]; readonly subset: readonly DiscoveredServer[] }
  >();

  return {
    choose: (service, servers) => {
      if (servers.length <= MAX_WHOLE_SIZE) {
        return servers;
      }
      const known = chosen.get(service);
      if (known?.servers === servers) {
        return known.subset;
      }
      const subset = chooseSubset(servers);
      chosen.set(service, { servers, subset });
      return subset;
    },
  };

  function chooseSubset(servers: readonly DiscoveredServer[]): readonly DiscoveredServer[] {
    const ranked = servers
      .map((server) => ({ server, rank: murmurhash.v3(`${daemon}/${server.name}`) }))
      .sort((left, right) => left.rank - right.rank)
      .map(({ server }) => server);
    const near = ranked.filter((server) => server.dataCentre === dataCentre).slice(0, SUBSET_SIZE / 2);
    const others = ranked.filter((server) => !near.includes(server));
    return [...near, ...others.slice(0, SUBSET_SIZE - near.length)];
  }
}
