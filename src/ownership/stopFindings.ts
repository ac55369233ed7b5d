/** Collects what is proved of leaseholders and servers that are gone. */
import type { Configuration } from "../configuration";
import type { Membership } from "../membership";
import type { SnapshotStore } from "../snapshots";
import {
  type Address,
  type Clock,
  type DataCentreName,
  type ServerName,
  type ServiceName,
  formatRun,
} from "../types";
import { listEligibleMembers } from "./election";
import { GRANT_VALIDITY_MS } from "./serverSession";
import type { StopEvidence } from "./stopEvidence";
import type { AssignedServer, Leaseholder } from "./types";

/** Grants lapse by the server's clock; this covers the bound on its rate. */
const LAPSE_MARGIN_MS = 20;

/** What is proved of daemons and servers that are gone. */
export interface StopFindings {
  /** Stopped daemon runs, by name. */
  readonly runs: ReadonlySet<string>;
  /** Servers whose process has ended, looked for where no daemon of the data centre is left. */
  readonly servers: ReadonlySet<ServerName>;
}

/** What a search reads. */
export interface StopSearchOptions {
  readonly membership: Membership;
  readonly snapshots: SnapshotStore;
  readonly evidence: StopEvidence;
  readonly clock: Clock;
  /** Whether an address refuses connections, which only a stopped process does. */
  readonly refusesConnections: (address: Address) => Promise<boolean>;
}

/** Searches for proofs. */
export interface StopSearch {
  /** Looks at the servers of a service, all of them or those of some data centres. */
  find(service: ServiceName, dataCentres: readonly DataCentreName[] | "all"): Promise<StopFindings>;
  /** Whether nothing runs at a server any more: all its leaseholders have stopped, and its process has ended or its grants have lapsed. */
  isIdle(server: AssignedServer, configuration: Configuration, findings: StopFindings): boolean;
}

/**
 * Creates a search.
 *
 * @param options - Views and evidence.
 * @returns The search.
 */
export function createStopSearch(options: StopSearchOptions): StopSearch {
  const { membership, snapshots, evidence, clock } = options;

  return {
    find: async (service, dataCentres) => {
      const servers = (snapshots.findAssignment(service)?.value.servers ?? []).filter(
        (server) => dataCentres === "all" || dataCentres.includes(server.dataCentre),
      );
      const runs = await findStoppedRuns(servers);
      const stoppedServers = dataCentres === "all" ? await findStoppedServers(servers, runs) : [];
      return { runs, servers: new Set(stoppedServers) };
    },
    isIdle: (server, configuration, findings) => {
      const settings = configuration.servers[server.name];
      if (settings === undefined || !hasOnlyStoppedLeaseholders(server, findings.runs)) {
        return false;
      }
      if (findings.servers.has(server.name)) {
        return true;
      }
      // A server without grants may be frozen and still run what it was sent.
      return settings.fenced && haveGrantsLapsed(server);
    },
  };

  function haveGrantsLapsed(server: AssignedServer): boolean {
    const stopTimes = listLeaseholders(server).map(
      (holder) => evidence.findStoppedAt(holder) ?? Number.POSITIVE_INFINITY,
    );
    return clock.now() > Math.max(...stopTimes) + GRANT_VALIDITY_MS + LAPSE_MARGIN_MS;
  }

  /** Each run is asked for once, all at the same time: a silent address takes a while. */
  async function findStoppedRuns(servers: readonly AssignedServer[]): Promise<ReadonlySet<string>> {
    const absent = new Map<string, Leaseholder>();
    for (const holder of servers.flatMap(listLeaseholders)) {
      if (!membership.isPresent(holder)) {
        absent.set(formatRun(holder), holder);
      }
    }
    const found = await Promise.all(
      [...absent].map(async ([name, holder]) => ((await evidence.hasProvablyStopped(holder)) ? [name] : [])),
    );
    return new Set(found.flat());
  }

  async function findStoppedServers(
    servers: readonly AssignedServer[],
    runs: ReadonlySet<string>,
  ): Promise<readonly ServerName[]> {
    const found = await Promise.all(
      servers.map(async (server) => ((await isServerStopped(server, runs)) ? [server.name] : [])),
    );
    return found.flat();
  }

  /** Asked only where no daemon is left that could hold the lease. */
  async function isServerStopped(server: AssignedServer, runs: ReadonlySet<string>): Promise<boolean> {
    const settings = snapshots.findConfiguration()?.value.configuration.servers[server.name];
    const hasEligibleDaemon = listEligibleMembers(membership, server.dataCentre).length > 0;
    if (settings === undefined || hasEligibleDaemon || !hasOnlyStoppedLeaseholders(server, runs)) {
      return false;
    }
    return isDeclaredStopped(server) || (await options.refusesConnections(settings));
  }

  function isDeclaredStopped(server: AssignedServer): boolean {
    return snapshots
      .getStopNotice()
      .servers.some((stopped) => stopped.server === server.name && stopped.generation === server.generation);
  }
}

function hasOnlyStoppedLeaseholders(server: AssignedServer, runs: ReadonlySet<string>): boolean {
  const holders = listLeaseholders(server);
  return holders.length > 0 && holders.every((holder) => runs.has(formatRun(holder)));
}

function listLeaseholders(server: AssignedServer): readonly Leaseholder[] {
  return server.leaseholder === null ? server.predecessors : [...server.predecessors, server.leaseholder];
}
