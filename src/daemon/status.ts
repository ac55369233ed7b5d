/** Status that a daemon reports to operators: its own and its view of the cluster. */
import type { Membership } from "../membership";
import {
  type LeaseManager,
  type StatusView,
  computeSlot,
  countSlots,
  getEpoch,
  findOwner,
} from "../ownership";
import type { SnapshotStore } from "../snapshots";
import type { DaemonName, DataCentreName, Epoch, ServerName, ServiceName, Slot, Version } from "../types";

/** One daemon in the status page. */
export interface MemberStatusLine {
  readonly daemon: DaemonName;
  readonly dataCentre: DataCentreName;
  readonly status: string;
  readonly leaving: boolean;
  readonly platformReachable: boolean;
  readonly configurationVersion: Version;
}

/** One backend server in the status page. */
export interface ServerStatusLine {
  readonly service: ServiceName;
  readonly server: ServerName;
  readonly dataCentre: DataCentreName;
  readonly state: string;
  readonly leaseholder: DaemonName | null;
  readonly generation: number;
  readonly slots: number;
}

/** Content of the status page. */
export interface DaemonStatus {
  readonly daemon: DaemonName;
  readonly ready: boolean;
  readonly configurationVersion: Version;
  readonly configurationNumber: number;
  readonly members: readonly MemberStatusLine[];
  readonly servers: readonly ServerStatusLine[];
  readonly leases: readonly {
    readonly server: ServerName;
    readonly inFlight: number;
    readonly limit: number;
  }[];
  readonly plannedMoves: number;
}

/** The owner of a key. Fields are null when there is none. */
export interface KeyOwner {
  readonly service: ServiceName;
  readonly key: string;
  readonly slot: Slot | null;
  readonly epoch: Epoch | null;
  readonly server: ServerName | null;
  readonly leaseholder: DaemonName | null;
}

/** Subsystems from which {@link describeStatus} reads. */
export interface StatusSources {
  readonly membership: Membership;
  readonly snapshots: SnapshotStore;
  readonly statuses: StatusView;
  readonly leases: LeaseManager;
  readonly isReady: () => boolean;
}

/**
 * Describes the daemon and its view of the cluster.
 *
 * @param sources - Subsystems to read.
 * @returns The status page.
 */
export function describeStatus(sources: StatusSources): DaemonStatus {
  const { membership, snapshots, statuses, leases } = sources;
  const configuration = snapshots.findConfiguration();
  return {
    daemon: membership.self().daemon,
    ready: sources.isReady(),
    configurationVersion: configuration?.version ?? 0,
    configurationNumber: configuration?.value.number ?? 0,
    members: membership.present().map((member) => ({
      daemon: member.daemon,
      dataCentre: member.dataCentre,
      status: member.status,
      leaving: member.leaving,
      platformReachable: member.platformReachable,
      configurationVersion: member.configurationVersion,
    })),
    servers: snapshots.getAssignments().flatMap(({ value: assignment }) => {
      const counts = countSlots(assignment);
      return assignment.servers.map((server) => ({
        service: assignment.service,
        server: server.name,
        dataCentre: server.dataCentre,
        state: statuses.getState(server.name),
        leaseholder: server.leaseholder?.daemon ?? null,
        generation: server.generation,
        slots: counts.get(server.name) ?? 0,
      }));
    }),
    leases: leases.all().map((lease) => {
      const { inFlight, limit } = lease.getLoad();
      return { server: lease.server, inFlight, limit };
    }),
    plannedMoves: snapshots.getAssignments().reduce((sum, { value }) => sum + value.moves.length, 0),
  };
}

/**
 * Finds the owner of a key.
 *
 * @param snapshots - Snapshots to read.
 * @param service - The service.
 * @param key - The key.
 * @returns The owner, with null fields when there is none.
 */
export function describeOwner(snapshots: SnapshotStore, service: ServiceName, key: string): KeyOwner {
  const assignment = snapshots.findAssignment(service)?.value;
  if (assignment === undefined || assignment.owners.length === 0) {
    return { service, key, slot: null, epoch: null, server: null, leaseholder: null };
  }
  const slot = computeSlot(key, assignment.owners.length);
  const owner = findOwner(assignment, slot);
  return {
    service,
    key,
    slot,
    epoch: getEpoch(assignment, slot),
    server: owner?.name ?? null,
    leaseholder: owner?.leaseholder?.daemon ?? null,
  };
}
