/**
 * Notices watches that are stale or whose connection has gone silent: daemons compare digests of what they know
 * with the coordinator, and one that differs for long asks the store for its newest state.
 */
import { z } from "zod";
import type { DatagramChannel } from "../membership";
import { type Address, type Clock, type DaemonName, type Version, repeat } from "../types";
import type { PrefixWatcher } from "./prefixWatcher";

const CHECK_INTERVAL_MS = 400;
/** Changes reach all daemons within the pauses between their watches; a difference that lasts longer is none of them. */
const MAX_DIFFERENCE_MS = 700;
/** Without a word from the coordinator for this long, a daemon asks the store by itself. */
const CONTACT_TIMEOUT_MS = 1300;
/** Bounds the calls of a daemon that differs, or is alone. */
const REFRESH_INTERVAL_MS = 1300;

/** A restarted or cut daemon still has its share of the bounds for all daemons for this long. */
const COUNT_WINDOW_MS = 10_000;
/** A new coordinator has heard of all daemons after this time: they notice the loss and find the lease. */
const COUNT_DELAY_MS = 3000;
/** Assumed until the first count; more than today's fleets have, so that shares err on the small side. */
const ASSUMED_FLEET_SIZE = 100;

const MessageKind = { State: "state", Reply: "stateReply" } as const;

const addressSchema = z.object({ host: z.string(), port: z.int() });
const digestsSchema = z.record(z.string(), z.number());
const stateSchema = z.object({
  daemon: z.string(),
  address: addressSchema,
  /** Processor of the daemon's VM, in cores. */
  processors: z.number().positive(),
  digests: digestsSchema,
});
const replySchema = z.object({
  digests: digestsSchema,
  /** Version of the coordinator's lease, which it holds while it answers. */
  leaseVersion: z.int(),
  /** Number of daemons; null while the coordinator has not heard of all. */
  daemons: z.int().positive().nullable(),
  /** Processor of the largest VM of the fleet, in cores. */
  largestProcessors: z.number().positive(),
});
type Digests = z.output<typeof digestsSchema>;

/** What the check is made from. */
export interface FreshnessCheckOptions {
  readonly daemon: DaemonName;
  readonly address: Address;
  /** Processor of this daemon's VM, in cores. */
  readonly processors: number;
  readonly channel: DatagramChannel;
  readonly watchers: readonly PrefixWatcher[];
  readonly peers: PeerStates;
  readonly clock: Clock;
  readonly isCoordinator: () => boolean;
  /** The coordinator's address; undefined while there is none. */
  readonly findCoordinator: () => Address | undefined;
  /** Version of the coordinator's lease, as this daemon knows it. */
  readonly getLeaseVersion: () => Version;
  /** Takes note that the coordinator still holds its lease at this version. */
  readonly confirmLease: (version: Version) => void;
}

/** What another daemon has told of itself. */
interface PeerState extends z.output<typeof stateSchema> {
  readonly receivedAt: number;
}

/** Daemons that have lately told this one what they know. */
export interface PeerStates {
  /** Takes what a daemon told. */
  record(state: z.output<typeof stateSchema>): void;
  /** Digests that arrived lately. */
  getDigests(): readonly Digests[];
  /** Where those daemons are. */
  getAddresses(): readonly Address[];
  /** Number of daemons that were heard of within the window of the count. */
  count(): number;
  /** Processor of the largest of their VMs, in cores; 0 without any. */
  getLargestProcessors(): number;
}

/**
 * Creates an empty record.
 *
 * @param clock - Clock of the entries' age.
 * @returns The record.
 */
export function createPeerStates(clock: Clock): PeerStates {
  const states = new Map<DaemonName, PeerState>();
  const getReceivedWithin = (maxAgeMs: number) =>
    [...states.values()].filter((state) => clock.now() - state.receivedAt < maxAgeMs);
  const getRecent = () => getReceivedWithin(CONTACT_TIMEOUT_MS);
  return {
    record: (state) => {
      states.set(state.daemon, { ...state, receivedAt: clock.now() });
    },
    getDigests: () => getRecent().map((state) => state.digests),
    getAddresses: () => getRecent().map((state) => state.address),
    count: () => getReceivedWithin(COUNT_WINDOW_MS).length,
    getLargestProcessors: () => Math.max(0, ...getRecent().map((state) => state.processors)),
  };
}

/** The check of one daemon. */
export interface FreshnessCheck {
  /** Whether the coordinator has lately compared what this daemon knows; false on the coordinator itself. */
  isFreshnessChecked(): boolean;
  /** Number of daemons that share what is bounded for all together. */
  getFleetSize(): number;
  /** Processor of the largest VM of the fleet as far as this daemon knows, in cores. */
  getLargestProcessors(): number;
  /** Checks until aborted. */
  run(signal: AbortSignal): Promise<void>;
}

/**
 * Creates the check.
 *
 * @param options - Followers and channel.
 * @returns The check.
 */
export function createFreshnessCheck(options: FreshnessCheckOptions): FreshnessCheck {
  const { channel, clock, watchers, peers } = options;
  const differsSince = new Map<string, number>();
  const refreshedAt = new Map<string, number>();
  /** Last word of the coordinator or, on the coordinator, of the others. */
  let contactAt = clock.now();
  let repliedAt = Number.NEGATIVE_INFINITY;
  let coordinatingSince: number | undefined;
  let fleetSize = ASSUMED_FLEET_SIZE;
  let largestProcessors = options.processors;

  channel.receive(MessageKind.State, stateSchema, (state) => {
    peers.record(state);
    // Only the coordinator's followers read the newest state, so only its digests are worth a comparison.
    if (options.isCoordinator()) {
      const daemons = countDaemons();
      channel.send(state.address, MessageKind.Reply, {
        digests: computeDigests(),
        leaseVersion: options.getLeaseVersion(),
        daemons,
        largestProcessors: computeLargestProcessors(),
      });
    }
  });
  channel.receive(MessageKind.Reply, replySchema, (reply) => {
    contactAt = clock.now();
    repliedAt = contactAt;
    fleetSize = reply.daemons ?? fleetSize;
    ({ largestProcessors } = reply);
    options.confirmLease(reply.leaseVersion);
    compareDigests((prefix) => reply.digests[prefix]);
  });

  return {
    getFleetSize: () => fleetSize,
    getLargestProcessors: () => (options.isCoordinator() ? computeLargestProcessors() : largestProcessors),
    isFreshnessChecked: () => !options.isCoordinator() && clock.now() - repliedAt < CONTACT_TIMEOUT_MS,
    run: (signal) => repeat(clock, CHECK_INTERVAL_MS, signal, check),
  };

  function check(): void {
    if (options.isCoordinator()) {
      coordinatingSince ??= clock.now();
      fleetSize = countDaemons() ?? fleetSize;
      compareWithMajority();
      return;
    }
    coordinatingSince = undefined;
    const coordinator = options.findCoordinator();
    if (coordinator !== undefined) {
      const { daemon, address, processors } = options;
      channel.send(coordinator, MessageKind.State, {
        daemon,
        address,
        processors,
        digests: computeDigests(),
      });
    }
    refreshWithoutContact();
  }

  function computeLargestProcessors(): number {
    return Math.max(options.processors, peers.getLargestProcessors());
  }

  function countDaemons(): number | null {
    const isSettled = coordinatingSince !== undefined && clock.now() - coordinatingSince >= COUNT_DELAY_MS;
    return isSettled ? peers.count() + 1 : null;
  }

  function compareWithMajority(): void {
    const peerDigests = peers.getDigests();
    if (peerDigests.length > 0) {
      contactAt = clock.now();
      compareDigests((prefix) => findMajority(peerDigests.map((each) => each[prefix])));
    }
    refreshWithoutContact();
  }

  /** A silent connection looks like a store without changes, so silence of the others must not be trusted either. */
  function refreshWithoutContact(): void {
    if (clock.now() - contactAt > CONTACT_TIMEOUT_MS) {
      watchers.forEach(refresh);
    }
  }

  function compareDigests(findExpected: (prefix: string) => number | undefined): void {
    for (const watcher of watchers) {
      const { prefix } = watcher;
      const digest = findExpected(prefix);
      if (digest === undefined || digest === watcher.computeDigest()) {
        differsSince.delete(prefix);
        continue;
      }
      const since = differsSince.get(prefix) ?? clock.now();
      differsSince.set(prefix, since);
      if (clock.now() - since >= MAX_DIFFERENCE_MS) {
        refresh(watcher);
      }
    }
  }

  function refresh(watcher: PrefixWatcher): void {
    const last = refreshedAt.get(watcher.prefix) ?? Number.NEGATIVE_INFINITY;
    if (clock.now() - last >= REFRESH_INTERVAL_MS) {
      refreshedAt.set(watcher.prefix, clock.now());
      watcher.refresh();
    }
  }

  function computeDigests(): Digests {
    return Object.fromEntries(watchers.map((watcher) => [watcher.prefix, watcher.computeDigest()]));
  }
}

/** The value that more than half agree on. */
function findMajority(values: readonly (number | undefined)[]): number | undefined {
  return values.find((value) => values.filter((other) => other === value).length * 2 > values.length);
}
