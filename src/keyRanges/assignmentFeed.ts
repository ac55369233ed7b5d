/**
 * Keeps the owner table up to date without a watch: the coordinator sends each change to all daemons by
 * datagram, and a daemon that missed one reads the assignments again.
 */
import { z } from "zod";
import type { PrefixWatcher } from "../discovery";
import { describeError } from "../errors";
import type { DatagramChannel } from "../membership";
import { CallPriority, Freshness, type ObjectStore } from "../objectStore";
import { Event, type Logger } from "../observability";
import { type Address, type Clock, type ServiceName, type Version, sleep } from "../types";
import { ASSIGNMENT_PREFIX, ownedRangeSchema } from "./assignmentDocument";
import type { OwnerTable } from "./ownerTable";
import type { OwnedRange, RangeAssignment } from "./types";

const DATAGRAM_KIND = "assignmentChange";
/** Keeps a datagram within what the network carries whole. */
const MAX_RANGES_PER_DATAGRAM = 100;
const RETRY_DELAY_MS = 300;
/** A daemon that still differs within this time after a stale read needs the newest state. */
const STALE_READ_INTERVAL_MS = 3000;

const changeSchema = z.object({
  service: z.string().min(1),
  /** Version that the change applies to. */
  base: z.int(),
  version: z.int().positive(),
  /** Fencing tokens and first keys of the ranges that are no more. */
  dropped: z.array(z.object({ from: z.int(), token: z.int() })),
  added: z.array(ownedRangeSchema),
});
type AssignmentChange = z.output<typeof changeSchema>;

/** What a feed is made from. */
export interface AssignmentFeedOptions {
  readonly objects: ObjectStore;
  readonly owners: OwnerTable;
  readonly channel: DatagramChannel;
  /** Daemons that have lately told this one where they are. */
  readonly peers: () => readonly Address[];
  /** Whether the coordinator compares what this daemon knows, so that a cheaper read that may be stale does first. */
  readonly isFreshnessChecked: () => boolean;
  readonly clock: Clock;
  readonly logger: Logger;
}

/** The feed; to the freshness check it is a follower like the others. */
export interface AssignmentFeed extends PrefixWatcher {
  /** Sends a change to all daemons. */
  publish(before: RangeAssignment, base: Version, after: RangeAssignment, version: Version): void;
}

/**
 * Creates a feed.
 *
 * @param options - Store, table and channel.
 * @returns The feed.
 */
export function createAssignmentFeed(options: AssignmentFeedOptions): AssignmentFeed {
  const { owners, channel, clock, logger } = options;
  let mustRead = true;
  let wake: (() => void) | undefined;
  let staleReadAt = Number.NEGATIVE_INFINITY;
  /** Versions that were announced and not understood. */
  const missedVersions = new Map<ServiceName, Version>();
  channel.receive(DATAGRAM_KIND, changeSchema, apply);

  return {
    prefix: ASSIGNMENT_PREFIX,
    computeDigest: () => owners.computeDigest(),
    refresh,
    run: async (signal) => {
      while (!signal.aborted) {
        if (mustRead) {
          await read(signal);
        }
        if (!mustRead) {
          await waitForRefresh(signal);
        }
      }
    },
    publish: (before, base, after, version) => {
      const change = createChange(before, base, after, version);
      // Daemons that miss a change too large for a datagram notice it by their digests.
      if (change.added.length <= MAX_RANGES_PER_DATAGRAM) {
        options.peers().forEach((peer) => {
          channel.send(peer, DATAGRAM_KIND, change);
        });
      }
    },
  };

  function refresh(): void {
    mustRead = true;
    wake?.();
  }

  function apply(change: AssignmentChange): void {
    const { service, base, version } = change;
    if (version <= owners.getVersion(service)) {
      return;
    }
    if (base !== owners.getVersion(service)) {
      missedVersions.set(service, version);
      refresh();
      return;
    }
    const isDropped = (range: OwnedRange) =>
      change.dropped.some((each) => each.from === range.from && each.token === range.token);
    const ranges = [...owners.getRanges(service).filter((range) => !isDropped(range)), ...change.added];
    ranges.sort((left, right) => left.from - right.from);
    owners.update(service, ranges, version);
  }

  async function read(signal: AbortSignal): Promise<void> {
    mustRead = false;
    const freshness = chooseFreshness();
    try {
      const listed = await options.objects.list(ASSIGNMENT_PREFIX, CallPriority.Ownership, freshness);
      owners.apply(listed.objects);
      const isBehind = [...missedVersions].some(([service, version]) => owners.getVersion(service) < version);
      mustRead ||= freshness === Freshness.Stale && isBehind;
    } catch (error) {
      mustRead = true;
      logger.log(Event.PlatformUnavailable, { prefix: ASSIGNMENT_PREFIX, error: describeError(error) });
      await sleep(clock, RETRY_DELAY_MS, signal);
    }
  }

  function chooseFreshness(): Freshness {
    if (!options.isFreshnessChecked() || clock.now() - staleReadAt < STALE_READ_INTERVAL_MS) {
      return Freshness.Newest;
    }
    staleReadAt = clock.now();
    return Freshness.Stale;
  }

  function waitForRefresh(signal: AbortSignal): Promise<void> {
    return new Promise((resolve) => {
      const finish = () => {
        wake = undefined;
        signal.removeEventListener("abort", finish);
        resolve();
      };
      wake = finish;
      signal.addEventListener("abort", finish);
    });
  }
}

function createChange(
  before: RangeAssignment,
  base: Version,
  after: RangeAssignment,
  version: Version,
): AssignmentChange {
  const isIn = (ranges: readonly OwnedRange[], range: OwnedRange) =>
    ranges.some((each) => each.from === range.from && each.to === range.to && each.token === range.token);
  const service: ServiceName = after.service;
  return {
    service,
    base,
    version,
    dropped: before.ranges
      .filter((range) => !isIn(after.ranges, range))
      .map(({ from, token }) => ({ from, token })),
    added: after.ranges.filter((range) => !isIn(before.ranges, range)),
  };
}
