/** Reads the bodies of callers' requests within limits. */
import type { IncomingMessage } from "node:http";
import type { RequestPlace } from "./requestPlace";
import { CHUNK_BYTES } from "./memoryBudget";

/** Smaller chunks are copied together: each costs a few hundred bytes beside its content, which may be a single byte. */
const MIN_KEPT_CHUNK_BYTES = 4096;
/** Memory that small chunks are copied to. */
const SLAB_BYTES = 16_384;

/** Result of reading a body. */
export type BodyReadResult =
  | {
      readonly kind: "whole";
      /** The content in the pieces in which it is kept; none is copied to join it with another. */
      readonly content: readonly Buffer[];
      /** Empties the content, which counts as held for the connection until then. */
      readonly release: () => void;
    }
  /** The body exceeds the configured limit; `restBytes` of it have not been read, infinite when not announced. */
  | { readonly kind: "tooLarge"; readonly restBytes: number }
  /** Too much is held for callers. */
  | { readonly kind: "noRoom" }
  | { readonly kind: "brokenOff" };

/**
 * Reads a body. Unless it is whole, nothing of it counts as held afterwards.
 *
 * @param message - The request, of which nothing has been read.
 * @param place - Its place on its connection, whose account counts what is held.
 * @param maxBytes - Limit on the body in bytes.
 * @returns The body, or why it was not read.
 */
export function readBody(
  message: IncomingMessage,
  place: Pick<RequestPlace, "account" | "followBody">,
  maxBytes: number,
): Promise<BodyReadResult> {
  const announcedBytes = Number(message.headers["content-length"] ?? 0);
  if (announcedBytes > maxBytes) {
    return Promise.resolve({ kind: "tooLarge", restBytes: announcedBytes });
  }
  const { account } = place;
  return new Promise((resolve) => {
    const chunks = createBodyChunks();
    let bytes = 0;
    let heldBytes = 0;
    let isSettled = false;
    const settle = (result: BodyReadResult) => {
      if (isSettled) {
        return;
      }
      isSettled = true;
      message.removeListener("data", onData);
      account.onClose(undefined);
      place.followBody(() => 0);
      if (result.kind !== "whole") {
        release();
      }
      resolve(result);
    };
    const release = () => {
      // The listeners refer to the chunks until the connection is closed.
      chunks.clear();
      account.addBytes(-heldBytes);
      heldBytes = 0;
    };
    const onData = (chunk: Buffer) => {
      bytes += chunk.byteLength;
      if (bytes > maxBytes) {
        settle({ kind: "tooLarge", restBytes: Number.POSITIVE_INFINITY });
        return;
      }
      const addedBytes = chunks.add(chunk);
      heldBytes += addedBytes;
      account.addBytes(addedBytes);
    };
    // Bytes that the parser has passed on and that were not read yet are no part of the rest.
    place.followBody(() => announcedBytes - bytes - message.readableLength);
    account.onClose(() => {
      settle({ kind: "noRoom" });
    });
    message.on("data", onData);
    message.once("end", () => {
      settle({ kind: "whole", content: chunks.list(), release });
    });
    const breakOff = () => {
      settle({ kind: "brokenOff" });
    };
    message.on("error", breakOff);
    message.once("close", breakOff);
  });
}

/** Chunks of a body in their order. */
interface BodyChunks {
  /** Adds a chunk; returns the memory that it takes, in bytes. */
  add(chunk: Buffer): number;
  /** Returns the list of the chunks, which {@link clear} empties. */
  list(): readonly Buffer[];
  clear(): void;
}

function createBodyChunks(): BodyChunks {
  const kept: Buffer[] = [];
  let slab = Buffer.alloc(0);
  let usedBytes = 0;

  return {
    add: (chunk) => {
      if (chunk.byteLength >= MIN_KEPT_CHUNK_BYTES || (kept.length === 0 && usedBytes === 0)) {
        endPiece();
        kept.push(isMostOfBuffer(chunk) ? chunk : Buffer.from(chunk));
        return chunk.byteLength + CHUNK_BYTES;
      }
      let addedBytes = 0;
      if (usedBytes + chunk.byteLength > slab.byteLength) {
        endPiece();
        slab = Buffer.allocUnsafeSlow(SLAB_BYTES);
        addedBytes = SLAB_BYTES + CHUNK_BYTES;
      }
      chunk.copy(slab, usedBytes);
      usedBytes += chunk.byteLength;
      return addedBytes;
    },
    list: () => {
      endPiece();
      return kept;
    },
    clear: () => {
      kept.length = 0;
      slab = Buffer.alloc(0);
      usedBytes = 0;
    },
  };

  /** Ends the piece that small chunks are copied to; the rest of its memory is used for the next one. */
  function endPiece(): void {
    if (usedBytes > 0) {
      kept.push(slab.subarray(0, usedBytes));
      slab = slab.subarray(usedBytes);
      usedBytes = 0;
    }
  }
}

/** Returns whether a chunk is most of its buffer, which is freed as a whole. */
function isMostOfBuffer(chunk: Buffer): boolean {
  return chunk.byteLength * 2 >= chunk.buffer.byteLength;
}
