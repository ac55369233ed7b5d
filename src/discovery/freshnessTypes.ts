/** Interfaces of the freshness check. */
import type { DatagramChannel } from "../membership";
import type { Logger } from "../observability";
import type { Address, Clock, DaemonName, Version } from "../types";
import type { ChangeFeed } from "./changeFeed";
import type { PeerStates } from "./peerStates";
import type { PrefixWatcher } from "./prefixWatcherTypes";
import type {
  StatedColdness,
  StatedDeparture,
  StatedExclusions,
  StatedOwnerShare,
  StatedRateLimit,
} from "./types";

/** Options for `createFreshnessCheck`. */
export interface FreshnessCheckOptions {
  readonly daemon: DaemonName;
  readonly address: Address;
  /** Processor capacity of this daemon's VM, in cores. */
  readonly processors: number;
  readonly channel: DatagramChannel;
  readonly watchers: readonly PrefixWatcher[];
  readonly peers: PeerStates;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly isCoordinator: () => boolean;
  /** Returns the coordinator's address; undefined while there is no coordinator. */
  readonly findCoordinator: () => Address | undefined;
  /** Returns the number of daemons that is stored with the coordinator's lease; undefined while none is known. */
  readonly findStoredSize: () => number | undefined;
  /** Returns the version of the coordinator's lease that this daemon knows. */
  readonly getLeaseVersion: () => Version;
  /** Records that the coordinator still holds its lease at this version. */
  readonly confirmLease: (version: Version) => void;
  readonly rateLimits: SharedStatements<StatedRateLimit>;
  readonly departures: SharedStatements<StatedDeparture>;
  /** The data centres that operators have taken out of service, by the newest state that any daemon has read. */
  readonly exclusions: {
    share(): StatedExclusions | null;
    merge(stated: StatedExclusions | null): void;
  };
  /** Cold servers: what servers told this daemon goes to the coordinator, and all that it knows to the others. */
  readonly coldness: {
    shareAnswers(): StatedColdness;
    shareAll(): StatedColdness;
    merge(stated: StatedColdness): void;
  };
  /** What the coordinator finds out about overloaded owners of keys. */
  readonly ownerShares: {
    share(): readonly StatedOwnerShare[];
    replace(shares: readonly StatedOwnerShare[]): void;
  };
  /** Distribution of changes through the coordinator; without it, confirmations are not passed on. */
  readonly distribution?: Pick<ChangeFeed, "getAges" | "confirm">;
}

/** Statements of backend servers that daemons tell each other by way of the coordinator. */
export interface SharedStatements<Statement> {
  /** Returns what this daemon knows. */
  share(): readonly Statement[];
  /** Applies what another daemon knows. */
  merge(shared: readonly Statement[]): void;
}

/** The freshness check of one daemon. */
export interface FreshnessCheck {
  /**
   * Returns whether digests were compared with the coordinator's within the contact timeout; always false on
   * the coordinator.
   */
  isFreshnessChecked(): boolean;
  /** Returns the number of daemons that share the cluster-wide limits. */
  getClusterSize(): number;
  /** Returns the number of daemons as this one counted them or was told; undefined before. */
  findCountedSize(): number | undefined;
  /** Returns whether every watcher's state was the newest one at some time since the start. */
  wasCurrent(): boolean;
  /** Returns the processor capacity of the cluster's largest VM that this daemon knows of, in cores. */
  getLargestProcessors(): number;
  /** Runs the check periodically until aborted. */
  run(signal: AbortSignal): Promise<void>;
}
