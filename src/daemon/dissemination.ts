/** Disseminates snapshots, server statuses and the list of leaving VMs between daemons. */
import type { Membership } from "../membership";
import type { VmList } from "../objectStore";
import { type Logger, createErrorReport } from "../observability";
import type { StatusView } from "../ownership";
import type { Peers } from "../peers";
import type { RawSnapshot, SnapshotStore } from "../snapshots";
import { type Address, type Clock, type DaemonName, formatAddress, repeat, shuffle } from "../types";

/** With at most this many other daemons, the first daemon to get a change sends it to all of them. */
const MAX_DIRECT_RECIPIENTS = 16;
/** In larger clusters, each daemon that gets a change sends it to this many others, chosen at random. */
const GOSSIP_FANOUT = 4;
const MIN_SYNC_INTERVAL_MS = 300;
const VM_LIST_INTERVAL_MS = 1000;

/** Options for {@link createDissemination}. */
export interface DisseminationOptions {
  readonly snapshots: SnapshotStore;
  readonly statuses: StatusView;
  readonly membership: Membership;
  readonly peers: Peers;
  readonly vms: VmList;
  readonly clock: Clock;
  readonly random: () => number;
  readonly logger: Logger;
  /** Returns whether this daemon watches the platform for its data centre. */
  readonly isWatcher: () => boolean;
}

/** Dissemination between this daemon and the others. */
export interface Dissemination {
  /** Applies snapshots from a peer where they are newer. */
  applySnapshots(snapshots: readonly RawSnapshot[]): void;
  /** Replaces the list of leaving VMs with that of a peer that watches the platform. */
  setLeavingVms(addresses: readonly Address[]): void;
  /** Returns whether the VM at an address is leaving. */
  isVmLeaving(address: Address): boolean;
  /**
   * Exchanges snapshots with a daemon, unless an exchange with it began just before. Returns false when the
   * exchange failed.
   */
  syncWith(daemon: DaemonName): Promise<boolean>;
  /** Polls the VM list while this daemon watches the platform, until aborted. */
  run(signal: AbortSignal): Promise<void>;
}

/**
 * Creates the dissemination and subscribes it to changes of snapshots, statuses and members.
 *
 * @param options - State to disseminate and connections.
 * @returns The dissemination.
 */
export function createDissemination(options: DisseminationOptions): Dissemination {
  const { snapshots, statuses, membership, peers, clock, random } = options;
  const receivedFromPeers = new Set<string>();
  const recentlySynced = new Set<DaemonName>();
  let leavingVms = new Set<string>();

  snapshots.events.on("changed", (raw) => {
    const isFromPeer = receivedFromPeers.delete(getSnapshotKey(raw));
    pushSnapshot(raw, isFromPeer);
  });
  statuses.events.on("changed", (status) => {
    if (status.reporter === membership.self().daemon) {
      peers.broadcast({ kind: "statuses", statuses: [status] }, listOthers());
    }
  });
  membership.events.on("differs", (member) => {
    void syncWith(member.daemon);
  });

  return {
    applySnapshots: (received) => {
      for (const raw of received) {
        receivedFromPeers.add(getSnapshotKey(raw));
        if (!snapshots.apply(raw)) {
          receivedFromPeers.delete(getSnapshotKey(raw));
        }
      }
    },
    setLeavingVms: (addresses) => {
      leavingVms = new Set(addresses.map(formatAddress));
    },
    isVmLeaving: (address) => leavingVms.has(formatAddress(address)),
    syncWith,
    run: (signal) =>
      repeat(
        clock,
        VM_LIST_INTERVAL_MS,
        signal,
        pollVmList,
        createErrorReport(options.logger, "poll VM list"),
      ),
  };

  function pushSnapshot(raw: RawSnapshot, isFromPeer: boolean): void {
    const others = listOthers();
    const isSmallCluster = others.length <= MAX_DIRECT_RECIPIENTS;
    if (isSmallCluster && isFromPeer) {
      return;
    }
    const recipients = isSmallCluster ? others : shuffle(random, others).slice(0, GOSSIP_FANOUT);
    peers.broadcast({ kind: "snapshotPush", snapshots: [raw] }, recipients);
  }

  /** Skips an exchange soon after another one: the digest of the next ping shows any remaining difference. */
  async function syncWith(daemon: DaemonName): Promise<boolean> {
    if (recentlySynced.has(daemon)) {
      return true;
    }
    recentlySynced.add(daemon);
    clock.schedule(MIN_SYNC_INTERVAL_MS, () => {
      recentlySynced.delete(daemon);
    });
    try {
      const peer = await peers.connect(daemon);
      await peer.syncSnapshots();
      return true;
    } catch {
      return false;
    }
  }

  async function pollVmList(): Promise<void> {
    if (!options.isWatcher()) {
      return;
    }
    try {
      const vms = await options.vms.list();
      updateLeavingVms(vms.filter((vm) => vm.state === "leaving").map((vm) => vm.address));
    } catch {
      // The previous list stays in use. The platform watcher logs the outage.
    }
  }

  function updateLeavingVms(leaving: readonly Address[]): void {
    const next = new Set(leaving.map(formatAddress));
    const hasChanged = next.size !== leavingVms.size || [...next].some((address) => !leavingVms.has(address));
    leavingVms = next;
    if (hasChanged) {
      const localMembers = membership
        .present()
        .filter((member) => member.dataCentre === membership.self().dataCentre);
      peers.broadcast(
        { kind: "leavingVms", addresses: leaving },
        localMembers.map((member) => member.daemon).filter((daemon) => daemon !== membership.self().daemon),
      );
    }
  }

  function listOthers(): readonly DaemonName[] {
    return membership
      .present()
      .map((member) => member.daemon)
      .filter((daemon) => daemon !== membership.self().daemon);
  }
}

function getSnapshotKey(raw: RawSnapshot): string {
  return `${raw.path}@${raw.version}`;
}
