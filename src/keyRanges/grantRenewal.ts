/** Renewal of the grants by which backend servers hold their ranges. */
import type { DiscoveredServer } from "../discovery";
import { Event, type Logger } from "../observability";
import type { Clock } from "../types";
import type { GrantLedger } from "./grantLedger";
import { type Holding, HoldingPhase } from "./holdings";
import type { GrantResult, KeyControl } from "./types";

/** Bounds how long the keys of a lost server stay with it; long enough to elect another coordinator. */
const GRANT_DURATION_MS = 4000;
/** Leaves enough time to elect another coordinator before a grant expires. */
const RENEWAL_INTERVAL_MS = 1200;
/**
 * If the object store has not answered for this long, an outage is likely, and grants are sent with the
 * longest duration to outlast it.
 */
const OUTAGE_THRESHOLD_MS = 1100;
/** A grant that took longer than this is logged. */
const SLOW_GRANT_MS = 250;
/** Pause before a grant that was not sent or not answered is sent again. */
const RETRY_DELAY_MS = 400;

/** Options for {@link renewGrant}. */
export interface RenewalOptions {
  readonly control: KeyControl;
  readonly ledger: GrantLedger;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly isCoordinator: () => boolean;
  /**
   * Returns the time since the object store last answered this daemon's renewal of its lease, in
   * milliseconds.
   */
  readonly getStoreSilenceMs: () => number;
  readonly maxGrantMs: number;
}

/** Result of the renewal of a grant. */
export const RenewalResult = {
  /** The renewal was answered, was not due, or will be tried again. */
  Continues: "continues",
  /** The server has seen a higher fencing token. */
  Fenced: "fenced",
  /** The server's process has ended. */
  ServerEnded: "server-ended",
} as const;
export type RenewalResult = (typeof RenewalResult)[keyof typeof RenewalResult];

/**
 * Sends or renews a grant if that is due and no other server can hold the keys.
 *
 * @param holding - The range and the state of its grants, which is updated.
 * @param server - Owner of the range.
 * @param options - Key control, ledger and limits.
 * @returns What the result means for the holding.
 */
export async function renewGrant(
  holding: Holding,
  server: DiscoveredServer,
  options: RenewalOptions,
): Promise<RenewalResult> {
  const { range } = holding;
  const { clock, ledger } = options;
  const now = clock.now();
  const isOutage = options.getStoreSilenceMs() > OUTAGE_THRESHOLD_MS;
  if (!isRenewalDue(holding, now, isOutage) || !options.isCoordinator()) {
    return RenewalResult.Continues;
  }
  if (ledger.getFreeAt(range, range.server) > now) {
    return RenewalResult.Continues;
  }
  const durationMs = isOutage ? options.maxGrantMs : Math.min(GRANT_DURATION_MS, options.maxGrantMs);
  const record = ledger.begin(range, range.server, durationMs);
  holding.sentAt = now;
  holding.retryAt = Number.POSITIVE_INFINITY;
  holding.isGrantInFlight = true;
  holding.isOutageGrant = isOutage;
  const { from, to, token } = range;
  const grant = { from, to, token, durationMs, handover: holding.handover };
  // The keys may be released, and given to another server, while the connection is being made.
  const isPermitted = () => options.isCoordinator() && holding.phase === HoldingPhase.Held;
  const result = await options.control.grant(server, grant, isPermitted).finally(() => {
    holding.isGrantInFlight = false;
  });
  if (result.kind === "notSent") {
    record.cancel();
  } else {
    record.end();
  }
  logSlowGrant(holding, options, clock.now() - now, result);
  switch (result.kind) {
    case "granted":
      holding.handover = null;
      return RenewalResult.Continues;
    case "fenced":
      options.logger.log(Event.GrantFenced, { server: range.server, from, to, token });
      return RenewalResult.Fenced;
    case "misdirected":
      logFailure(holding, options, result.kind);
      return RenewalResult.ServerEnded;
    case "notSent":
      holding.retryAt = clock.now() + RETRY_DELAY_MS;
      logFailure(holding, options, result.detail);
      return RenewalResult.Continues;
    case "unanswered":
      holding.retryAt = clock.now() + RETRY_DELAY_MS;
      logFailure(holding, options, result.detail);
      return RenewalResult.Continues;
    default:
      return result satisfies never;
  }
}

function isRenewalDue(holding: Holding, now: number, isOutage: boolean): boolean {
  const isDue =
    now - holding.sentAt >= RENEWAL_INTERVAL_MS ||
    holding.retryAt <= now ||
    (isOutage && !holding.isOutageGrant);
  return isDue && !holding.isGrantInFlight && holding.phase === HoldingPhase.Held;
}

/** A grant counts from its arrival at the server, which may be as late as its answer. */
function logSlowGrant(
  { range }: Holding,
  options: RenewalOptions,
  tookMs: number,
  { kind }: GrantResult,
): void {
  if (tookMs >= SLOW_GRANT_MS) {
    const { server, from, to, token } = range;
    const isCoordinator = options.isCoordinator();
    options.logger.log(Event.GrantSlow, { server, from, to, token, tookMs, result: kind, isCoordinator });
  }
}

function logFailure(holding: Holding, options: RenewalOptions, detail: string): void {
  const { server, from, to, token } = holding.range;
  options.logger.log(Event.GrantFailed, { step: "grant", server, from, to, token, detail });
}
