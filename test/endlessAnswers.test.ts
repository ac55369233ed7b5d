/** Backend servers that send bytes without end: what they send must not pile up in the daemon. */
import { type IncomingMessage, get } from "node:http";
import { connect } from "node:net";
import { afterEach, beforeEach, describe, expect, test, vi } from "vitest";
import { type AnswerBody, RouteKind, createServerConnections } from "../src/gateway";
import { systemClock } from "../src/types";
import { Event } from "../src/observability";
import { createWireKeyControl } from "../platform/keyControl";
import { createFakeClock } from "./support/fakeClock";
import {
  DEADLINE_MS,
  SIGNATURE_FIELD,
  addRequestId,
  createFramedAnswer,
  createRequest,
  createTestDispatcher,
  createTestServer,
  formatAnswer,
  presentCaller,
  startTestListener,
} from "./support/gateway";
import { type RawRequest, type RawServer, createEndlessAnswer, startRawServer } from "./support/rawServer";

/** More than the buffers of two sockets hold, and less than an endless answer brings until a deadline. */
const MAX_TAKEN_BYTES = 32 * 1024 * 1024;

/** Polls, which end in time also on a busy machine. */
const WAIT = { timeout: 20_000, interval: 50 };
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
    await control.grant(createTestServer("s1", server.port), grant, () => true);
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
    expect(await control.grant(createTestServer("s1", server.port), grant, () => true)).toEqual({
      kind: "granted",
    });
    await new Promise(setImmediate);
    begin();
    await endless.closed;
    expect(endless.countTaken()).toBeLessThan(MAX_TAKEN_BYTES);
    control.close();
  });
});

describe("answers in memory", () => {
  const ANSWER_BYTES = 1024 * 1024;
  const MAX_WHOLE_ANSWERS = 32;
  const whole = createFramedAnswer("200 OK", "x".repeat(ANSWER_BYTES));
  const cut = createFramedAnswer("200 OK", "x".repeat(ANSWER_BYTES - 1));

  const createSender = () => {
    const connections = createServerConnections(systemClock, () => 100);
    const endings: (() => void)[] = [];
    const send = (id: string) =>
      connections.send({
        id,
        server: createTestServer("s1", server.port),
        method: "GET",
        path: "/",
        headers: { "request-id": id },
        body: [],
        isIdempotent: true,
        deadlineAt: systemClock.now() + DEADLINE_MS,
        caller: { ...presentCaller, onEnd: (callback) => endings.push(callback) },
        findRejection: () => undefined,
      });
    return { connections, endings, send };
  };

  // Guards against a daemon that runs out of memory with the answers that its callers have not read yet.
  test("are limited together: those beyond the limit are streamed until callers have theirs", async () => {
    const { connections, endings, send } = createSender();
    server.setBehaviour((socket, request) => socket.end(cut(request).replace("1048575", "1048576")));
    for (let count = 0; count < MAX_WHOLE_ANSWERS + 1; count += 1) {
      expect((await send("cut")).kind).toBe("broken");
    }
    server.setBehaviour((socket, request) => socket.write(whole(request)));
    const kinds: string[] = [];
    for (let count = 0; count < MAX_WHOLE_ANSWERS + 4; count += 1) {
      const result = await send(`q${count}`);
      expect(result.kind).toBe("answered");
      if (result.kind === "answered") {
        kinds.push(result.body.kind);
        expect(await countBytes(result.body)).toBe(ANSWER_BYTES);
      }
    }
    expect(kinds.filter((kind) => kind === "whole")).toHaveLength(MAX_WHOLE_ANSWERS);
    expect(kinds.slice(MAX_WHOLE_ANSWERS)).toEqual(Array.from({ length: 4 }, () => "streamed"));
    endings.splice(0).forEach((end) => {
      end();
    });
    expect(await send("last")).toMatchObject({ body: { kind: "whole" } });
    connections.close();
  });

  // Guards against a limit that fills up with answers that nobody waits for any more.
  test.each(["have read them", "have left"])("do not count once their callers %s", async (ending) => {
    const { listener, port } = await startTestListener(
      createTestDispatcher([createTestServer("s1", server.port)]),
    );
    const body = "x".repeat(ANSWER_BYTES);
    server.setBehaviour((socket, request) => {
      socket.write(
        `${createHead("200 OK", chunked)(request)}${ANSWER_BYTES.toString(16)}\r\n${body}\r\n0\r\n\r\n`,
      );
    });
    for (let count = 0; count < MAX_WHOLE_ANSWERS + 2; count += 1) {
      const answer = await new Promise<IncomingMessage>((resolve) =>
        get({ port, path: "/", headers: { host: "a.example", "request-id": `q${count}` } }, resolve),
      );
      // Only an answer that was held as a whole has a length.
      expect(answer.headers["content-length"]).toBe(String(ANSWER_BYTES));
      if (ending === "have left") {
        answer.destroy();
      } else {
        answer.resume();
        await new Promise((resolve) => answer.once("end", resolve));
      }
    }
    void listener.close();
  });

  // Guards against an answer in tiny chunks that takes hundreds of times the memory of its content.
  test("are not kept chunk by chunk", async () => {
    const { connections, send } = createSender();
    const endless = createEndlessAnswer(createHead("200 OK", chunked), "1\r\nx\r\n".repeat(5000));
    server.setBehaviour(endless.behaviour);
    const result = await send("q1");
    if (result.kind !== "answered" || result.body.kind !== "streamed") {
      throw new Error(`the answer was not streamed but ${result.kind}`);
    }
    const head = [...result.body.head];
    expect(head.reduce((total, piece) => total + piece.byteLength, 0)).toBe(ANSWER_BYTES + 1);
    expect(head.length).toBeLessThan(10_000);
    result.body.rest.destroy();
    await endless.closed;
    connections.close();
  });
});

describe("a streamed answer", () => {
  const endlessBody = { head: createHead("200 OK", chunked), piece: `2710\r\n${text}\r\n` };

  // Guards against keeping what a caller does not read, for as long as it does not read.
  test("waits for its caller, and is gone at its deadline though the caller never reads", async () => {
    const clock = createFakeClock();
    const endless = createEndlessAnswer(endlessBody.head, endlessBody.piece);
    server.setBehaviour(endless.behaviour);
    const dispatch = createTestDispatcher([createTestServer("s1", server.port)], clock);
    const { listener, port, loggedEvents } = await startTestListener(dispatch, clock);
    const caller = connect(port, "127.0.0.1");
    caller.on("error", () => undefined);
    caller.write("GET / HTTP/1.1\r\nHost: a.example\r\nRequest-Id: q1\r\n\r\n");
    await waitUntilSteady(endless.countTaken);
    expect(endless.countTaken()).toBeLessThan(MAX_TAKEN_BYTES);
    await clock.advance(DEADLINE_MS);
    await endless.closed;
    await vi.waitUntil(() => listener.countConnections() === 0, WAIT);
    expect(loggedEvents).toContain(Event.AnswerBrokenOff);
    caller.destroy();
    void listener.close();
  });

  test("that is replaced by the answer to a retry is broken off at once", async () => {
    const clock = createFakeClock();
    const endless = createEndlessAnswer(createHead("500 Internal Server Error", chunked), endlessBody.piece);
    server.setBehaviour((socket, request) => {
      server.setBehaviour((other, retried) => other.write(createFramedAnswer("200 OK", "x")(retried)));
      endless.behaviour(socket, request);
    });
    const servers = ["s1", "s2"].map((name) => createTestServer(name, server.port));
    const deadlineAt = clock.now() + DEADLINE_MS;
    const result = await createTestDispatcher(servers, clock)(createRequest(RouteKind.Safe, { deadlineAt }));
    expect(result).toMatchObject({ kind: "answered", message: { statusCode: 200 } });
    await endless.closed;
  });
});

/** Waits until a number that is positive has been the same for some polls. */
async function waitUntilSteady(count: () => number): Promise<void> {
  let last = 0;
  let equalPolls = 0;
  await vi.waitUntil(() => {
    equalPolls = count() === last && last > 0 ? equalPolls + 1 : 0;
    last = count();
    return equalPolls === 10 || last > MAX_TAKEN_BYTES;
  }, WAIT);
}

async function countBytes(body: AnswerBody): Promise<number> {
  if (body.kind !== "streamed") {
    return body.content.byteLength;
  }
  let bytes = [...body.head].reduce((total, piece) => total + piece.byteLength, 0);
  for await (const piece of body.rest as AsyncIterable<Buffer>) {
    bytes += piece.byteLength;
  }
  return bytes;
}
