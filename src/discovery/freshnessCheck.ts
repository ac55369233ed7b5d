/**
 * Detects watches that are stale or whose connection is dead without an error: daemons compare digests of
 * their object versions with the coordinator's, and one that differs for too long polls the object store for
 * its newest state.
 */
import { createErrorReport } from "../observability";
import { type Address, type Version, repeat } from "../types";
import { createCoordinatorSearch } from "./coordinatorSearch";
import {
  type Digests,
  MessageKind,
  coordinatorAnswerSchema,
  coordinatorQuestionSchema,
  replySchema,
  stateSchema,
} from "./freshnessMessages";
import type { FreshnessCheck, FreshnessCheckOptions } from "./freshnessTypes";
import { CONTACT_TIMEOUT_MS } from "./peerStates";
import type { PrefixWatcher } from "./prefixWatcherTypes";

const CHECK_INTERVAL_MS = 400;
/** Changes reach all daemons within the pauses between watches; a longer difference means a faulty watch. */
const MAX_DIFFERENCE_MS = 700;
/** Minimum time between refreshes of a prefix; bounds the calls of a daemon that differs or is isolated. */
const REFRESH_INTERVAL_MS = 1300;

/**
 * A new coordinator has heard from all daemons after this time, in which they notice the loss of the old one
 * and find the new lease.
 */
const COUNT_DELAY_MS = 3000;
/** Assumed until the first count of a deployment that has never been counted; shares are too small, not too large. */
const ASSUMED_CLUSTER_SIZE = 1000;

/** A difference between this daemon's state and the expected one. */
interface Difference {
  /** Local time since which this daemon has not reached the version. */
  readonly since: number;
  /** The expected version when the difference was found. */
  readonly version: Version;
}

/**
 * Creates the freshness check.
 *
 * @param options - Watchers to check, and the channel to the other daemons.
 * @returns The check.
 */
export function createFreshnessCheck(options: FreshnessCheckOptions): FreshnessCheck {
  const { channel, clock, watchers, peers, distribution } = options;
  const differences = new Map<string, Difference>();
  const refreshedAt = new Map<string, number>();
  /** When each prefix was last compared with the coordinator's state or, on the coordinator, with other daemons'. */
  const comparedAt = new Map(watchers.map(({ prefix }) => [prefix, clock.now()]));
  /** The coordinator is expected to reply at first, so that a daemon starts with stale reads. */
  let repliedAt = clock.now();
  let coordinatingSince: number | undefined;
  let countedSize: number | undefined;
  let largestProcessors = options.processors;
  const search = createCoordinatorSearch(options.address, options.findCoordinator);

  channel.receive(MessageKind.State, stateSchema, (state) => {
    peers.record(state);
    options.rateLimits.merge(state.rateLimits);
    options.departures.merge(state.departures);
    options.exclusions.merge(state.exclusions);
    options.coldness.merge(state.coldness);
    // Only the coordinator's watchers always read the newest state, so only its digests serve as a reference.
    if (options.isCoordinator()) {
      const daemons = countDaemons();
      channel.send(state.address, MessageKind.Reply, {
        digests: computeReferenceDigests(),
        versions: Object.fromEntries(watchers.map((watcher) => [watcher.prefix, watcher.getVersion()])),
        leaseVersion: options.getLeaseVersion(),
        daemons,
        largestProcessors: computeLargestProcessors(),
        rateLimits: options.rateLimits.share(),
        departures: options.departures.share(),
        exclusions: options.exclusions.share(),
        coldness: options.coldness.shareAll(),
        helpers: search.chooseHelpers(),
        ownerShares: options.ownerShares.share(),
        stateSentAt: state.sentAt,
        ages: distribution?.getAges() ?? {},
      });
    }
  });
  channel.receive(MessageKind.Reply, replySchema, (reply) => {
    repliedAt = clock.now();
    countedSize = reply.daemons ?? countedSize;
    ({ largestProcessors } = reply);
    options.rateLimits.merge(reply.rateLimits);
    options.departures.merge(reply.departures);
    options.exclusions.merge(reply.exclusions);
    options.coldness.merge(reply.coldness);
    options.ownerShares.replace(reply.ownerShares);
    search.remember(reply.helpers);
    // A lease whose holder another daemon has named is not the known one, and must still be read.
    if (search.findNamed() === undefined) {
      options.confirmLease(reply.leaseVersion);
    }
    compareDigests(
      (prefix) => reply.digests[prefix],
      (prefix) => reply.versions[prefix] ?? 0,
      (prefix) => {
        const ageMs = reply.ages[prefix];
        if (reply.stateSentAt !== null && ageMs !== undefined) {
          // The coordinator read its state at most this long before it received the message that it replies to.
          distribution?.confirm(prefix, {
            at: reply.stateSentAt - ageMs,
            version: reply.versions[prefix] ?? 0,
          });
        }
      },
    );
  });
  channel.receive(MessageKind.CoordinatorQuestion, coordinatorQuestionSchema, ({ address }) => {
    const coordinator = options.isCoordinator() ? options.address : findAnsweringCoordinator();
    if (coordinator !== undefined) {
      channel.send(address, MessageKind.CoordinatorAnswer, { coordinator });
    }
  });
  channel.receive(MessageKind.CoordinatorAnswer, coordinatorAnswerSchema, ({ coordinator }) => {
    if (!options.isCoordinator() && !isAnswered()) {
      search.recordNamed(coordinator);
      sendState(search.findNamed());
    }
  });

  return {
    getClusterSize: () => countedSize ?? options.findStoredSize() ?? ASSUMED_CLUSTER_SIZE,
    findCountedSize: () => countedSize,
    wasCurrent: () => watchers.every((watcher) => watcher.getCurrentAt() > Number.NEGATIVE_INFINITY),
    getLargestProcessors: () => (options.isCoordinator() ? computeLargestProcessors() : largestProcessors),
    isFreshnessChecked: () => !options.isCoordinator() && isAnswered(),
    run: (signal) =>
      repeat(clock, CHECK_INTERVAL_MS, signal, check, createErrorReport(options.logger, "compare state")),
  };

  function check(): void {
    if (options.isCoordinator()) {
      if (coordinatingSince === undefined) {
        coordinatingSince = clock.now();
        // A stale watch may still be waiting, and the others are compared with this daemon from now on.
        watchers.forEach((watcher) => {
          watcher.refresh();
        });
      }
      countedSize = countDaemons() ?? countedSize;
      search.setPeers(peers.getAddresses());
      compareWithMajority();
      return;
    }
    coordinatingSince = undefined;
    const named = search.findNamed();
    sendState(named ?? options.findCoordinator());
    if (!isAnswered()) {
      // The coordinator that another daemon has named may have lost its lease to the known one again.
      sendState(named === undefined ? undefined : options.findCoordinator());
      askForCoordinator();
    }
    refreshUncompared();
  }

  /** Returns whether the coordinator has replied within the contact timeout. */
  function isAnswered(): boolean {
    return clock.now() - repliedAt < CONTACT_TIMEOUT_MS;
  }

  function findAnsweringCoordinator(): Address | undefined {
    return isAnswered() ? (search.findNamed() ?? options.findCoordinator()) : undefined;
  }

  function askForCoordinator(): void {
    const helper = search.findHelper();
    if (helper !== undefined) {
      channel.send(helper, MessageKind.CoordinatorQuestion, { address: options.address });
    }
  }

  function sendState(coordinator: Address | undefined): void {
    if (coordinator !== undefined) {
      const { daemon, address, processors } = options;
      channel.send(coordinator, MessageKind.State, {
        daemon,
        address,
        processors,
        sentAt: clock.now(),
        digests: computeDigests(),
        rateLimits: options.rateLimits.share(),
        departures: options.departures.share(),
        exclusions: options.exclusions.share(),
        coldness: options.coldness.shareAnswers(),
      });
    }
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
      watchers.forEach(({ prefix }) => comparedAt.set(prefix, clock.now()));
      compareDigests(
        (prefix) => findMajority(peerDigests.map((each) => each[prefix])),
        () => 0,
        () => undefined,
      );
    }
    refreshUncompared();
  }

  /** Polls the store for state that cannot be compared, since a dead watch looks like a store without changes. */
  function refreshUncompared(): void {
    const now = clock.now();
    watchers
      .filter(({ prefix }) => now - (comparedAt.get(prefix) ?? now) > CONTACT_TIMEOUT_MS)
      .forEach(refresh);
  }

  function compareDigests(
    findExpected: (prefix: string) => number | undefined,
    getExpectedVersion: (prefix: string) => Version,
    confirm: (prefix: string) => void,
  ): void {
    for (const watcher of watchers) {
      const { prefix } = watcher;
      const digest = findExpected(prefix);
      if (digest === undefined) {
        differences.delete(prefix);
        continue;
      }
      comparedAt.set(prefix, clock.now());
      if (digest === watcher.computeDigest()) {
        differences.delete(prefix);
        if (!options.isCoordinator()) {
          watcher.confirm();
          confirm(prefix);
        }
        continue;
      }
      const difference = findDifference(watcher, getExpectedVersion(prefix));
      differences.set(prefix, difference);
      if (clock.now() - difference.since >= MAX_DIFFERENCE_MS) {
        refresh(watcher);
      }
    }
  }

  /** While objects keep changing, states differ all the time; one that follows the changes is not stale. */
  function findDifference(watcher: PrefixWatcher, expectedVersion: Version): Difference {
    const known = differences.get(watcher.prefix);
    const version = watcher.getVersion();
    const hasFollowed = known !== undefined && version >= known.version && version < expectedVersion;
    return known === undefined || hasFollowed ? { since: clock.now(), version: expectedVersion } : known;
  }

  function refresh(watcher: PrefixWatcher): void {
    const last = refreshedAt.get(watcher.prefix) ?? Number.NEGATIVE_INFINITY;
    if (clock.now() - last >= REFRESH_INTERVAL_MS) {
      refreshedAt.set(watcher.prefix, clock.now());
      watcher.refresh();
    }
  }

  /**
   * The digests of the state that this daemon has read anew since it became the coordinator. Those of a watcher whose
   * call is unanswered are left out: they would confirm a state that may be old.
   */
  function computeReferenceDigests(): Digests {
    const since = coordinatingSince ?? Number.POSITIVE_INFINITY;
    const current = watchers.filter((watcher) => watcher.isAnswered() && watcher.getCurrentAt() >= since);
    return Object.fromEntries(current.map((watcher) => [watcher.prefix, watcher.computeDigest()]));
  }

  function computeDigests(): Digests {
    return Object.fromEntries(watchers.map((watcher) => [watcher.prefix, watcher.computeDigest()]));
  }
}

/** Returns the value that more than half of the entries have; undefined when there is none. */
function findMajority(values: readonly (number | undefined)[]): number | undefined {
  return values.find((value) => values.filter((other) => other === value).length * 2 > values.length);
}
