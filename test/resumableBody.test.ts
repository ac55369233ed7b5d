/**
 * Interrupted downloads, which are continued by range requests. Guards against bodies that are corrupt or
 * truncated but look complete: the rest may come from another version, cover another range, or not come at
 * all.
 */
import { Readable } from "node:stream";
import { describe, expect, test } from "vitest";
import { createResumableBody, findResumableDownload, openRemainder } from "../src/routing/resumableBody";
import type { Headers, WorkAnswer, WorkResult } from "../src/types";

const content = Buffer.from(Array.from({ length: 1000 }, (_unused, index) => index % 251));
const download = { validator: '"v1"', length: content.byteLength };
const load = { inFlight: 0, queued: 0, limit: 1, latencyMs: 1 };
const completeHeaders: Headers = { etag: '"v1"', "content-length": "1000", "accept-ranges": "bytes" };

describe("resumable body", () => {
  test.each([[[1]], [[500, 700]], [[999]], [[0, 0, 10]]])(
    "a download that breaks at offsets %j is completed",
    async (breakOffsets) => {
      const offsets: number[] = [];
      const body = createResumableBody(createBrokenStream(0, breakOffsets[0] ?? 0), download, (offset) => {
        offsets.push(offset);
        const nextBreak = breakOffsets[offsets.length];
        return Promise.resolve(
          nextBreak === undefined
            ? Readable.from([content.subarray(offset)])
            : createBrokenStream(offset, nextBreak),
        );
      });
      expect(Buffer.concat(await body.toArray()).equals(content)).toBe(true);
      expect(offsets).toEqual(breakOffsets);
    },
  );

  test("the body fails when the download cannot be continued", async () => {
    const body = createResumableBody(createBrokenStream(0, 400), download, () => Promise.resolve(undefined));
    await expect(body.toArray()).rejects.toThrow("broken");
  });

  // Guards against an answer whose length differs from the announced one, which shifts the next one on the connection.
  test.each([
    ["ends early and is not continued", 400, undefined],
    ["ends early, as does its remainder", 400, 900],
    ["is too long after its interruption", 400, 1200],
    ["is too long at once", 1200, undefined],
  ])("the body fails when it %s", async (_name, firstEnd, secondEnd) => {
    const long = Buffer.concat([content, content]);
    const remainders = secondEnd === undefined ? [] : [long.subarray(firstEnd, secondEnd)];
    const body = createResumableBody(Readable.from([long.subarray(0, firstEnd)]), download, () => {
      const remainder = remainders.shift();
      return Promise.resolve(remainder === undefined ? undefined : Readable.from([remainder]));
    });
    await expect(body.toArray()).rejects.toThrow("differs");
  });

  const nonResumableCases: readonly (readonly [string, string, Headers, Headers, number])[] = [
    ["weak validator", "GET", {}, { ...completeHeaders, etag: 'W/"v1"' }, 200],
    ["no validator", "GET", {}, { "content-length": "1000", "accept-ranges": "bytes" }, 200],
    ["no ranges", "GET", {}, { ...completeHeaders, "accept-ranges": "none" }, 200],
    ["no length", "GET", {}, { etag: '"v1"', "accept-ranges": "bytes" }, 200],
    ["POST request", "POST", {}, completeHeaders, 200],
    ["range requested by the caller", "GET", { range: "bytes=5-" }, completeHeaders, 200],
    ["error status", "GET", {}, completeHeaders, 500],
  ];

  test.each(nonResumableCases)("%s: not resumable", (_name, method, requestHeaders, headers, status) => {
    expect(findResumableDownload(method, requestHeaders, createAnswer(status, headers))).toBeUndefined();
  });

  const remainderHeaders: Headers = { etag: '"v1"', "content-range": "bytes 400-999/1000" };
  const rangeAnswerCases: readonly (readonly [string, WorkResult, boolean])[] = [
    ["the missing range", { kind: "answer", answer: createAnswer(206, remainderHeaders) }, true],
    [
      "another version",
      { kind: "answer", answer: createAnswer(206, { ...remainderHeaders, etag: '"v2"' }) },
      false,
    ],
    [
      "another range",
      {
        kind: "answer",
        answer: createAnswer(206, { ...remainderHeaders, "content-range": "bytes 0-999/1000" }),
      },
      false,
    ],
    ["the complete content", { kind: "answer", answer: createAnswer(200, completeHeaders) }, false],
    [
      "a failure",
      { kind: "failure", failure: { outcome: "not-run", reason: "no-server", step: "route" } },
      false,
    ],
  ];

  test.each(rangeAnswerCases)(
    "the rest is read only from an answer with the missing range: %s",
    (_name, result, isAccepted) => {
      expect(openRemainder(result, download, 400) !== undefined).toBe(isAccepted);
    },
  );
});

function createBrokenStream(startOffset: number, breakOffset: number): Readable {
  return Readable.from(
    (async function* read() {
      await Promise.resolve();
      if (breakOffset > startOffset) {
        yield content.subarray(startOffset, breakOffset);
      }
      throw new Error("broken");
    })(),
  );
}

function createAnswer(status: number, headers: Headers): WorkAnswer {
  return { status, headers, load, body: { kind: "stream", stream: Readable.from([content]) } };
}
