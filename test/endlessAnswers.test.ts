/** Backend servers that send bytes without end: what they send must not pile up in the daemon. */
import { afterEach, beforeEach, describe, expect, test } from "vitest";
import { RouteKind } from "../src/gateway";
import { createWireKeyControl } from "../platform/keyControl";
import {
  SIGNATURE_FIELD,
  addRequestId,
  createFramedAnswer,
  createRequest,
  createTestDispatcher,
  createTestServer,
  formatAnswer,
} from "./support/gateway";
import { type RawRequest, type RawServer, createEndlessAnswer, startRawServer } from "./support/rawServer";

/** More than the buffers of two sockets hold, and less than an endless answer brings until a deadline. */
const MAX_TAKEN_BYTES = 32 * 1024 * 1024;

const grant = { from: 0, to: 9, token: 3, durationMs: 4000, handover: null };

let server: RawServer;

beforeEach(async () => {
  server = await startRawServer();
});

afterEach(async () => {
  await server.close();
});

interface EndlessCase {
  readonly name: string;
  readonly head: (request: RawRequest) => string;
  readonly piece: string;
  readonly method?: string;
  readonly expected: string;
}

const createHead = (status: string, fields: string) => (request: RawRequest) =>
  formatAnswer(addRequestId(request), `${status}\r\n${SIGNATURE_FIELD}\r\n${fields}`, "");
const text = "x".repeat(10_000);
const chunked = "Transfer-Encoding: chunked";
const cases: readonly EndlessCase[] = [
  { name: "a reason phrase", head: () => "HTTP/1.1 200 ", piece: text, expected: "unknown:broken" },
  { name: "a field name", head: () => "HTTP/1.1 200 OK\r\n", piece: text, expected: "unknown:broken" },
  {
    name: "spaces before a field's value",
    head: () => "HTTP/1.1 200 OK\r\nX:",
    piece: " ".repeat(10_000),
    expected: "unknown:broken",
  },
  { name: "empty lines", head: () => "", piece: "\r\n".repeat(5000), expected: "unknown:broken" },
  { name: "bytes without a line end", head: () => "", piece: text, expected: "unknown:broken" },
  {
    name: "fields of an interim answer",
    head: () => "HTTP/1.1 103 Early Hints\r\n",
    piece: "X: y\r\n".repeat(1000),
    expected: "unknown:broken",
  },
  {
    name: "chunk extensions",
    head: (request) => `${createHead("200 OK", chunked)(request)}1;`,
    piece: text,
    expected: "unknown:broken",
  },
  {
    name: "zeros of a chunk's size",
    head: createHead("200 OK", chunked),
    piece: "0".repeat(10_000),
    expected: "unknown:broken",
  },
  {
    name: "trailers",
    head: (request) => `${createHead("200 OK", chunked)(request)}1\r\nx\r\n0\r\n`,
    piece: "X: y\r\n".repeat(1000),
    expected: "unknown:broken",
  },
  ...["204 No Content", "304 Not Modified", "200 OK"].map((status) => ({
    name: `bytes behind ${status} without a body`,
    head: (request: RawRequest) => `${createHead(status, "X: y")(request)}${text}`,
    piece: text,
    method: "HEAD",
    expected: "unknown:broken",
  })),
  {
    name: "bytes behind a whole answer",
    head: (request) => `${createFramedAnswer("200 OK", "x")(request)}${text}`,
    piece: text,
    expected: "unknown:broken",
  },
];

// Guards against reading a faulty server's bytes for as long as a request may take, and keeping any of them.
describe("a server without end", () => {
  test.each(cases)("of $name is cut off", async ({ head, piece, method = "GET", expected }) => {
    const endless = createEndlessAnswer(head, piece);
    server.setBehaviour(endless.behaviour);
    const dispatch = createTestDispatcher([createTestServer("s1", server.port)]);
    const result = await dispatch(createRequest(RouteKind.Unsafe, { method }));
    expect("reason" in result ? `${result.kind}:${result.reason}` : result.kind).toBe(expected);
    await endless.closed;
    expect(endless.countTaken()).toBeLessThan(MAX_TAKEN_BYTES);
  });

  const interim = { name: "interim answers", head: () => "", piece: "HTTP/1.1 100 Continue\r\n\r\n" };
  test.each([...cases, interim])("of $name is cut off at a control call", async ({ head, piece }) => {
    const endless = createEndlessAnswer(head, piece);
    server.setBehaviour(endless.behaviour);
    const control = createWireKeyControl();
    await control.grant(createTestServer("s1", server.port), grant);
    await endless.closed;
    expect(endless.countTaken()).toBeLessThan(MAX_TAKEN_BYTES);
    control.close();
  });

  test("is cut off when its bytes begin after the answer to a grant, on the kept connection", async () => {
    const endless = createEndlessAnswer(() => "", "x".repeat(10_000));
    let begin = (): void => undefined;
    server.setBehaviour((socket, request) => {
      socket.write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
      begin = () => {
        endless.behaviour(socket, request);
      };
    });
    const control = createWireKeyControl();
    expect(await control.grant(createTestServer("s1", server.port), grant)).toEqual({ kind: "granted" });
    await new Promise(setImmediate);
    begin();
    await endless.closed;
    expect(endless.countTaken()).toBeLessThan(MAX_TAKEN_BYTES);
    control.close();
  });
});
