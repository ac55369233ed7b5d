/**
 * Prefers larger VMs for the coordinator, because sending grants to hundreds of servers takes a large part of
 * a small VM's processor time.
 */

/** A VM counts as much larger than another if it has at least this multiple of its processor cores. */
const MUCH_LARGER_RATIO = 1.5;
/** Delay before a smaller VM claims a free lease; larger VMs check the lease within this time. */
const CLAIM_DELAY_MS = 800;

/**
 * Returns whether a daemon should leave the coordination to a larger VM.
 *
 * @param own - Processor capacity of this daemon's VM, in cores.
 * @param largest - Processor capacity of the largest VM of the cluster, in cores.
 * @returns True if the largest VM is much larger than this daemon's.
 */
export function isMuchSmaller(own: number, largest: number): boolean {
  return largest >= own * MUCH_LARGER_RATIO;
}

/**
 * Returns how long a daemon waits before it claims a free lease, so that larger VMs can claim it first.
 *
 * @param own - Processor capacity of this daemon's VM, in cores.
 * @param largest - Processor capacity of the largest VM of the cluster, in cores.
 * @returns Delay in milliseconds; 0 if no VM is much larger.
 */
export function getClaimDelayMs(own: number, largest: number): number {
  return isMuchSmaller(own, largest) ? CLAIM_DELAY_MS : 0;
}
