/** Header fields that hemlockbank reads or writes. */
import type { IncomingHttpHeaders } from "node:http";
import { hopByHopHeaders } from "../http";

export { readHeader } from "../http";
import type { Headers } from "../types";

/** Names of the header fields in lower case. */
export const HeaderName = {
  RequestId: "x-request-id",
  IdempotencyKey: "idempotency-key",
  /** Timeout of the request in milliseconds; towards a backend server, the time that is left of it. */
  Timeout: "x-hemlockbank-timeout-ms",
  Slot: "x-hemlockbank-slot",
  Epoch: "x-hemlockbank-epoch",
  Generation: "x-hemlockbank-generation",
  Outcome: "x-hemlockbank-outcome",
  Reason: "x-hemlockbank-reason",
  Cold: "x-hemlockbank-cold",
} as const;

const noFields: ReadonlySet<string> = new Set();

/** Fields that only hemlockbank may set; received ones are not forwarded. */
const reservedHeaders = new Set<string>([
  HeaderName.Slot,
  HeaderName.Epoch,
  HeaderName.Generation,
  HeaderName.Outcome,
  HeaderName.Reason,
  HeaderName.Cold,
  HeaderName.Timeout,
]);

/**
 * Selects the header fields to forward: all but hop-by-hop ones and those that only hemlockbank may set.
 *
 * @param headers - Header fields as received.
 * @returns Header fields to forward.
 */
export function selectForwardedHeaders(headers: IncomingHttpHeaders): Headers {
  const connectionNames = listConnectionFields(headers.connection);
  const selected: Record<string, string | string[]> = {};
  for (const [name, value] of Object.entries(headers)) {
    if (
      value !== undefined &&
      !hopByHopHeaders.has(name) &&
      !reservedHeaders.has(name) &&
      !connectionNames.has(name)
    ) {
      selected[name] = value;
    }
  }
  return selected;
}

function listConnectionFields(connection: string | undefined): ReadonlySet<string> {
  if (connection === undefined || connection === "keep-alive" || connection === "close") {
    return noFields;
  }
  return new Set(connection.split(",").map((name) => name.trim().toLowerCase()));
}
