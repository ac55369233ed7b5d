/** Stops a gateway without cutting off a request. */
import { Event, type Logger } from "../observability";
import { type Clock, sleep } from "../types";
import type { CallerListener } from "./callerListener";

/** The balancer takes a daemon out after two probes a second apart; new connections may come until then. */
const LAME_DUCK_MS = 2500;
const IDLE_CHECK_MS = 50;
/** Kept from the grace period for the end of the process itself. */
const EXIT_MARGIN_MS = 300;

/** What a graceful stop needs. */
export interface GracefulShutdownOptions {
  readonly callerListener: CallerListener;
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
export async function shutDownGracefully(options: GracefulShutdownOptions): Promise<void> {
  const { callerListener, clock, logger } = options;
  const startedAt = clock.now();
  logger.log(Event.ShutdownStarted, { inFlight: callerListener.countInFlight() });
  callerListener.drain();
  await options.resign();
  await sleep(clock, LAME_DUCK_MS);
  callerListener.close();
  await waitUntilIdle(options, startedAt + options.gracePeriodMs - EXIT_MARGIN_MS);
  logger.log(callerListener.countInFlight() === 0 ? Event.ShutdownFinished : Event.ShutdownDeadlineExceeded, {
    inFlight: callerListener.countInFlight(),
    tookMs: Math.round(clock.now() - startedAt),
  });
}

async function waitUntilIdle(
  { callerListener, clock }: GracefulShutdownOptions,
  deadlineAt: number,
): Promise<void> {
  while (clock.now() < deadlineAt) {
    callerListener.closeIdle();
    if (callerListener.countInFlight() === 0 && (await callerListener.countConnections()) === 0) {
      return;
    }
    await sleep(clock, IDLE_CHECK_MS);
  }
}
