/** Continues a broken download by range, where the backend server offers a strong validator. */
import { Readable } from "node:stream";
import { type Headers, type WorkAnswer, type WorkResult } from "../types";
import { readHeader } from "./headers";

const HTTP_OK = 200;
const HTTP_PARTIAL_CONTENT = 206;

/** What is needed to continue a download. */
export interface ResumableDownload {
  readonly validator: string;
  readonly length: number;
}

/**
 * Finds out whether an answer can be continued by range: a whole answer to a GET with a strong validator,
 * a length, and ranges of bytes.
 *
 * @param method - Method of the request.
 * @param requestHeaders - Its header fields.
 * @param answer - The answer.
 * @returns What is needed to continue, or undefined.
 */
export function findResumableDownload(
  method: string,
  requestHeaders: Headers,
  answer: WorkAnswer,
): ResumableDownload | undefined {
  const validator = readHeader(answer.headers, "etag");
  const length = Number(readHeader(answer.headers, "content-length"));
  const isCompleteGet = method === "GET" && answer.status === HTTP_OK && requestHeaders.range === undefined;
  const hasStrongValidator = validator !== undefined && !validator.startsWith("W/");
  const hasRanges = readHeader(answer.headers, "accept-ranges") === "bytes";
  return isCompleteGet && hasStrongValidator && hasRanges && length > 0 ? { validator, length } : undefined;
}

/**
 * Gives the header fields of a request for the rest of a download.
 *
 * @param headers - Fields of the first request.
 * @param download - The download.
 * @param offset - First byte that is missing.
 * @returns The fields.
 */
export function createRangeHeaders(headers: Headers, download: ResumableDownload, offset: number): Headers {
  return { ...headers, range: `bytes=${offset}-`, "if-range": download.validator };
}

/**
 * Gives the stream of an answer to a range request when it is the wanted rest.
 *
 * @param result - The answer.
 * @param download - The download.
 * @param offset - First byte that is missing.
 * @returns The stream, or undefined when the answer is something else.
 */
export function openRemainder(
  result: WorkResult,
  download: ResumableDownload,
  offset: number,
): Readable | undefined {
  if (result.kind === "failure") {
    return undefined;
  }
  const { status, headers, body } = result.answer;
  const stream = body.kind === "stream" ? body.stream : Readable.from([body.content], { objectMode: false });
  const isRemainder =
    status === HTTP_PARTIAL_CONTENT &&
    readHeader(headers, "etag") === download.validator &&
    readHeader(headers, "content-range") === `bytes ${offset}-${download.length - 1}/${download.length}`;
  if (!isRemainder) {
    stream.on("error", () => undefined).destroy();
    return undefined;
  }
  return stream;
}

/**
 * Creates a body that continues by itself after a break.
 *
 * @param first - The stream of the first answer.
 * @param download - The download.
 * @param reopen - Asks for the rest from an offset; undefined when that is not possible.
 * @returns The body; it breaks when a break cannot be mended.
 */
export function createResumableBody(
  first: Readable,
  download: ResumableDownload,
  reopen: (offset: number) => Promise<Readable | undefined>,
): Readable {
  return Readable.from(readWithResumes(), { objectMode: false });

  async function* readWithResumes(): AsyncGenerator<Uint8Array> {
    let stream = first;
    let offset = 0;
    while (offset < download.length) {
      try {
        for await (const chunk of stream as AsyncIterable<Uint8Array>) {
          offset += chunk.byteLength;
          yield chunk;
        }
        return;
      } catch (error) {
        stream = await reopenOrThrow(offset, error);
      }
    }
  }

  async function reopenOrThrow(offset: number, error: unknown): Promise<Readable> {
    const remainder = offset < download.length ? await reopen(offset) : undefined;
    if (remainder === undefined) {
      throw error;
    }
    return remainder;
  }
}
