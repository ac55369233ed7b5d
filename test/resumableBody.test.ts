/** Downloads that break go on by range, or break visibly. */
import { Readable } from "node:stream";
import { describe, expect, test } from "vitest";
import { createResumableBody, findResumableDownload, openRemainder } from "../src/routing/resumableBody";
import type { Headers, WorkAnswer, WorkResult } from "../src/types";

const content = Buffer.from(Array.from({ length: 1000 }, (_unused, index) => index % 251));
const download = { validator: '"v1"', length: content.byteLength };
const load = { inFlight: 0, queued: 0, limit: 1, latencyMs: 1 };
const whole: Headers = { etag: '"v1"', "content-length": "1000", "accept-ranges": "bytes" };

describe("resumable body", () => {
  test.each([[[1]], [[500, 700]], [[999]], [[0, 0, 10]]])("breaks at %j are mended", async (breaks) => {
    const offsets: number[] = [];
    const body = createResumableBody(breakingAt(0, breaks[0] ?? 0), download, (offset) => {
      offsets.push(offset);
      const next = breaks[offsets.length];
      return Promise.resolve(
        next === undefined ? Readable.from([content.subarray(offset)]) : breakingAt(offset, next),
      );
    });
    expect(Buffer.concat(await body.toArray()).equals(content)).toBe(true);
    expect(offsets).toEqual(breaks);
  });

  test("a break that cannot be mended breaks the body", async () => {
    const body = createResumableBody(breakingAt(0, 400), download, () => Promise.resolve(undefined));
    await expect(body.toArray()).rejects.toThrow("broken");
  });

  const others: readonly (readonly [string, string, Headers, Headers, number])[] = [
    ["weak validator", "GET", {}, { ...whole, etag: 'W/"v1"' }, 200],
    ["no validator", "GET", {}, { "content-length": "1000", "accept-ranges": "bytes" }, 200],
    ["no ranges", "GET", {}, { ...whole, "accept-ranges": "none" }, 200],
    ["no length", "GET", {}, { etag: '"v1"', "accept-ranges": "bytes" }, 200],
    ["booking", "POST", {}, whole, 200],
    ["range asked for by the caller", "GET", { range: "bytes=5-" }, whole, 200],
    ["error", "GET", {}, whole, 500],
  ];

  test.each(others)("%s: not continued", (_name, method, requestHeaders, headers, status) => {
    expect(findResumableDownload(method, requestHeaders, answerOf(status, headers))).toBeUndefined();
  });

  const rest: Headers = { etag: '"v1"', "content-range": "bytes 400-999/1000" };
  const rests: readonly (readonly [string, WorkResult, boolean])[] = [
    ["the rest", { kind: "answer", answer: answerOf(206, rest) }, true],
    ["another version", { kind: "answer", answer: answerOf(206, { ...rest, etag: '"v2"' }) }, false],
    [
      "another range",
      { kind: "answer", answer: answerOf(206, { ...rest, "content-range": "bytes 0-999/1000" }) },
      false,
    ],
    ["the whole", { kind: "answer", answer: answerOf(200, whole) }, false],
    [
      "a failure",
      { kind: "failure", failure: { outcome: "not-run", reason: "no-server", step: "route" } },
      false,
    ],
  ];

  test.each(rests)("a range answer with %s", (_name, result, isTaken) => {
    expect(openRemainder(result, download, 400) !== undefined).toBe(isTaken);
  });
});

function breakingAt(from: number, at: number): Readable {
  return Readable.from(
    (async function* read() {
      await Promise.resolve();
      if (at > from) {
        yield content.subarray(from, at);
      }
      throw new Error("broken");
    })(),
  );
}

function answerOf(status: number, headers: Headers): WorkAnswer {
  return { status, headers, load, body: { kind: "stream", stream: Readable.from([content]) } };
}
