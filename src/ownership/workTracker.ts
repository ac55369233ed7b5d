/** Counts the requests in flight and the load of each slot at one backend server. */
import type { Clock, Slot } from "../types";
import type { SlotLoads } from "./placement";

const MILLISECONDS_PER_SECOND = 1000;

/** Requests of one lease. */
export interface WorkTracker {
  /** Takes note of a request that is sent. */
  start(slot: Slot | undefined): void;
  /** Takes note of its end. */
  end(slot: Slot | undefined): void;
  /** Whether requests of a slot are in flight. */
  isWorking(slot: Slot): boolean;
  /** All requests in flight. */
  inFlight(): number;
  /** Requests per second of each slot since the last call. */
  takeSlotLoads(): SlotLoads;
}

/**
 * Creates a tracker.
 *
 * @param clock - Clock of the load.
 * @returns The tracker.
 */
export function createWorkTracker(clock: Clock): WorkTracker {
  const working = new Map<Slot, number>();
  const requests = new Map<Slot, number>();
  let inFlight = 0;
  let countedSince = clock.now();

  return {
    start: (slot) => {
      inFlight += 1;
      if (slot !== undefined) {
        working.set(slot, (working.get(slot) ?? 0) + 1);
        requests.set(slot, (requests.get(slot) ?? 0) + 1);
      }
    },
    end: (slot) => {
      inFlight -= 1;
      if (slot !== undefined) {
        endSlotWork(slot);
      }
    },
    isWorking: (slot) => working.has(slot),
    inFlight: () => inFlight,
    takeSlotLoads: () => {
      const seconds = Math.max((clock.now() - countedSince) / MILLISECONDS_PER_SECOND, 1);
      const loads = new Map([...requests].map(([slot, count]) => [slot, count / seconds]));
      requests.clear();
      countedSince = clock.now();
      return loads;
    },
  };

  function endSlotWork(slot: Slot): void {
    const remaining = (working.get(slot) ?? 0) - 1;
    if (remaining > 0) {
      working.set(slot, remaining);
    } else {
      working.delete(slot);
    }
  }
}
