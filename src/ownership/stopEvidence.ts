/**
 * Evidence that a daemon run has stopped. A missing answer is not evidence: the process may be paused and
 * continue later.
 */
import type { Leaseholder } from "../assignments";
import type { Membership } from "../membership";
import type { VmList } from "../objectStore";
import type { SnapshotStore } from "../snapshots";
import { type Address, type Clock, type DaemonRun, formatAddress, formatRun, isSameRun } from "../types";

const VM_LIST_MAX_AGE_MS = 1000;

/** Result of identifying the process at a peer address. */
export type PeerIdentity =
  /** The address refuses connections: no process listens there. */
  | { readonly kind: "refused" }
  /** A process answered with its run. */
  | { readonly kind: "run"; readonly run: DaemonRun }
  /** No answer arrived. */
  | { readonly kind: "silent" };

/** Identifies the run of the process at an address. */
export type PeerIdentification = (address: Address) => Promise<PeerIdentity>;

/** Finds evidence that daemon runs have stopped. */
export interface StopEvidence {
  /**
   * Searches for evidence that a run has stopped and returns whether there is any. Evidence once found is
   * remembered.
   */
  hasProvablyStopped(run: Leaseholder): Promise<boolean>;
  /** Finds the time on the local clock by which a run had stopped; undefined when no evidence was found. */
  findStoppedAt(run: DaemonRun): number | undefined;
}

/** Options for {@link createStopEvidence}. */
export interface StopEvidenceOptions {
  readonly membership: Membership;
  readonly snapshots: SnapshotStore;
  readonly vms: VmList;
  readonly identifyPeer: PeerIdentification;
  readonly clock: Clock;
}

/**
 * Creates the search for evidence that daemon runs have stopped.
 *
 * @param options - Sources of evidence.
 * @returns The search for evidence.
 */
export function createStopEvidence(options: StopEvidenceOptions): StopEvidence {
  const { membership, snapshots, clock } = options;
  const stopped = new Map<string, number>();
  const seenVms = new Set<string>();
  let listedVms = new Set<string>();
  let listedAt = Number.NEGATIVE_INFINITY;

  return {
    hasProvablyStopped: async (run) => {
      if (stopped.has(formatRun(run))) {
        return true;
      }
      const found =
        isReportedStopped(run) ||
        hasSuccessorAtSameAddress(run) ||
        (await isAbsentFromAddress(run)) ||
        (await isVmRemovedFromList(run));
      if (found) {
        stopped.set(formatRun(run), clock.now());
        membership.declareDead(run);
      }
      return found;
    },
    findStoppedAt: (run) => stopped.get(formatRun(run)),
  };

  /** Returns whether the run itself announced that it has left, or an operator declared it stopped. */
  function isReportedStopped(run: DaemonRun): boolean {
    const member = membership.get(run.daemon);
    const hasLeft = member !== undefined && isSameRun(member, run) && member.status === "left";
    return hasLeft || snapshots.getStopNotice().daemons.some((stoppedRun) => isSameRun(stoppedRun, run));
  }

  /**
   * Returns whether a later run uses the same address. Only one process can listen there, so the earlier has
   * stopped.
   */
  function hasSuccessorAtSameAddress(run: Leaseholder): boolean {
    const member = membership.get(run.daemon);
    return (
      member !== undefined &&
      member.incarnation > run.incarnation &&
      formatAddress(member.address) === formatAddress(run.address)
    );
  }

  async function isAbsentFromAddress(run: Leaseholder): Promise<boolean> {
    const identity = await options.identifyPeer(run.address);
    switch (identity.kind) {
      case "refused":
        return true;
      case "run":
        return !isSameRun(identity.run, run);
      case "silent":
        return false;
      default:
        return identity satisfies never;
    }
  }

  /**
   * Returns whether the VM list no longer has the run's VM. The list lags, so a VM must have been listed once
   * before.
   */
  async function isVmRemovedFromList(run: Leaseholder): Promise<boolean> {
    await refreshVmList();
    const address = formatAddress(run.address);
    return seenVms.has(address) && !listedVms.has(address);
  }

  async function refreshVmList(): Promise<void> {
    if (clock.now() - listedAt < VM_LIST_MAX_AGE_MS) {
      return;
    }
    listedAt = clock.now();
    try {
      const vms = await options.vms.list();
      listedVms = new Set(vms.map((vm) => formatAddress(vm.address)));
    } catch {
      return;
    }
    for (const address of listedVms) {
      seenVms.add(address);
    }
  }
}
