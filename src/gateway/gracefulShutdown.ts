/** Shuts a gateway down without interrupting a request. */
import { Event, type EventDetail, type Logger } from "../observability";
import { type Clock, sleep } from "../types";
import type { ProcessDelay } from "./admission";
import type { CallerListener } from "./callers";

/**
 * Time for which new connections are still accepted: the load balancer removes a daemon after two failed
 * readiness probes one second apart, and connects to it until then.
 */
const LAME_DUCK_MS = 2500;
const IDLE_CHECK_MS = 50;
/** Part of the grace period that is reserved for the exit of the process itself. */
const EXIT_MARGIN_MS = 300;
/** Timers that run before the exit of the process: that of the last check, and that of the last log lines. */
const TIMERS_BEFORE_EXIT = 2;
/**
 * Maximum time by which a daemon that is short of processor time ends earlier. With the margin above it is less than the
 * last sixth of a grace period of 6 s, until which answers of backend servers are passed on.
 */
const MAX_DELAY_MARGIN_MS = 600;
/** Maximum log lines about single requests that the exit cuts off. */
const MAX_CUT_REQUESTS_LOGGED = 20;

/** Options for {@link shutDownGracefully}. */
export interface GracefulShutdownOptions {
  readonly callerListener: CallerListener;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Maximum time from the stop signal to the exit of the process, in milliseconds. */
  readonly gracePeriodMs: number;
  /** Resigns as coordinator, so that another daemon can take over; not waited for, since the store may not answer. */
  readonly resign: () => Promise<void>;
}

/**
 * Shuts down: keeps serving until no request is left or the grace period is over.
 *
 * @param options - Listener, clock and grace period.
 */
export async function shutDownGracefully(options: GracefulShutdownOptions): Promise<void> {
  const { callerListener, clock, logger } = options;
  const startedAt = clock.now();
  const exitAt = startedAt + options.gracePeriodMs - EXIT_MARGIN_MS;
  logger.log(Event.ShutdownStarted, describeLoad());
  const processDelay = callerListener.drain(exitAt);
  void options.resign();
  await sleep(clock, LAME_DUCK_MS);
  // Where connections arrive as fast as they are accepted, some always wait.
  await callerListener.close(exitAt - MAX_DELAY_MARGIN_MS);
  logger.log(Event.ShutdownListenerClosed, {
    ...describeLoad(),
    afterMs: getElapsedMs(),
    delayMs: Math.round(processDelay.getDelayMs()),
  });
  await waitUntilIdle(options, exitAt, processDelay);
  logger.log(callerListener.countPending() === 0 ? Event.ShutdownFinished : Event.ShutdownDeadlineExceeded, {
    ...describeLoad(),
    tookMs: getElapsedMs(),
    delayMs: Math.round(processDelay.getDelayMs()),
  });
  logCutRequests();

  function describeLoad(): EventDetail {
    const pending = callerListener.listPending();
    const unwritten = pending.filter(({ isAnswered }) => isAnswered).length;
    return {
      inFlight: pending.length - unwritten,
      unwritten,
      connections: callerListener.countConnections(),
    };
  }

  function getElapsedMs(): number {
    return Math.round(clock.now() - startedAt);
  }

  function logCutRequests(): void {
    for (const { requestId, arrivedAt, isAnswered } of callerListener
      .listPending()
      .slice(0, MAX_CUT_REQUESTS_LOGGED)) {
      const heldMs = Math.round(clock.now() - arrivedAt);
      logger.log(Event.RequestCut, { requestId, isAnswered, heldMs, sinceStopMs: getElapsedMs() });
    }
  }
}

async function waitUntilIdle(
  { callerListener, clock }: GracefulShutdownOptions,
  deadlineAt: number,
  processDelay: ProcessDelay,
): Promise<void> {
  while (clock.now() + getDelayMarginMs(processDelay) < deadlineAt) {
    await callerListener.closeIdle();
    if (callerListener.countPending() === 0 && callerListener.countConnections() === 0) {
      return;
    }
    await sleep(clock, IDLE_CHECK_MS);
  }
}

function getDelayMarginMs(processDelay: ProcessDelay): number {
  return Math.min(MAX_DELAY_MARGIN_MS, TIMERS_BEFORE_EXIT * processDelay.getDelayMs());
}
