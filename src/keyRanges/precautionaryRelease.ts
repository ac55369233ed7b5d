/**
 * Releases keys that servers may hold though they are not known to own them: after a restore of the object store,
 * an earlier coordinator may have granted them without a record that remains.
 */
import type { DiscoveredServer } from "../discovery";
import type { ServerName } from "../types";
import { createHolding, subtractRanges } from "./holdings";
import { type ReclaimOptions, reclaimKeys } from "./reclaim";
import { ALL_KEYS, type OwnedRange } from "./types";

/** Precautionary releases of one service. */
export interface PrecautionaryRelease {
  /**
   * Makes a server release all keys that are not among its own ranges. Their owners get no grants until it has, or
   * until it cannot hold them any more.
   */
  start(server: DiscoveredServer, ranges: readonly OwnedRange[]): void;
  /** Returns whether a server's releases are in progress. It must not get keys, which a late release would take. */
  isPending(server: ServerName): boolean;
  /** Returns whether any releases are in progress. */
  isAnyPending(): boolean;
}

/**
 * Creates a set without releases.
 *
 * @param options - Options for reclaiming keys.
 * @param maxGrantMs - Maximum duration of the grants that an earlier coordinator may have sent.
 * @param signal - Ends the releases when aborted.
 * @returns The set.
 */
export function createPrecautionaryRelease(
  options: ReclaimOptions,
  maxGrantMs: number,
  signal: AbortSignal,
): PrecautionaryRelease {
  const pending = new Map<ServerName, number>();

  return {
    start: ({ name, bornAt }, ranges) => {
      const own = ranges.filter((range) => range.server === name && range.bornAt === bornAt);
      for (const keys of subtractRanges(ALL_KEYS, own)) {
        options.ledger.record(keys, name, maxGrantMs);
        const holding = createHolding({ ...keys, server: name, bornAt, token: 0 });
        addPending(name, 1);
        void reclaimKeys(holding, { ...options, isReclaimNeeded: () => true }, signal).finally(() => {
          addPending(name, -1);
        });
      }
    },
    isPending: (server) => pending.has(server),
    isAnyPending: () => pending.size > 0,
  };

  function addPending(server: ServerName, change: number): void {
    const count = (pending.get(server) ?? 0) + change;
    if (count === 0) {
      pending.delete(server);
    } else {
      pending.set(server, count);
    }
  }
}
