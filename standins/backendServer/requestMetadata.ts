/** Request metadata that the backend server stand-in reads. */
import type { IncomingMessage } from "node:http";

/** Metadata of a request, from its header fields, path and query parameters. */
export interface RequestMetadata {
  readonly key: string;
  readonly slot: number;
  readonly epoch: number;
  readonly generation: number;
  readonly requestId: string;
  readonly callerId: string;
  readonly idempotencyKey: string;
  readonly timeoutMs: number;
  /** Size of the requested download in bytes; 0 when the request is not for a download. */
  readonly bytes: number;
}

/**
 * Reads the metadata of a request.
 *
 * @param request - The request.
 * @returns The metadata. A missing slot, epoch or generation is -1; other missing numbers are 0, texts empty.
 */
export function readRequestMetadata(request: IncomingMessage): RequestMetadata {
  const url = new URL(request.url ?? "/", "http://server");
  const getHeader = (name: string) => String(request.headers[name] ?? "");
  return {
    key: url.pathname.split("/")[1] ?? "",
    slot: Number(getHeader("x-hemlockbank-slot") || -1),
    epoch: Number(getHeader("x-hemlockbank-epoch") || -1),
    generation: Number(getHeader("x-hemlockbank-generation") || -1),
    requestId: getHeader("x-request-id"),
    callerId: url.searchParams.get("caller") ?? "",
    idempotencyKey: getHeader("idempotency-key"),
    timeoutMs: Number(getHeader("x-hemlockbank-timeout-ms") || 0),
    bytes: Number(url.searchParams.get("bytes") ?? 0),
  };
}
