/** Resumes interrupted downloads with range requests if the backend server supplies a strong validator. */
import { Readable } from "node:stream";
import { type Headers, type WorkAnswer, type WorkResult } from "../types";
import { readHeader } from "./headers";

const HTTP_OK = 200;
const HTTP_PARTIAL_CONTENT = 206;

/** Entity tag and length in bytes of an answer, which resuming its download requires. */
export interface ResumableDownload {
  readonly validator: string;
  readonly length: number;
}

/**
 * Finds what is needed to resume an answer with a range request. The answer must be a complete one to a GET,
 * with a strong validator and a length, from a backend server that accepts byte ranges.
 *
 * @param method - Method of the request.
 * @param requestHeaders - Header fields of the request.
 * @param answer - The answer.
 * @returns Validator and length, or undefined when the answer cannot be resumed.
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
 * Creates the header fields of a request for the remainder of a download.
 *
 * @param headers - Header fields of the first request.
 * @param download - The download to resume.
 * @param offset - Offset of the first missing byte.
 * @returns The header fields, with the range and its validator.
 */
export function createRangeHeaders(headers: Headers, download: ResumableDownload, offset: number): Headers {
  return { ...headers, range: `bytes=${offset}-`, "if-range": download.validator };
}

/**
 * Returns the stream of an answer to a range request if it is exactly the missing remainder. The stream of
 * any other answer is destroyed.
 *
 * @param result - Result of the range request.
 * @param download - The download to resume.
 * @param offset - Offset of the first missing byte.
 * @returns The stream, or undefined when the request failed or the answer is not the remainder.
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
 * Creates a body that resumes the download when its stream breaks.
 *
 * @param first - The stream of the first answer.
 * @param download - The download to resume.
 * @param reopen - Requests the remainder from an offset; resolves to undefined when that is not possible.
 * @returns The body; it fails with the error of the interruption when the download cannot be resumed.
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
          checkLength(offset <= download.length);
          yield chunk;
        }
        // A regular end before the last byte is an interruption, too.
        checkLength(offset === download.length);
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

function checkLength(isRight: boolean): void {
  if (!isRight) {
    throw new Error("length of the download differs from the announced one");
  }
}
