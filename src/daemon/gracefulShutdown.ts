/** Shuts a daemon down without interrupting a request: hands over leases, completes requests, then stops. */
import { Event, type Logger } from "../observability";
import type { Membership } from "../membership";
import { type LeaseManager, chooseSuccessor } from "../ownership";
import type { Peers } from "../peers";
import type { CallerServer, LeaseholderDispatcher } from "../routing";
import type { SnapshotStore } from "../snapshots";
import { type Clock, sleep } from "../types";

const HANDOVER_RETRY_MS = 500;
/** Part of the shutdown that waits for the handover; the rest is for requests in flight. */
const HANDOVER_SHARE = 0.5;
/** Time for load balancers to notice that the daemon is no longer ready. */
const LAME_DUCK_MS = 1000;
const IDLE_CHECK_MS = 20;

/** Options for {@link shutDownGracefully}. */
export interface GracefulShutdownOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly membership: Membership;
  readonly snapshots: SnapshotStore;
  readonly leases: LeaseManager;
  readonly callers: CallerServer;
  readonly dispatcher: LeaseholderDispatcher;
  readonly peers: Pick<Peers, "countUnfinished" | "readArrived">;
  /** Maximum duration of the shutdown in milliseconds. */
  readonly timeoutMs: number;
  readonly logHandoverError: (error: unknown) => void;
  /** Stops the remaining subsystems; called when no request is in flight or the deadline has passed. */
  readonly stopSubsystems: () => Promise<void>;
}

/**
 * Shuts a daemon down.
 *
 * @param options - The subsystems to shut down and the timeout.
 */
export async function shutDownGracefully(options: GracefulShutdownOptions): Promise<void> {
  const { clock, logger, membership, callers } = options;
  const deadlineAt = clock.now() + options.timeoutMs;
  logger.log(Event.ShutdownStarted);
  membership.setLeaving();
  callers.drain(deadlineAt);
  options.dispatcher.drain(deadlineAt);
  const handover = new AbortController();
  await Promise.race([
    handOverLeases(options, handover.signal),
    sleep(clock, options.timeoutMs * HANDOVER_SHARE, handover.signal),
  ]);
  await sleep(clock, Math.min(LAME_DUCK_MS, deadlineAt - clock.now()));
  // At once: one slow caller must not keep the listener and the connections of others open.
  await Promise.race([callers.close(), sleep(clock, deadlineAt - clock.now(), handover.signal)]);
  await waitUntilIdle(options, deadlineAt);
  handover.abort();
  await options.leases.stop();
  membership.leave();
  // The datagrams of `leave` must be sent before the socket is closed.
  await sleep(clock, IDLE_CHECK_MS);
  // Requests that other daemons have sent in the meantime are refused as not run, since the leases have ended.
  await options.peers.readArrived();
  if (clock.now() <= deadlineAt) {
    await waitUntilIdle(options, deadlineAt);
  }
  await options.stopSubsystems();
  logger.log(Event.ShutdownFinished);
}

/**
 * Hands over all leases. While the platform is unavailable, the daemon keeps its leases, goes on serving and
 * retries until aborted, which is when its requests have ended.
 */
async function handOverLeases(options: GracefulShutdownOptions, signal: AbortSignal): Promise<void> {
  const { clock, leases, membership, snapshots } = options;
  while (!signal.aborted) {
    const servers = leases.all().map((lease) => lease.server);
    try {
      await leases.handOver(servers, (server) => chooseSuccessor({ leases, membership, snapshots }, server));
      return;
    } catch (error) {
      options.logHandoverError(error);
      await sleep(clock, HANDOVER_RETRY_MS, signal);
    }
  }
}

async function waitUntilIdle(options: GracefulShutdownOptions, deadlineAt: number): Promise<void> {
  const { clock, callers, dispatcher, peers, logger } = options;
  while (callers.countInFlight() > 0 || dispatcher.countInFlight() > 0 || peers.countUnfinished() > 0) {
    if (clock.now() > deadlineAt) {
      logger.log(Event.ShutdownDeadlineExceeded, {
        callers: callers.countInFlight(),
        requests: dispatcher.countInFlight(),
        peers: peers.countUnfinished(),
      });
      return;
    }
    await sleep(clock, IDLE_CHECK_MS);
  }
}
