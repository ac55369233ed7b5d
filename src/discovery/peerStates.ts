/** States that daemons send to the coordinator. */
import type { Address, Clock, DaemonName } from "../types";
import type { DaemonState, Digests } from "./freshnessMessages";

/** A daemon that has not heard from the coordinator for this long polls the object store on its own. */
export const CONTACT_TIMEOUT_MS = 1300;
/**
 * Daemons heard from within this time are counted, so that one that restarts or is cut off keeps its share of
 * the cluster-wide limits.
 */
const COUNT_WINDOW_MS = 10_000;

/** State that another daemon sent. */
interface PeerState extends DaemonState {
  readonly receivedAt: number;
}

/** States that other daemons sent to this one. */
export interface PeerStates {
  /** Records a daemon's state in place of its previous one. */
  record(state: DaemonState): void;
  /** Returns the digests of the daemons that were heard from within the contact timeout. */
  getDigests(): readonly Digests[];
  /** Returns the addresses of the daemons that were heard from within the contact timeout. */
  getAddresses(): readonly Address[];
  /** Returns the number of daemons that were heard from within the count window. */
  count(): number;
  /** Returns the number of daemons that were heard from within the given time. */
  countWithin(maxAgeMs: number): number;
  /** Returns the largest processor capacity received within the contact timeout, in cores; 0 without any. */
  getLargestProcessors(): number;
}

/**
 * Creates an empty record of peer states.
 *
 * @param clock - Clock that measures the age of the states.
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
    countWithin: (maxAgeMs) => getReceivedWithin(maxAgeMs).length,
    count: () => getReceivedWithin(COUNT_WINDOW_MS).length,
    getLargestProcessors: () => Math.max(0, ...getRecent().map((state) => state.processors)),
  };
}
