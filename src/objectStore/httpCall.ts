/** HTTP calls to a platform, which may take as long as their answer keeps arriving. */
import type { IncomingHttpHeaders } from "node:http";
import { type Dispatcher, request } from "undici";
import { AnswerTooLargeError, describeError } from "../errors";
import { createJoinedChunks } from "../http";
import type { CancelTimer, Clock } from "../types";
import type { Transfer } from "./types";

/** An answer that is arriving counts as lost when nothing of it has come for this long. */
const STALL_TIMEOUT_MS = 900;
/** Bounds the memory of an answer; the history of a large object in quick succession takes a few megabytes. */
const MAX_ANSWER_BYTES = 16_777_216;
/** The largest answer takes half of this time on an idle link of 10 Mbit/s. */
const MAX_TRANSFER_MS = 30_000;

/** A call. */
export interface HttpCall {
  readonly url: string;
  readonly method: "GET" | "PUT" | "POST";
  /** Body as JSON text. */
  readonly body?: string | undefined;
  /** Maximum wait for the head of the answer, in milliseconds. */
  readonly timeoutMs: number;
  /** Maximum size of the answer's body in bytes; {@link MAX_ANSWER_BYTES} unless set. */
  readonly maxBytes?: number | undefined;
  /** Ends the wait for the answer when aborted, but not the transfer of an answer that has started. */
  readonly signal?: AbortSignal | undefined;
}

/** Answer to a call. */
export interface HttpAnswer {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly text: string;
  readonly transfer: Transfer;
}

/**
 * Makes a call.
 *
 * @param dispatcher - Connections to the platform.
 * @param clock - Clock that time limits are measured by.
 * @param call - The call.
 * @returns The whole answer, whatever its status.
 * @throws AnswerTooLargeError when the answer exceeds the size limit; the rest of it is not read.
 * @throws Error when no answer starts in time, or when one that has started stalls or takes too long.
 */
export async function callOverHttp(
  dispatcher: Dispatcher,
  clock: Clock,
  call: HttpCall,
): Promise<HttpAnswer> {
  const { url, method, body, timeoutMs, maxBytes = MAX_ANSWER_BYTES, signal } = call;
  const abort = new AbortController();
  const cancel = () => {
    abort.abort(new Error("cancelled"));
  };
  const cancelTimeout = abortAfter(clock, abort, timeoutMs, "no answer");
  signal?.addEventListener("abort", cancel);
  if (signal?.aborted) {
    cancel();
  }
  const response = await request(url, {
    method,
    dispatcher,
    signal: abort.signal,
    ...(body === undefined ? {} : { body, headers: { "content-type": "application/json" } }),
  }).finally(() => {
    cancelTimeout();
    signal?.removeEventListener("abort", cancel);
  });
  try {
    const { statusCode: status, headers } = response;
    return { status, headers, ...(await receive(response, clock, abort, maxBytes)) };
  } catch (error) {
    // Closes the connection: the rest of the answer is not read.
    abort.abort(error);
    throw error;
  }
}

/** Receives the body of an answer, as long as it keeps arriving and stays within the limits. */
async function receive(
  response: Dispatcher.ResponseData,
  clock: Clock,
  abort: AbortController,
  maxBytes: number,
): Promise<Pick<HttpAnswer, "text" | "transfer">> {
  const startedAt = clock.now();
  const chunks = createJoinedChunks();
  let bytes = 0;
  checkSize(Number(response.headers["content-length"] ?? 0), maxBytes);
  const cancelTransferTimeout = abortAfter(clock, abort, MAX_TRANSFER_MS, "the answer did not end");
  let cancelStallTimeout = abortOnStall();
  try {
    for await (const chunk of response.body as AsyncIterable<Buffer>) {
      cancelStallTimeout();
      cancelStallTimeout = abortOnStall();
      chunks.add(chunk);
      bytes += chunk.byteLength;
      checkSize(bytes, maxBytes);
    }
  } catch (error) {
    throw error instanceof AnswerTooLargeError
      ? error
      : new Error(`${describeError(error)}, after ${bytes} bytes of the answer`, { cause: error });
  } finally {
    cancelStallTimeout();
    cancelTransferTimeout();
  }
  const transfer = { bytes, durationMs: clock.now() - startedAt };
  return { text: Buffer.concat(chunks.list(), bytes).toString(), transfer };

  function abortOnStall(): CancelTimer {
    return abortAfter(clock, abort, STALL_TIMEOUT_MS, "nothing of the answer came");
  }
}

function checkSize(bytes: number, maxBytes: number): void {
  if (bytes > maxBytes) {
    const message = `the answer has at least ${bytes} bytes, more than ${maxBytes}`;
    throw new AnswerTooLargeError(message, { props: { step: "receive answer" } });
  }
}

function abortAfter(clock: Clock, abort: AbortController, delayMs: number, detail: string): CancelTimer {
  return clock.schedule(delayMs, () => {
    abort.abort(new Error(`${detail} within ${delayMs} ms`));
  });
}
