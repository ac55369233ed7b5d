/** Reads the bodies of callers' requests within limits. */
import type { IncomingMessage } from "node:http";
import { createJoinedChunks } from "../../http";

/** Limit on request bodies in memory, over all requests: an eighth of the smallest VM's memory. */
const MAX_HELD_BODY_BYTES = 33_554_432;

/** Result of reading a body. */
export type BodyReadResult =
  | { readonly kind: "whole"; readonly content: Buffer }
  /** The body exceeds the configured limit. */
  | { readonly kind: "tooLarge" }
  /** Too many bodies are in memory. */
  | { readonly kind: "noRoom" }
  | { readonly kind: "brokenOff" };

/** Bodies in memory. */
export interface RequestBodies {
  /** Reads a body of at most `maxBytes` bytes. */
  read(message: IncomingMessage, maxBytes: number): Promise<BodyReadResult>;
  /** Counts a body that was read as in memory until the promise settles. */
  hold<Value>(body: Buffer, promise: Promise<Value>): Promise<Value>;
}

/**
 * Creates a count of bodies in memory.
 *
 * @returns The count, without any body.
 */
export function createRequestBodies(): RequestBodies {
  let heldBytes = 0;

  return {
    read,
    hold: (body, promise) => {
      heldBytes += body.byteLength;
      return promise.finally(() => {
        heldBytes -= body.byteLength;
      });
    },
  };

  async function read(message: IncomingMessage, maxBytes: number): Promise<BodyReadResult> {
    const chunks = createJoinedChunks();
    let bytes = 0;
    try {
      for await (const chunk of message as AsyncIterable<Buffer>) {
        bytes += chunk.byteLength;
        if (bytes > maxBytes) {
          return { kind: "tooLarge" };
        }
        if (heldBytes + bytes > MAX_HELD_BODY_BYTES) {
          return { kind: "noRoom" };
        }
        chunks.add(chunk);
      }
    } catch {
      return { kind: "brokenOff" };
    }
    return { kind: "whole", content: Buffer.concat(chunks.list(), bytes) };
  }
}
