/** Member table: merges updates about members and selects which ones to gossip. */
import type { DaemonName } from "../types";
import { type Member, MemberStatus } from "./types";

/**
 * An update is gossiped at most this many times the rounded-up binary logarithm of the table size plus one.
 */
const RETRANSMIT_MULTIPLIER = 3;

const statusRank: Readonly<Record<MemberStatus, number>> = {
  alive: 0,
  suspect: 1,
  dead: 2,
  left: 3,
};

/** Known members and the updates still to be gossiped. */
export interface MemberTable {
  /** Returns the known state of a daemon. */
  get(daemon: DaemonName): Member | undefined;
  /** Returns all known members. */
  all(): readonly Member[];
  /** Merges an update. Returns true when it was newer than the known state. */
  merge(update: Member): boolean;
  /** Removes a member. */
  remove(daemon: DaemonName): void;
  /** Returns at most `limit` of the least transmitted updates, and counts them as transmitted once more. */
  selectGossip(limit: number): readonly Member[];
}

/**
 * Returns whether one update about a daemon supersedes another.
 *
 * @param next - The received update.
 * @param known - The known state.
 * @returns True when `next` supersedes `known`.
 */
export function isNewerUpdate(next: Member, known: Member): boolean {
  if (next.incarnation !== known.incarnation) {
    return next.incarnation > known.incarnation;
  }
  if (known.status === MemberStatus.Left) {
    return false;
  }
  if (next.status === MemberStatus.Left) {
    return true;
  }
  if (next.refutation !== known.refutation) {
    return next.refutation > known.refutation;
  }
  return statusRank[next.status] > statusRank[known.status];
}

/**
 * Creates an empty member table.
 *
 * @returns The table.
 */
export function createMemberTable(): MemberTable {
  const members = new Map<DaemonName, Member>();
  const transmissions = new Map<DaemonName, number>();

  return {
    get: (daemon) => members.get(daemon),
    all: () => [...members.values()],
    merge: (update) => {
      const known = members.get(update.daemon);
      if (known !== undefined && !isNewerUpdate(update, known)) {
        return false;
      }
      members.set(update.daemon, update);
      transmissions.set(update.daemon, 0);
      return true;
    },
    remove: (daemon) => {
      members.delete(daemon);
      transmissions.delete(daemon);
    },
    selectGossip: (limit) => {
      const maxTransmissions = RETRANSMIT_MULTIPLIER * Math.ceil(Math.log2(members.size + 1));
      const selected = [...transmissions].sort(([, left], [, right]) => left - right).slice(0, limit);
      for (const [daemon, count] of selected) {
        recordTransmission(daemon, count + 1, maxTransmissions);
      }
      return selected.flatMap(([daemon]) => members.get(daemon) ?? []);
    },
  };

  function recordTransmission(daemon: DaemonName, count: number, limit: number): void {
    if (count >= limit) {
      transmissions.delete(daemon);
    } else {
      transmissions.set(daemon, count);
    }
  }
}
