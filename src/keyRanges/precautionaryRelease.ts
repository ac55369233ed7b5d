/**
 * Releases keys that servers may hold though they are not known to own them: after a restore of the object store,
 * an earlier coordinator may have granted them without a record that remains.
 */
import type { DiscoveredServer, ServerDirectory } from "../discovery";
import type { ServerName } from "../types";
import { createHolding, subtractRanges } from "./holdings";
import { type ReclaimOptions, reclaimKeys } from "./reclaim";
import { ALL_KEYS, type KeyRange, type OwnedRange } from "./types";

/** Precautionary releases of one service. */
export interface PrecautionaryRelease {
  /**
   * Makes a server release all keys that are not among its own ranges. Their owners get no grants until it has, has
   * left the directory, or cannot hold them any more.
   */
  start(server: DiscoveredServer, ranges: readonly OwnedRange[]): void;
  /** Returns whether a server's releases are in progress. It must not get keys, which a late release would take. */
  isPending(server: ServerName): boolean;
  /** Returns whether any releases are in progress. */
  isAnyPending(): boolean;
}

/** Options for {@link createPrecautionaryRelease}. */
export interface PrecautionaryReleaseOptions extends Omit<ReclaimOptions, "isReclaimNeeded"> {
  readonly directory: Pick<ServerDirectory, "get">;
  /** Maximum duration of the grants that an earlier coordinator may have sent. */
  readonly maxGrantMs: number;
}

/**
 * Creates a set without releases.
 *
 * @param options - Options for reclaiming keys.
 * @param signal - Ends the releases when aborted.
 * @returns The set.
 */
export function createPrecautionaryRelease(
  options: PrecautionaryReleaseOptions,
  signal: AbortSignal,
): PrecautionaryRelease {
  const { directory, ledger } = options;
  const pending = new Map<ServerName, number>();

  return {
    start: (server, ranges) => {
      const { name, bornAt } = server;
      const own = ranges.filter((range) => range.server === name && range.bornAt === bornAt);
      for (const keys of subtractRanges(ALL_KEYS, own)) {
        ledger.recordEarlier(keys, name, options.maxGrantMs);
        addPending(name, 1);
        void release(server, keys).finally(() => {
          addPending(name, -1);
        });
      }
    },
    isPending: (server) => pending.has(server),
    isAnyPending: () => pending.size > 0,
  };

  /**
   * Ends also when the server's entry has expired: a server that has ended gives no answer. One without an entry is
   * asked once, since it may run on without contact to the object store.
   */
  async function release({ name, bornAt }: DiscoveredServer, keys: KeyRange): Promise<void> {
    const holding = createHolding({ ...keys, server: name, bornAt, token: 0 });
    let isAsked = false;
    const isReclaimNeeded = () => {
      const isNeeded = !isAsked || directory.get(name) !== undefined;
      isAsked = true;
      return isNeeded;
    };
    await reclaimKeys(holding, { ...options, isReclaimNeeded }, signal);
    ledger.clear(keys, name);
  }

  function addPending(server: ServerName, change: number): void {
    const count = (pending.get(server) ?? 0) + change;
    if (count === 0) {
      pending.delete(server);
    } else {
      pending.set(server, count);
    }
  }
}
