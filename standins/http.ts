/** Helpers shared by the HTTP servers of the stand-ins. */
import type { IncomingMessage, ServerResponse } from "node:http";

/**
 * Reads a whole request body.
 *
 * @param request - The request.
 * @returns The body, decoded as UTF-8.
 */
export async function readText(request: IncomingMessage): Promise<string> {
  const chunks: Uint8Array[] = [];
  for await (const chunk of request as AsyncIterable<Uint8Array>) {
    chunks.push(chunk);
  }
  return Buffer.concat(chunks).toString();
}

/**
 * Sends a JSON response.
 *
 * @param response - The response.
 * @param status - HTTP status code.
 * @param body - Value to encode as JSON.
 */
export function reply(response: ServerResponse, status: number, body: unknown): void {
  response.writeHead(status, { "content-type": "application/json" });
  response.end(JSON.stringify(body));
}
