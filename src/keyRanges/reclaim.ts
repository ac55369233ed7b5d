/** Reclaims keys from their owner by a release that it answers, or by waiting until its grants expire. */
import type { DiscoveredServer } from "../discovery";
import { Event, type Logger } from "../observability";
import { type Clock, type ServiceName, sleep } from "../types";
import type { GrantLedger } from "./grantLedger";
import { FreedBy, type Holding } from "./holdings";
import type { KeyControl } from "./types";

/** Pause before an unanswered release is sent again. */
const RELEASE_RETRY_DELAY_MS = 400;

/** Options for {@link reclaimKeys}. */
export interface ReclaimOptions {
  readonly service: ServiceName;
  readonly control: KeyControl;
  readonly ledger: GrantLedger;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly isCoordinator: () => boolean;
  /** Returns the process that runs, or last ran, under the owner's name; undefined if none was ever seen. */
  readonly findServer: (holding: Holding) => DiscoveredServer | undefined;
  /** Issues a fencing token above all earlier ones. */
  readonly allocateToken: () => number;
  /** Returns whether the keys still have to be reclaimed. */
  readonly isReclaimNeeded: (holding: Holding) => boolean;
}

/** Result of reclaiming keys that no server holds any more. */
export interface ReclaimedKeys {
  readonly by: FreedBy;
  /** Data that the owner left for the next one; null if there is none. */
  readonly handover: string | null;
}

/**
 * Reclaims keys from their owner.
 *
 * @param holding - The keys and their owner.
 * @param options - Key control, ledger and callbacks.
 * @param signal - Aborts the attempt.
 * @returns The result once no server holds the keys; undefined if aborted or no longer needed.
 */
export async function reclaimKeys(
  holding: Holding,
  options: ReclaimOptions,
  signal: AbortSignal,
): Promise<ReclaimedKeys | undefined> {
  const { clock, ledger } = options;
  const { range } = holding;
  while (!signal.aborted && options.isReclaimNeeded(holding)) {
    const heldUntil = ledger.getFreeAt(range, undefined);
    if (heldUntil <= clock.now()) {
      return { by: FreedBy.Expiry, handover: null };
    }
    // A process restarted under the same name gets the release too, since it may have received a renewal.
    const reclaimed = await release(holding, options.findServer(holding), options);
    if (reclaimed !== undefined) {
      ledger.clear(range, range.server);
      return reclaimed;
    }
    await sleep(clock, Math.min(RELEASE_RETRY_DELAY_MS, Math.max(1, heldUntil - clock.now())), signal);
  }
  return undefined;
}

/** Sends one release; returns undefined if it was not sent or not answered. */
async function release(
  holding: Holding,
  server: DiscoveredServer | undefined,
  options: ReclaimOptions,
): Promise<ReclaimedKeys | undefined> {
  const { service, logger } = options;
  if (server === undefined || !options.isCoordinator()) {
    return undefined;
  }
  // The token is above that of the grant, so that the server refuses a grant that is still in flight.
  const token = options.allocateToken();
  const { from, to } = holding.range;
  const result = await options.control.release(server, holding.range, token);
  const detail = { service, server: server.name, from, to, token };
  switch (result.kind) {
    case "misdirected":
      return { by: FreedBy.ProcessEnd, handover: null };
    case "released":
      logger.log(Event.RangesReleased, detail);
      return { by: FreedBy.Release, handover: result.handover };
    case "unanswered":
      logger.log(Event.GrantFailed, { step: "release", ...detail, detail: result.detail });
      return undefined;
    default:
      return result satisfies never;
  }
}
