/**
 * Distributes changes of stored state through the coordinator: the coordinator sends each change that it reads to all
 * daemons, and they keep no watches of their own as long as it confirms their state. The confirmation is what counts:
 * a daemon whose state has not been confirmed for {@link MAX_UNCONFIRMED_MS} reads from the store, whatever the reason.
 */
import type { DatagramChannel } from "../membership";
import { type Counters, Event, type Logger } from "../observability";
import { type Address, type Clock, type Version, sleep } from "../types";
import {
  ChangeVerdict,
  type Confirmation,
  ConfirmationVerdict,
  MAX_UNCONFIRMED_MS,
  MIN_DISTRIBUTION_SIZE,
  MIN_DRAIN_MS,
  type StateChange,
  changeMessageSchema,
  judgeChange,
  judgeConfirmation,
} from "./stateChange";

const DATAGRAM_KIND = "stateChange";
/** Maximum size of a message between daemons. Larger changes are announced without their content. */
const MAX_CHANGE_BYTES = 8192;
/** Time over which daemons spread their reads after the contact to the coordinator was lost. */
const FALLBACK_SPREAD_MS = 250;
/** Time over which daemons spread their reads of a change that has only been announced. */
const ANNOUNCEMENT_SPREAD_MS = 200;
/** Interval at which a daemon checks whether it may still rely on the coordinator. */
const FOLLOW_CHECK_INTERVAL_MS = 100;

/** Why a daemon stopped relying on the coordinator for a prefix. */
export const FollowEnd = {
  /** The watcher has to read for a reason of its own, or this daemon is the coordinator. */
  Woken: "woken",
  /** A version was announced that this daemon has to read. */
  Announced: "announced",
  /** The coordinator answers, but has not confirmed the state for too long. */
  Unconfirmed: "unconfirmed",
  /** There is no contact to the coordinator. */
  NoContact: "no-contact",
} as const;
export type FollowEnd = (typeof FollowEnd)[keyof typeof FollowEnd];

/** The watcher of a prefix, as its follower uses it. */
export interface FollowedState {
  /** Returns the version up to which the changes are known; undefined before the first list. */
  findVersion(): Version | undefined;
  /** Applies a change to the known state. */
  apply(version: Version, content: NonNullable<StateChange["content"]>): void;
  /** Records that the state is still the same at a later version of the same timeline. */
  advance(version: Version): void;
  /** Records that the known state is recent enough, so that no read is due. */
  confirm(): void;
  /** Ends the wait of a pending stale watch, which is not needed while the coordinator is followed. */
  endStaleWatch(): void;
}

/** Distribution of the changes of one prefix, for the watcher of this prefix. */
export interface PrefixFollower {
  /** Sets the watcher that received changes and confirmations go to. */
  bind(state: FollowedState): void;
  /** Returns whether this daemon sends changes to the others. */
  isDistributing(): boolean;
  /** Returns whether the coordinator has confirmed the state recently, so that no watch is needed. */
  isFollowing(): boolean;
  /** Waits until the store has to be read, the follower is woken, or the signal is aborted. */
  follow(signal: AbortSignal): Promise<FollowEnd>;
  /** Ends a wait in {@link PrefixFollower.follow}. */
  wake(): void;
  /** Returns whether a version has been announced that is newer than the known one. */
  isBehind(): boolean;
  /** Records that the newest state was read. `currentAt` is the local time at which the store had it. */
  recordNewest(currentAt: number): void;
  /** Sends a change to the other daemons, if this daemon is the coordinator. */
  publish(change: StateChange): void;
}

/** Options for {@link createChangeFeed}. */
export interface ChangeFeedOptions {
  readonly channel: DatagramChannel;
  /** Returns the addresses of the daemons that have recently sent their state to this one. */
  readonly peers: () => readonly Address[];
  readonly isCoordinator: () => boolean;
  /** Returns whether the coordinator has replied within the contact timeout. */
  readonly isInContact: () => boolean;
  /** Returns the number of daemons as counted; undefined before. */
  readonly findCountedSize: () => number | undefined;
  /** Time after which a leaving server must get no new request, in milliseconds. */
  readonly drainMs: number;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly counters: Counters;
  readonly random: () => number;
}

/** Distribution of the changes of all prefixes. */
export interface ChangeFeed {
  /** Creates the follower of a prefix. */
  createFollower(prefix: string): PrefixFollower;
  /**
   * Returns the age of the state of each prefix in milliseconds, by prefix, for the other daemons. Empty unless this
   * daemon distributes changes.
   */
  getAges(): Readonly<Record<string, number>>;
  /** Records that the coordinator had the same state of a prefix as this daemon. */
  confirm(prefix: string, confirmation: Confirmation): void;
  /** Returns 1 for each prefix that is followed without a watch, and 0 for the others. */
  getFollowed(): Readonly<Record<string, number>>;
}

interface Follower extends PrefixFollower {
  receive(change: StateChange): void;
  confirm(confirmation: Confirmation): void;
  getCurrentAt(): number;
}

/**
 * Creates a feed.
 *
 * @param options - Channel, election and contact.
 * @returns The feed; it receives at once.
 */
export function createChangeFeed(options: ChangeFeedOptions): ChangeFeed {
  const { channel, clock, logger, counters, random } = options;
  const followers = new Map<string, Follower>();
  channel.receive(DATAGRAM_KIND, changeMessageSchema, ({ prefix, base, version, content }) => {
    if (!options.isCoordinator()) {
      followers.get(prefix)?.receive({ base, version, content });
    }
  });

  return {
    createFollower: (prefix) => {
      const follower = createFollower(prefix);
      followers.set(prefix, follower);
      return follower;
    },
    getAges: () =>
      isDistributing()
        ? Object.fromEntries(
            [...followers]
              .map(([prefix, follower]) => [prefix, clock.now() - follower.getCurrentAt()] as const)
              .filter(([, ageMs]) => Number.isFinite(ageMs)),
          )
        : {},
    confirm: (prefix, confirmation) => followers.get(prefix)?.confirm(confirmation),
    getFollowed: () =>
      Object.fromEntries(
        [...followers].map(([prefix, follower]) => [prefix, follower.isFollowing() ? 1 : 0]),
      ),
  };

  function isActive(): boolean {
    return options.drainMs >= MIN_DRAIN_MS && (options.findCountedSize() ?? 0) >= MIN_DISTRIBUTION_SIZE;
  }

  function isDistributing(): boolean {
    return options.isCoordinator() && isActive();
  }

  /** Packs a change with its content; returns undefined when that does not fit into a message. */
  function tryPack(prefix: string, change: StateChange): Uint8Array | undefined {
    if (change.content === null) {
      return undefined;
    }
    try {
      const packed = channel.pack(DATAGRAM_KIND, { prefix, ...change });
      return packed.length > MAX_CHANGE_BYTES ? undefined : packed;
    } catch {
      // A value that is nested too deeply exceeds the call stack.
      return undefined;
    }
  }

  function createFollower(prefix: string): Follower {
    let state: FollowedState | undefined;
    /** Local time at which the store is known to have had the state. */
    let currentAt = Number.NEGATIVE_INFINITY;
    /** Newest version that was announced or whose change could not be applied; 0 once the newest state was read. */
    let announced: Version = 0;
    let isLogged = false;
    let pending: AbortController | undefined;

    return {
      bind: (bound) => {
        state = bound;
      },
      isDistributing,
      isFollowing: () => findEnd() === undefined,
      follow,
      wake: () => {
        pending?.abort();
      },
      isBehind,
      recordNewest: (at) => {
        currentAt = Math.max(currentAt, at);
        announced = 0;
      },
      getCurrentAt: () => currentAt,
      publish,
      receive,
      confirm,
    };

    /** Returns why the coordinator cannot be followed now; undefined when it can. */
    function findEnd(): FollowEnd | undefined {
      if (options.isCoordinator()) {
        return FollowEnd.Woken;
      }
      if (isBehind()) {
        return FollowEnd.Announced;
      }
      if (!options.isInContact()) {
        return FollowEnd.NoContact;
      }
      const isConfirmed = clock.now() - currentAt < MAX_UNCONFIRMED_MS;
      return isConfirmed && isActive() ? undefined : FollowEnd.Unconfirmed;
    }

    function isBehind(): boolean {
      return announced > (state?.findVersion() ?? 0);
    }

    async function follow(signal: AbortSignal): Promise<FollowEnd> {
      const current = new AbortController();
      const abort = () => {
        current.abort();
      };
      pending = current;
      signal.addEventListener("abort", abort);
      if (!isLogged) {
        isLogged = true;
        logger.log(Event.CoordinatorFollowed, { prefix, version: state?.findVersion() });
      }
      const end = await waitForEnd(current.signal);
      signal.removeEventListener("abort", abort);
      pending = undefined;
      if (end === FollowEnd.Unconfirmed || end === FollowEnd.NoContact) {
        isLogged = false;
        counters.increment("distribution.fallbacks", end);
        const unconfirmedMs = Math.round(clock.now() - currentAt);
        logger.log(Event.CoordinatorNotFollowed, { prefix, reason: end, unconfirmedMs });
      }
      return end;
    }

    /** Waits for an end that still holds after a random part of the time over which the daemons spread their reads. */
    async function waitForEnd(signal: AbortSignal): Promise<FollowEnd> {
      while (!signal.aborted) {
        const end = findEnd();
        if (end === FollowEnd.Woken) {
          return end;
        }
        if (end === undefined) {
          const restMs = currentAt + MAX_UNCONFIRMED_MS - clock.now();
          await sleep(clock, Math.min(FOLLOW_CHECK_INTERVAL_MS, restMs), signal);
          continue;
        }
        const spreadMs = end === FollowEnd.Announced ? ANNOUNCEMENT_SPREAD_MS : FALLBACK_SPREAD_MS;
        await sleep(clock, random() * spreadMs, signal);
        const remaining = isAborted(signal) ? FollowEnd.Woken : findEnd();
        if (remaining !== undefined) {
          return remaining;
        }
      }
      return FollowEnd.Woken;
    }

    function publish(change: StateChange): void {
      if (!isDistributing()) {
        return;
      }
      const whole = tryPack(prefix, change);
      const message = whole ?? channel.pack(DATAGRAM_KIND, { prefix, ...change, content: null });
      const peers = options.peers();
      channel.sendPacked(peers, message);
      counters.increment("distribution.sent", whole === undefined ? "announced" : "whole", peers.length);
    }

    function receive(change: StateChange): void {
      const verdict = judgeChange(state?.findVersion(), change);
      counters.increment("distribution.received", verdict);
      switch (verdict) {
        case ChangeVerdict.Apply:
          if (change.content !== null) {
            state?.apply(change.version, change.content);
          }
          break;
        case ChangeVerdict.Read:
          announced = Math.max(announced, change.version);
          break;
        case ChangeVerdict.Ignore:
          break;
        default:
          verdict satisfies never;
      }
    }

    function confirm(confirmation: Confirmation): void {
      const verdict = judgeConfirmation(state?.findVersion(), confirmation, clock.now());
      switch (verdict) {
        case ConfirmationVerdict.Accept:
          currentAt = Math.max(currentAt, confirmation.at);
          state?.advance(confirmation.version);
          if (findEnd() === undefined) {
            state?.confirm();
            state?.endStaleWatch();
          }
          break;
        case ConfirmationVerdict.Read:
          announced = Math.max(announced, confirmation.version);
          break;
        case ConfirmationVerdict.Ignore:
          break;
        default:
          verdict satisfies never;
      }
    }
  }
}

/** Reads the flag anew: a wait may have passed since the last time. */
function isAborted(signal: AbortSignal): boolean {
  return signal.aborted;
}
