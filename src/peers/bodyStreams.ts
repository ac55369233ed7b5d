/** Streams bodies over a shared connection. Each stream has its own window, so none blocks another. */
import { Readable } from "node:stream";
import type { Body } from "../types";

/** Bytes that may be on the way without having been taken by the reader. */
export const WINDOW_BYTES = 256 * 1024;
const MAX_CHUNK_BYTES = 32 * 1024;
/** Credit is returned in steps, to keep the number of messages low. */
const CREDIT_STEP_BYTES = WINDOW_BYTES / 4;

/** The sending end of one body. */
export interface BodySender {
  /** Sends a whole stream. Resolves when all of it was sent, or the sending was stopped. */
  send(stream: Readable): Promise<void>;
  /** Allows more bytes. */
  addCredit(bytes: number): void;
  /** Stops sending and destroys the stream. */
  stop(): void;
}

/** Messages that a sender needs. */
export interface BodySink {
  readonly sendChunk: (chunk: Uint8Array, isLast: boolean) => void;
  readonly sendAborted: () => void;
}

/**
 * Creates the sending end of a body.
 *
 * @param sink - Where messages go.
 * @returns The sender.
 */
export function createBodySender(sink: BodySink): BodySender {
  let credit = WINDOW_BYTES;
  let isStopped = false;
  let source: Readable | undefined;
  let wakeSender: (() => void) | undefined;

  return {
    send: async (stream) => {
      source = stream;
      try {
        await sendChunks(stream);
      } catch {
        sink.sendAborted();
      }
    },
    addCredit: (bytes) => {
      credit += bytes;
      wakeSender?.();
    },
    stop: () => {
      isStopped = true;
      source?.destroy();
      wakeSender?.();
    },
  };

  async function sendChunks(stream: Readable): Promise<void> {
    for await (const content of stream as AsyncIterable<Uint8Array>) {
      for (let start = 0; start < content.byteLength; start += MAX_CHUNK_BYTES) {
        const chunk = content.subarray(start, start + MAX_CHUNK_BYTES);
        await acquireCredit(chunk.byteLength);
        if (isStopped) {
          return;
        }
        sink.sendChunk(chunk, false);
      }
    }
    sink.sendChunk(new Uint8Array(0), true);
  }

  async function acquireCredit(bytes: number): Promise<void> {
    while (credit < bytes && !isStopped) {
      await new Promise<void>((resolve) => {
        wakeSender = resolve;
      });
    }
    credit -= bytes;
  }
}

/** The receiving end of one body. */
export interface BodyReceiver {
  readonly stream: Readable;
  /** Takes a chunk. */
  push(chunk: Uint8Array, isLast: boolean): void;
  /** Breaks the stream, so that its reader cannot take it for whole. */
  abort(error: Error): void;
}

/**
 * Creates the receiving end of a body.
 *
 * @param returnCredit - Tells the sender that the reader has taken bytes.
 * @param onClose - Called once when the stream has ended, broken or been left by its reader.
 * @returns The receiver.
 */
export function createBodyReceiver(returnCredit: (bytes: number) => void, onClose: () => void): BodyReceiver {
  let uncreditedBytes = 0;
  const stream = new Readable({
    highWaterMark: WINDOW_BYTES,
    read: () => {
      if (uncreditedBytes >= CREDIT_STEP_BYTES) {
        returnCredit(uncreditedBytes);
        uncreditedBytes = 0;
      }
    },
    destroy: (error, callback) => {
      onClose();
      callback(error);
    },
  });
  // A reader that has left must not turn a broken stream into an uncaught error.
  stream.on("error", () => undefined);
  return {
    stream,
    push: (chunk, isLast) => {
      uncreditedBytes += chunk.byteLength;
      if (chunk.byteLength > 0) {
        stream.push(chunk);
      }
      if (isLast) {
        stream.push(null);
      }
    },
    abort: (error) => {
      stream.destroy(error);
    },
  };
}

/**
 * Gives the content of a body that is whole in memory.
 *
 * @param body - The body.
 * @returns The content, or null for a stream.
 */
export function findBufferedContent(body: Body): Uint8Array | null {
  return body.kind === "buffer" ? body.content : null;
}
