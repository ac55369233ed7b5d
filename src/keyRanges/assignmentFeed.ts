/**
 * Keeps the owner table up to date without a watch on the object store: the coordinator sends each change to
 * all daemons by datagram, and a daemon that missed a change reads the assignments again.
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
/** Keeps a datagram within the size that the network delivers whole. */
const MAX_RANGES_PER_DATAGRAM = 100;
const RETRY_DELAY_MS = 300;
/**
 * A daemon that has to read again within this time after a stale read reads the newest state, since the stale
 * answer lacked the change it missed.
 */
const STALE_READ_INTERVAL_MS = 3000;

const changeSchema = z.object({
  service: z.string().min(1),
  /** Version that the change applies to. */
  base: z.int(),
  version: z.int().positive(),
  /** First keys and fencing tokens of the ranges that the change removes. */
  dropped: z.array(z.object({ from: z.int(), token: z.int() })),
  added: z.array(ownedRangeSchema),
});
type AssignmentChange = z.output<typeof changeSchema>;

/** Options for {@link createAssignmentFeed}. */
export interface AssignmentFeedOptions {
  readonly objects: ObjectStore;
  readonly owners: OwnerTable;
  readonly channel: DatagramChannel;
  /** Returns the addresses of the daemons that have recently sent their state to this one. */
  readonly peers: () => readonly Address[];
  /**
   * Returns whether this daemon's state is being compared with the coordinator's. If it is, a cheaper read
   * that may be stale comes first, because the comparison detects a change that it lacks.
   */
  readonly isFreshnessChecked: () => boolean;
  readonly clock: Clock;
  readonly logger: Logger;
}

/**
 * Updates the owner table from datagrams and from reads of the object store. The freshness check treats it
 * like any other prefix watcher.
 */
export interface AssignmentFeed extends PrefixWatcher {
  /** Sends the difference between two versions of an assignment to all known daemons. */
  publish(before: RangeAssignment, base: Version, after: RangeAssignment, version: Version): void;
}

/**
 * Creates an assignment feed.
 *
 * @param options - Object store, owner table and datagram channel.
 * @returns The feed; it reads assignments only while `run` is running.
 */
export function createAssignmentFeed(options: AssignmentFeedOptions): AssignmentFeed {
  const { owners, channel, clock, logger } = options;
  let mustRead = true;
  let wake: (() => void) | undefined;
  let staleReadAt = Number.NEGATIVE_INFINITY;
  let currentAt = Number.NEGATIVE_INFINITY;
  let isAnswered = true;
  /** Versions from datagrams that could not be applied, since this daemon lacks the version they change. */
  const missedVersions = new Map<ServiceName, Version>();
  channel.receive(DATAGRAM_KIND, changeSchema, apply);

  return {
    prefix: ASSIGNMENT_PREFIX,
    getCurrentAt: () => currentAt,
    isAnswered: () => isAnswered,
    getVersion: () => 0,
    confirm: () => {
      currentAt = clock.now();
    },
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
      // A change that is too large for a datagram is not sent; the daemons detect it by comparing digests.
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
    const startedAt = clock.now();
    try {
      const listed = await options.objects.list(ASSIGNMENT_PREFIX, CallPriority.Ownership, freshness);
      isAnswered = true;
      owners.apply(listed.objects);
      currentAt = freshness === Freshness.Newest ? startedAt : currentAt;
      const isBehind = [...missedVersions].some(([service, version]) => owners.getVersion(service) < version);
      mustRead ||= freshness === Freshness.Stale && isBehind;
    } catch (error) {
      mustRead = true;
      isAnswered = false;
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
