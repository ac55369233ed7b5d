/** Header fields and query parameters that the backend server stand-in reads. */
import type { IncomingMessage } from "node:http";

/** What a request says of itself. */
export interface Marks {
  readonly key: string;
  readonly slot: number;
  readonly epoch: number;
  readonly generation: number;
  readonly requestId: string;
  readonly callerId: string;
  readonly idempotencyKey: string;
  readonly timeoutMs: number;
  readonly bytes: number;
}

/**
 * Reads the marks of a request.
 *
 * @param request - The request.
 * @returns The marks; numbers that are missing are -1, texts empty.
 */
export function readMarks(request: IncomingMessage): Marks {
  const url = new URL(request.url ?? "/", "http://server");
  const header = (name: string) => String(request.headers[name] ?? "");
  return {
    key: url.pathname.split("/")[1] ?? "",
    slot: Number(header("x-hemlockbank-slot") || -1),
    epoch: Number(header("x-hemlockbank-epoch") || -1),
    generation: Number(header("x-hemlockbank-generation") || -1),
    requestId: header("x-request-id"),
    callerId: url.searchParams.get("caller") ?? "",
    idempotencyKey: header("idempotency-key"),
    timeoutMs: Number(header("x-hemlockbank-timeout-ms") || 0),
    bytes: Number(url.searchParams.get("bytes") ?? 0),
  };
}
