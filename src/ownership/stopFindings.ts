/** Collects the leaseholders and servers that are proved stopped. */
import type { AssignedServer, Leaseholder } from "../assignments";
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

/**
 * Grants expire by the server's clock; this margin covers the maximum difference between its rate and the
 * local one.
 */
const EXPIRY_MARGIN_MS = 20;

/** Daemon runs and servers that are proved stopped. */
export interface StopFindings {
  /** Stopped daemon runs, as text from `formatRun`. */
  readonly runs: ReadonlySet<string>;
  /** Servers whose process has ended. Searched for only in data centres that have no eligible daemon left. */
  readonly servers: ReadonlySet<ServerName>;
}

/** Options for {@link createStopSearch}. */
export interface StopSearchOptions {
  readonly membership: Membership;
  readonly snapshots: SnapshotStore;
  readonly evidence: StopEvidence;
  readonly clock: Clock;
  /** Returns whether an address refuses connections, which happens only when the process has stopped. */
  readonly refusesConnections: (address: Address) => Promise<boolean>;
}

/** Searches for proof that leaseholders and servers have stopped. */
export interface StopSearch {
  /**
   * Checks the leaseholders of a service's servers, in all data centres or in some. The servers' own
   * processes are checked only for all data centres.
   */
  find(service: ServiceName, dataCentres: readonly DataCentreName[] | "all"): Promise<StopFindings>;
  /**
   * Returns whether nothing runs at a server any more: all its leaseholders have stopped, and its process has
   * ended or its grants have expired.
   */
  isIdle(server: AssignedServer, configuration: Configuration, findings: StopFindings): boolean;
}

/**
 * Creates a search for stopped leaseholders and servers.
 *
 * @param options - Dependencies of the search.
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
      // An unfenced server has no grants that expire: it may be paused and later run what it was sent.
      return settings.fenced && haveGrantsExpired(server);
    },
  };

  function haveGrantsExpired(server: AssignedServer): boolean {
    const stopTimes = listLeaseholders(server).map(
      (holder) => evidence.findStoppedAt(holder) ?? Number.POSITIVE_INFINITY,
    );
    return clock.now() > Math.max(...stopTimes) + GRANT_VALIDITY_MS + EXPIRY_MARGIN_MS;
  }

  /**
   * Checks each absent run once and all of them concurrently: an address that does not answer delays its
   * check until the timeout.
   */
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

  /**
   * Returns whether a server's process has ended. Checked only where no daemon is left that could hold the
   * lease.
   */
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
