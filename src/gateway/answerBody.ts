/** Receives the bodies of backend servers' answers. */
import type { IncomingMessage } from "node:http";
import { limitFraming } from "../http";
import type { AnswerBody } from "./attemptTypes";

/** Longer answers are streamed to limit memory; shorter ones are received in full, then forwarded. */
const MAX_BUFFERED_ANSWER_BYTES = 1_048_576;

/**
 * Reads an answer until its end, or until it exceeds the size up to which answers are buffered.
 *
 * @param answer - The answer, of which nothing has been read.
 * @returns The body, or its beginning and the rest as a stream.
 * @throws Error when the connection fails before the end of the answer.
 */
export function readBody(answer: IncomingMessage): Promise<AnswerBody> {
  return new Promise((resolve, reject) => {
    const chunks: Buffer[] = [];
    let bytes = 0;
    const stopLimit = limitFraming(
      answer.socket,
      () => bytes,
      () => {
        answer.destroy(new Error("too many bytes beside the content of the answer"));
      },
    );
    const onData = (chunk: Buffer) => {
      chunks.push(chunk);
      bytes += chunk.byteLength;
      if (bytes > MAX_BUFFERED_ANSWER_BYTES) {
        stopLimit();
        answer.pause();
        answer.removeListener("data", onData);
        resolve({ kind: "streamed", head: chunks, rest: answer });
      }
    };
    answer.on("data", onData);
    answer.once("end", () => {
      resolve({ kind: isFramed(answer) ? "whole" : "unframed", content: Buffer.concat(chunks, bytes) });
    });
    answer.once("error", reject);
    answer.once("close", () => {
      stopLimit();
      reject(new Error("connection closed before the end of the answer"));
    });
  });
}

const STATUS_WITHOUT_BODY: ReadonlySet<number> = new Set([204, 304]);

function isFramed(answer: IncomingMessage): boolean {
  const { headers, statusCode = 0 } = answer;
  const hasLength = headers["content-length"] !== undefined || headers["transfer-encoding"] !== undefined;
  return hasLength || STATUS_WITHOUT_BODY.has(statusCode);
}
