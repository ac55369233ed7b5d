/** Stops a gateway without cutting off a request. */
import { Event, type Logger } from "../observability";
import { type Clock, sleep } from "../types";
import type { Entry } from "./entry";

/** The balancer takes a daemon out after two probes a second apart; new connections may come until then. */
const LAME_DUCK_MS = 2500;
const IDLE_CHECK_MS = 50;
/** Kept from the grace period for the end of the process itself. */
const EXIT_MARGIN_MS = 300;

/** What a graceful stop needs. */
export interface GracefulStopOptions {
  readonly entry: Entry;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Time from the stop signal to the end of the process. */
  readonly gracePeriodMs: number;
  /** Leaves the coordination of keys to another daemon. */
  readonly resign: () => Promise<void>;
}

/**
 * Serves on until no request is left, or the grace period is over.
 *
 * @param options - Entry, clock and times.
 */
export async function stopGracefully(options: GracefulStopOptions): Promise<void> {
  const { entry, clock, logger } = options;
  const startedAt = clock.now();
  logger.log(Event.ShutdownStarted, { inFlight: entry.inFlight() });
  entry.drain();
  await options.resign();
  await sleep(clock, LAME_DUCK_MS);
  entry.close();
  await waitUntilIdle(options, startedAt + options.gracePeriodMs - EXIT_MARGIN_MS);
  logger.log(entry.inFlight() === 0 ? Event.ShutdownFinished : Event.ShutdownDeadline, {
    inFlight: entry.inFlight(),
    tookMs: Math.round(clock.now() - startedAt),
  });
}

async function waitUntilIdle({ entry, clock }: GracefulStopOptions, endAt: number): Promise<void> {
  while (clock.now() < endAt) {
    entry.closeIdle();
    if (entry.inFlight() === 0 && (await entry.connections()) === 0) {
      return;
    }
    await sleep(clock, IDLE_CHECK_MS);
  }
}
