/** Header fields that hemlockbank reads or writes. */
import type { IncomingHttpHeaders } from "node:http";
import { hopByHopHeaders } from "../http";

export { readHeader } from "../http";
import type { Headers } from "../types";

/** Names of header fields. */
export const HeaderName = {
  RequestId: "x-request-id",
  IdempotencyKey: "idempotency-key",
  /** Caller's longest wait in milliseconds. */
  Timeout: "x-hemlockbank-timeout-ms",
  Slot: "x-hemlockbank-slot",
  Epoch: "x-hemlockbank-epoch",
  Generation: "x-hemlockbank-generation",
  Outcome: "x-hemlockbank-outcome",
  Reason: "x-hemlockbank-reason",
  Cold: "x-hemlockbank-cold",
} as const;

const noFields: ReadonlySet<string> = new Set();

/** Fields that only hemlockbank may set on requests. */
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
 * Removes fields that concern one connection only or are set by hemlockbank.
 *
 * @param headers - Fields as received.
 * @returns Fields to pass on.
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
