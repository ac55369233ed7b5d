/** Prefers large VMs for the coordinator: granting to hundreds of servers takes much of a small VM's processor. */

/** A VM is much larger when it has this multiple of another's processor. */
const MUCH_LARGER_RATIO = 1.5;
/** Head start of the larger VMs: they look at the lease within this time. */
const CLAIM_DELAY_MS = 800;

/**
 * Tells whether a daemon should leave the coordination to a larger VM.
 *
 * @param own - Processor of this daemon's VM, in cores.
 * @param largest - Processor of the largest VM of the fleet, in cores.
 * @returns True when the other one is much larger.
 */
export function isMuchSmaller(own: number, largest: number): boolean {
  return largest >= own * MUCH_LARGER_RATIO;
}

/**
 * Tells how long a daemon lets others claim a free lease first.
 *
 * @param own - Processor of this daemon's VM, in cores.
 * @param largest - Processor of the largest VM of the fleet, in cores.
 * @returns The delay in milliseconds.
 */
export function getClaimDelayMs(own: number, largest: number): number {
  return isMuchSmaller(own, largest) ? CLAIM_DELAY_MS : 0;
}
