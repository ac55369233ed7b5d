/** The lease and grants of a fenced backend server, as docs/INTERFACES.md asks of one. */
import type { LeaseCall, SlotEpoch } from "../../src/ownership";

/** Answer to a lease call. */
export type GrantAnswer =
  | { readonly kind: "accepted"; readonly lapses: number }
  | { readonly kind: "fenced"; readonly generation: number };

/** The lease of one server. */
export interface GrantTable {
  /** Applies a lease call. */
  apply(call: LeaseCall, bootId: string): GrantAnswer;
  /** Whether a request with these marks may start now. */
  canStart(slot: number, epoch: number, generation: number): boolean;
  /** Number that changes when the lease lapses; a run that sees it change must not take effect. */
  countLapses(): number;
  /** Time of the last lapse. */
  getLastLapseAt(): number;
  /** The grants that hold now. */
  listGrants(): readonly SlotEpoch[];
}

/**
 * Creates a table without grants.
 *
 * @param now - Monotonic clock in milliseconds that also counts while the process is stopped.
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
    if (call.bootId !== bootId || call.validUntilMs <= now()) {
      return;
    }
    validUntilMs = Math.max(validUntilMs, call.validUntilMs);
    for (const { slot, epoch } of call.grant) {
      grants.set(slot, epoch);
    }
  }

  /** Grants that have lapsed once never come back by themselves. */
  function dropLapsedGrants(): void {
    if (validUntilMs > 0 && now() > validUntilMs) {
      grants.clear();
      lastLapseAt = validUntilMs;
      validUntilMs = 0;
      lapses += 1;
    }
  }
}
