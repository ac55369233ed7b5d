/** Remembers the largest number of daemons, so that cut-off ones keep their shares of the allowances. */
import type { Clock } from "../../types";

/** Daemons that were counted within this time still count: a partition may last this long. */
const MEMORY_MS = 300_000;

/** The largest number of daemons of the last minutes. */
export interface LargestSize {
  /** Returns the number; undefined while none was counted. */
  find(): number | undefined;
}

/**
 * Creates the record.
 *
 * @param clock - Clock that the memory is measured by.
 * @param findCounted - Returns the present number of daemons; undefined while it is not known.
 * @returns The record, which must be read more often than the memory lasts.
 */
export function createLargestSize(clock: Clock, findCounted: () => number | undefined): LargestSize {
  let since = clock.now();
  let previous: number | undefined;
  let current: number | undefined;

  return {
    find: () => {
      if (clock.now() - since >= MEMORY_MS) {
        since = clock.now();
        previous = current;
        current = undefined;
      }
      current = max(current, findCounted());
      return max(previous, current);
    },
  };
}

function max(left: number | undefined, right: number | undefined): number | undefined {
  return left === undefined || right === undefined ? (left ?? right) : Math.max(left, right);
}
