/** Evidence that a daemon run has stopped. Silence alone is none: the process may be paused and wake. */
import type { Membership } from "../membership";
import type { VmList } from "../objectStore";
import type { SnapshotStore } from "../snapshots";
import { type Address, type Clock, type DaemonRun, formatAddress, formatRun, isSameRun } from "../types";
import type { Leaseholder } from "./types";

const VM_LIST_MAX_AGE_MS = 1000;

/** Answer of a process at a peer address. */
export type PeerIdentity =
  /** The address refuses connections: no process listens there. */
  | { readonly kind: "refused" }
  /** A process answered and said which run it is. */
  | { readonly kind: "run"; readonly run: DaemonRun }
  /** No answer. */
  | { readonly kind: "silent" };

/** Asks the process at an address which run it is. */
export type PeerIdentification = (address: Address) => Promise<PeerIdentity>;

/** Tells whether daemon runs have provably stopped. */
export interface StopEvidence {
  /** Looks for evidence; true when there is any. The result is remembered. */
  hasProvablyStopped(run: Leaseholder): Promise<boolean>;
  /** Time on the local clock by which a run had stopped, when evidence was found. */
  findStoppedAt(run: DaemonRun): number | undefined;
}

/** What stop evidence is made from. */
export interface StopEvidenceOptions {
  readonly membership: Membership;
  readonly snapshots: SnapshotStore;
  readonly vms: VmList;
  readonly identifyPeer: PeerIdentification;
  readonly clock: Clock;
}

/**
 * Creates the search for evidence.
 *
 * @param options - Where evidence comes from.
 * @returns The search.
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

  /** The run's own acknowledgement, or an operator's word. */
  function isReportedStopped(run: DaemonRun): boolean {
    const member = membership.get(run.daemon);
    const hasLeft = member !== undefined && isSameRun(member, run) && member.status === "left";
    return hasLeft || snapshots.getStopNotice().daemons.some((stoppedRun) => isSameRun(stoppedRun, run));
  }

  /** Only one process can listen at an address. */
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

  /** The list lags: a VM that was never seen in it is not a VM that is gone. */
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
