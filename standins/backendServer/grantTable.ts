/** Lease and grants of a fenced backend server, as specified in docs/INTERFACES.md. */
import type { LeaseCall, SlotEpoch } from "../../src/ownership";

/** Answer to a lease call. */
export type GrantAnswer =
  | { readonly kind: "accepted"; readonly lapses: number }
  | { readonly kind: "fenced"; readonly generation: number };

/** Lease and grants of one backend server. */
export interface GrantTable {
  /** Applies a lease call; one that arrives out of order changes nothing. */
  apply(call: LeaseCall, bootId: string): GrantAnswer;
  /** Returns whether a request with this slot, epoch and generation may start now. */
  canStart(slot: number, epoch: number, generation: number): boolean;
  /** Returns how often the lease has lapsed; a run during which this number changes must not take effect. */
  countLapses(): number;
  /** Returns when the lease lapsed last, on the clock of the table; 0 when it never did. */
  getLastLapseAt(): number;
  /** Returns the current grants. */
  listGrants(): readonly SlotEpoch[];
}

/**
 * Creates a table without grants.
 *
 * @param now - Monotonic clock in milliseconds that also advances while the process is suspended.
 * @returns The table.
 */
export function createGrantTable(now: () => number): GrantTable {
  const grants = new Map<number, number>();
  let generation = 0;
  let sequence = 0;
  let validUntilMs = 0;
  let lapses = 0;
  let lastLapseAt = 0;

  return {
    apply: (call, bootId) => {
      dropLapsedGrants();
      if (call.generation < generation) {
        return { kind: "fenced", generation };
      }
      if (call.generation > generation) {
        generation = call.generation;
        sequence = 0;
        grants.clear();
      }
      if (call.sequence > sequence) {
        sequence = call.sequence;
        applyInOrder(call, bootId);
      }
      return { kind: "accepted", lapses };
    },
    canStart: (slot, epoch, requestGeneration) => {
      dropLapsedGrants();
      return requestGeneration === generation && grants.get(slot) === epoch;
    },
    countLapses: () => {
      dropLapsedGrants();
      return lapses;
    },
    getLastLapseAt: () => lastLapseAt,
    listGrants: () => [...grants].map(([slot, epoch]) => ({ slot, epoch })),
  };

  function applyInOrder(call: LeaseCall, bootId: string): void {
    for (const slot of call.revoke) {
      grants.delete(slot);
    }
    // A call without the boot id of this process, or whose lease has already ended, grants nothing.
    if (call.bootId !== bootId || call.validUntilMs <= now()) {
      return;
    }
    validUntilMs = Math.max(validUntilMs, call.validUntilMs);
    for (const { slot, epoch } of call.grant) {
      grants.set(slot, epoch);
    }
  }

  /** Removes all grants when the lease has lapsed; a renewal does not restore them. */
  function dropLapsedGrants(): void {
    if (validUntilMs > 0 && now() > validUntilMs) {
      grants.clear();
      lastLapseAt = validUntilMs;
      validUntilMs = 0;
      lapses += 1;
    }
  }
}
