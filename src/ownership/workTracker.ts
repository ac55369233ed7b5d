/** Counts the requests in flight and measures the load of each slot at one backend server. */
import type { Clock, Slot } from "../types";
import type { SlotLoads } from "./placement";

const MILLISECONDS_PER_SECOND = 1000;

/** Tracks the requests of one lease. */
export interface WorkTracker {
  /** Records the start of a request. */
  start(slot: Slot | undefined): void;
  /** Records the end of a request. */
  end(slot: Slot | undefined): void;
  /** Returns whether requests of a slot are in flight. */
  hasRequestsInFlight(slot: Slot): boolean;
  /** Returns the number of all requests in flight. */
  countInFlight(): number;
  /** Returns the requests per second of each slot since the last call, and starts a new count. */
  consumeSlotLoads(): SlotLoads;
}

/**
 * Creates a work tracker.
 *
 * @param clock - Clock for measuring the load.
 * @returns The work tracker.
 */
export function createWorkTracker(clock: Clock): WorkTracker {
  const inFlightBySlot = new Map<Slot, number>();
  const requestsBySlot = new Map<Slot, number>();
  let inFlight = 0;
  let lastResetAt = clock.now();

  return {
    start: (slot) => {
      inFlight += 1;
      if (slot !== undefined) {
        inFlightBySlot.set(slot, (inFlightBySlot.get(slot) ?? 0) + 1);
        requestsBySlot.set(slot, (requestsBySlot.get(slot) ?? 0) + 1);
      }
    },
    end: (slot) => {
      inFlight -= 1;
      if (slot !== undefined) {
        decrementInFlight(slot);
      }
    },
    hasRequestsInFlight: (slot) => inFlightBySlot.has(slot),
    countInFlight: () => inFlight,
    consumeSlotLoads: () => {
      const seconds = Math.max((clock.now() - lastResetAt) / MILLISECONDS_PER_SECOND, 1);
      const loads = new Map([...requestsBySlot].map(([slot, count]) => [slot, count / seconds]));
      requestsBySlot.clear();
      lastResetAt = clock.now();
      return loads;
    },
  };

  function decrementInFlight(slot: Slot): void {
    const remaining = (inFlightBySlot.get(slot) ?? 0) - 1;
    if (remaining > 0) {
      inFlightBySlot.set(slot, remaining);
    } else {
      inFlightBySlot.delete(slot);
    }
  }
}
