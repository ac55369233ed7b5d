/** Takes keys back from their owner: by a release that it answers, or by waiting until it cannot hold them any longer. */
import type { DiscoveredServer } from "../discovery";
import { Event, type Logger } from "../observability";
import { type Clock, type ServiceName, sleep } from "../types";
import type { GrantLedger } from "./grantLedger";
import type { Holding } from "./holdings";
import type { KeyControl } from "./types";

/** Pause before a release that got no answer is sent again. */
const RELEASE_RETRY_DELAY_MS = 400;

/** What taking back needs. */
export interface ReclaimOptions {
  readonly service: ServiceName;
  readonly control: KeyControl;
  readonly ledger: GrantLedger;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly isCoordinator: () => boolean;
  /** The process that runs under the owner's name, or ran there last; undefined when none was ever seen. */
  readonly findServer: (holding: Holding) => DiscoveredServer | undefined;
  /** Gives out a fencing token above all earlier ones. */
  readonly allocateToken: () => number;
  /** Whether the keys are still to be taken back. */
  readonly isReclaimNeeded: (holding: Holding) => boolean;
}

/** Keys that nobody holds any more. */
export interface ReclaimedKeys {
  /** What the owner left for the next one; null when there is nothing. */
  readonly handover: string | null;
}

/**
 * Takes keys back.
 *
 * @param holding - The keys and their owner.
 * @param options - Ports and callbacks.
 * @param signal - Ends the attempt.
 * @returns The keys as soon as nobody holds them; undefined when that is not wanted any more.
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
      return { handover: null };
    }
    // A process that was started again under the same name is asked too: it may have taken a renewal.
    const reclaimed = await release(holding, options.findServer(holding), options);
    if (reclaimed !== undefined) {
      ledger.clear(range, range.server);
      return reclaimed;
    }
    await sleep(clock, Math.min(RELEASE_RETRY_DELAY_MS, Math.max(1, heldUntil - clock.now())), signal);
  }
  return undefined;
}

/** Returns undefined when the owner has not answered. */
async function release(
  holding: Holding,
  server: DiscoveredServer | undefined,
  options: ReclaimOptions,
): Promise<ReclaimedKeys | undefined> {
  const { service, logger } = options;
  if (server === undefined || !options.isCoordinator()) {
    return undefined;
  }
  // Under a token above that of the grant, so that a grant which is still on its way is refused.
  const token = options.allocateToken();
  const { from, to } = holding.range;
  const result = await options.control.release(server, holding.range, token);
  const detail = { service, server: server.name, from, to, token };
  switch (result.kind) {
    case "misdirected":
      return { handover: null };
    case "released":
      logger.log(Event.RangesReleased, detail);
      return { handover: result.handover };
    case "unanswered":
      logger.log(Event.GrantFailed, { step: "release", ...detail, detail: result.detail });
      return undefined;
    default:
      return result satisfies never;
  }
}
