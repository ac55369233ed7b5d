/** What the stand-ins' HTTP servers share. */
import type { IncomingMessage, ServerResponse } from "node:http";

/**
 * Reads a whole request body.
 *
 * @param request - The request.
 * @returns The body as text.
 */
export async function readText(request: IncomingMessage): Promise<string> {
  const chunks: Uint8Array[] = [];
  for await (const chunk of request as AsyncIterable<Uint8Array>) {
    chunks.push(chunk);
  }
  return Buffer.concat(chunks).toString();
}

/**
 * Answers with JSON.
 *
 * @param response - The response.
 * @param status - Status code.
 * @param body - The value to send.
 */
export function reply(response: ServerResponse, status: number, body: unknown): void {
  response.writeHead(status, { "content-type": "application/json" });
  response.end(JSON.stringify(body));
}
