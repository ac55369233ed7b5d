/** Receives the bodies of backend servers' answers. */
import type { IncomingMessage } from "node:http";
import { type CallerWatch, createJoinedChunks, limitFraming } from "../../http";
import type { AnswerBody } from "../attemptTypes";

/** Longer answers are streamed to limit memory; shorter ones are received in full, then forwarded. */
const MAX_BUFFERED_ANSWER_BYTES = 1_048_576;
/**
 * Limit on received answers in memory, over all requests: an eighth of the smallest VM's memory. Beyond it answers
 * are streamed, so that their servers wait for the callers.
 */
const MAX_HELD_ANSWER_BYTES = 33_554_432;

/** Bodies of answers, which are counted as in memory until they have been written to their callers. */
export interface AnswerBodies {
  /**
   * Reads an answer until its end, or until it exceeds the size up to which answers are buffered.
   *
   * @param answer - The answer, of which nothing has been read.
   * @param caller - The caller of the request.
   * @returns The body, or its beginning and the rest as a stream.
   * @throws Error when the connection fails before the end of the answer.
   */
  read(answer: IncomingMessage, caller: Pick<CallerWatch, "onEnd">): Promise<AnswerBody>;
}

/** Count of everything that is held for callers. */
export interface AnswerMemory {
  /** Changes the number of bytes of answers. */
  addAnswerBytes(change: number): void;
  /** Returns whether nothing more should be held, so that servers wait for the callers. */
  isShort(): boolean;
}

/**
 * Creates a count of bodies in memory.
 *
 * @param memory - Count that the bodies belong to; without one, only their own limit holds.
 * @returns The count, without any body.
 */
export function createAnswerBodies(memory?: AnswerMemory): AnswerBodies {
  let heldBytes = 0;

  return {
    read: (answer, caller) =>
      new Promise((resolve, reject) => {
        const chunks = createJoinedChunks();
        const hold = createHold();
        let bytes = 0;
        const stopLimit = limitFraming(
          answer.socket,
          () => bytes,
          () => {
            answer.destroy(new Error("too many bytes beside the content of the answer"));
          },
        );
        const fail = (error: Error) => {
          hold.end();
          reject(error);
        };
        const streamRest = () => {
          stopLimit();
          answer.pause();
          answer.removeListener("data", onData);
          answer.removeListener("close", onClose);
          const head = takeAll(chunks.list(), hold);
          resolve({ kind: "streamed", head, rest: answer });
        };
        const onData = (chunk: Buffer) => {
          chunks.add(chunk);
          bytes += chunk.byteLength;
          hold.add(chunk.byteLength);
          if (bytes > MAX_BUFFERED_ANSWER_BYTES || heldBytes > MAX_HELD_ANSWER_BYTES || isShort()) {
            streamRest();
          }
        };
        const onClose = () => {
          stopLimit();
          if (!answer.readableEnded) {
            fail(new Error("connection closed before the end of the answer"));
          }
        };
        caller.onEnd(hold.end);
        answer.once("error", fail);
        answer.once("close", onClose);
        if (heldBytes >= MAX_HELD_ANSWER_BYTES || isShort()) {
          streamRest();
          return;
        }
        answer.on("data", onData);
        answer.once("end", () => {
          // The connection may carry the next answer before this one is closed.
          stopLimit();
          const content = Buffer.concat(chunks.list(), bytes);
          // The chunks count as dropped: they take memory until they are freed.
          memory?.addAnswerBytes(bytes);
          memory?.addAnswerBytes(-bytes);
          resolve({ kind: isFramed(answer) ? "whole" : "unframed", content });
        });
      }),
  };

  function isShort(): boolean {
    return memory?.isShort() ?? false;
  }

  function createHold(): Hold {
    let bytes = 0;
    let isEnded = false;
    const add = (change: number) => {
      if (!isEnded) {
        bytes += change;
        heldBytes += change;
        memory?.addAnswerBytes(change);
      }
    };
    return {
      add,
      end: () => {
        add(-bytes);
        isEnded = true;
      },
    };
  }
}

/** Closes the connection of an answer that is no longer wanted, if its body has not been received in full. */
export function dropBody(body: AnswerBody): void {
  if (body.kind === "streamed" && !body.rest.readableEnded) {
    body.rest.destroy();
  }
}

/** The part of one answer that counts as in memory. */
interface Hold {
  /** Changes the number of bytes; has no effect after the end. */
  readonly add: (change: number) => void;
  readonly end: () => void;
}

/** Returns the chunks one by one, and keeps none that was returned. */
function* takeAll(chunks: Buffer[], hold: Hold): Generator<Buffer> {
  for (let chunk = chunks.shift(); chunk !== undefined; chunk = chunks.shift()) {
    hold.add(-chunk.byteLength);
    yield chunk;
  }
}

const STATUS_WITHOUT_BODY: ReadonlySet<number> = new Set([204, 304]);
const CHUNKED = "chunked";

/**
 * Returns whether the body of an answer is in no transfer coding but chunks. The body in another one, for example in
 * one whose name was cut, ends with the connection, and Node.js returns it as it was sent.
 *
 * @param answer - The answer, of which the head has been read.
 * @returns Whether the content of the body is known.
 */
export function hasKnownCoding({ headers }: IncomingMessage): boolean {
  const coding = headers["transfer-encoding"];
  return coding === undefined || coding.toLowerCase() === CHUNKED;
}

/**
 * Returns whether an answer states where its body ends; otherwise the body ends with the connection.
 *
 * @param answer - The answer, of which the head has been read.
 * @returns Whether the body has a length, is in chunks or is empty.
 */
export function isFramed({ headers, statusCode = 0 }: IncomingMessage): boolean {
  const isChunked = headers["transfer-encoding"]?.toLowerCase() === CHUNKED;
  return isChunked || headers["content-length"] !== undefined || STATUS_WITHOUT_BODY.has(statusCode);
}
