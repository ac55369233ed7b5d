/** Tells how many daemons there are, by an entry of each in the object API. */
import { describeError } from "../errors";
import { CallPriority, type ObjectStore } from "../objectStore";
import { Event, type Logger } from "../observability";
import { type Clock, type DaemonRun, repeat, sleep } from "../types";

const PREFIX = "daemons/";
/** Daemons come and go rarely, and an old count does no harm: shares are then a little too small or large. */
const COUNT_MS = 10_000;
/** All daemons of a deployment have entries after this time. */
const FIRST_COUNT_MS = 4000;
/** Assumed until the first count: the size of today's deployments. */
const ASSUMED_SIZE = 12;

/** What the count is made from. */
export interface FleetSizeOptions {
  readonly objects: ObjectStore;
  readonly self: DaemonRun;
  readonly clock: Clock;
  readonly random: () => number;
  readonly logger: Logger;
}

/** The number of daemons. */
export interface FleetSize {
  /** Daemons that have an entry. */
  size(): number;
  /** Writes this daemon's entry and counts all entries, until aborted. */
  run(signal: AbortSignal): Promise<void>;
}

/**
 * Creates the count.
 *
 * @param options - Store and clock.
 * @returns The count.
 */
export function createFleetSize(options: FleetSizeOptions): FleetSize {
  const { objects, self, clock, logger } = options;
  let size = ASSUMED_SIZE;
  let isEntered = false;

  return {
    size: () => size,
    run: async (signal) => {
      await enter();
      await sleep(clock, FIRST_COUNT_MS * (1 + options.random()), signal);
      await repeat(clock, COUNT_MS, signal, count);
    },
  };

  /** The entry of an earlier process of this daemon serves as well. */
  async function enter(): Promise<void> {
    try {
      await objects.write(
        `${PREFIX}${self.daemon}`,
        { incarnation: self.incarnation },
        0,
        CallPriority.Status,
      );
      isEntered = true;
    } catch (error) {
      logger.log(Event.PlatformUnavailable, { prefix: PREFIX, error: describeError(error) });
    }
  }

  async function count(): Promise<void> {
    if (!isEntered) {
      await enter();
    }
    try {
      const listed = await objects.list(PREFIX, CallPriority.Status);
      size = Math.max(1, listed.objects.length);
    } catch (error) {
      logger.log(Event.PlatformUnavailable, { prefix: PREFIX, error: describeError(error) });
    }
  }
}
