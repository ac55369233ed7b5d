/** Streams bodies over a shared connection. Each has its own flow-control window, so none blocks another. */
import { Readable } from "node:stream";
import { PeerError } from "../errors";
import type { Body } from "../types";

/** Flow-control window: maximum number of bytes in flight that the reader has not consumed yet. */
export const WINDOW_BYTES = 256 * 1024;
const MAX_CHUNK_BYTES = 32 * 1024;
/** Credit is returned in steps of at least this size, to limit the number of messages. */
const CREDIT_STEP_BYTES = WINDOW_BYTES / 4;

/** Sending end of one body. */
export interface BodySender {
  /** Sends a whole stream. Resolves when all of it is sent, the stream has failed or `stop` was called. */
  send(stream: Readable): Promise<void>;
  /** Adds credit in bytes that the receiver has returned. */
  addCredit(bytes: number): void;
  /** Stops sending and destroys the stream. */
  stop(): void;
}

/** Callbacks through which a {@link BodySender} sends its messages. */
export interface BodySink {
  readonly sendChunk: (chunk: Uint8Array, isLast: boolean) => void;
  /** Reports that the stream failed before its end. */
  readonly sendAborted: () => void;
}

/**
 * Creates the sending end of a body.
 *
 * @param sink - Sends the messages over the connection.
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

/** Receiving end of one body. */
export interface BodyReceiver {
  /** The received body. */
  readonly stream: Readable;
  /** Appends a chunk to the stream, and ends the stream after the last one. Fails it if the window is exceeded. */
  push(chunk: Uint8Array, isLast: boolean): void;
  /** Destroys the stream with an error, so that its reader cannot take a truncated body for complete. */
  abort(error: Error): void;
}

/**
 * Creates the receiving end of a body.
 *
 * @param returnCredit - Returns credit to the sender for bytes that the reader has consumed.
 * @param onClose - Called once when the stream has ended, failed or been destroyed by its reader.
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
  // Without this listener, an error after the reader has detached would be uncaught.
  stream.on("error", () => undefined);
  return {
    stream,
    push: (chunk, isLast) => {
      uncreditedBytes += chunk.byteLength;
      if (uncreditedBytes > WINDOW_BYTES) {
        // The sender ignores the window, so the rest would be kept in memory without a limit.
        stream.destroy(new PeerError("body exceeds its window", { props: { step: "receive" } }));
        return;
      }
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
 * Finds the content of a body that is held in memory.
 *
 * @param body - The body.
 * @returns The content, or null for a stream.
 */
export function findBufferedContent(body: Body): Uint8Array | null {
  return body.kind === "buffer" ? body.content : null;
}
