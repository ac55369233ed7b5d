/**
 * Callers that send further requests before the first one is answered: answers come in order, one for each request,
 * and nothing that was sent behind an answer which closes the connection has been passed on.
 */
import { type Socket, connect } from "node:net";
import { PassThrough } from "node:stream";
import { afterEach, describe, expect, test } from "vitest";
import {
  type CallerListener,
  type DispatchResult,
  RejectionReason,
  type RoutedRequest,
  RouteKind,
  createCallerListener,
  createRouteMatcher,
} from "../src/gateway";
import { createCounters, createMetrics, silentLogger } from "../src/observability";
import { systemClock } from "../src/types";
import { wireCallerProtocol, wireServerProtocol } from "../platform/protocols";
import { findFreePort } from "../standins/scenarios/ports";
import { createRoute } from "./support/gateway";

const HOST = "127.0.0.1";

const configuration = {
  version: 1,
  routes: [
    createRoute({ name: "reads" }),
    createRoute({ name: "orders", pathPrefix: "/order/", kind: RouteKind.Unsafe }),
  ],
  services: new Map(),
  limits: { maxHeaderBytes: 16_384, maxBodyBytes: 1024, headerTimeoutMs: 3000, idleTimeoutMs: 15_000 },
};

/** A request that waits at a backend server until the test ends it. */
interface Dispatched {
  readonly request: RoutedRequest;
  readonly finish: (result: DispatchResult) => void;
}

function createAnswer(body: string, kind: "whole" | "unframed" = "whole"): DispatchResult {
  const message = { statusCode: 200, rawHeaders: [], headers: {} };
  return {
    kind: "answered",
    message,
    body: { kind, content: Buffer.from(body) },
  } as unknown as DispatchResult;
}

const refusal: DispatchResult = {
  kind: "notRun",
  reason: RejectionReason.Overloaded,
  retryAfterMs: 100,
  inputs: { server: undefined, assignmentVersion: 0, expectedWaitMs: undefined, loadAgeMs: undefined },
};

let listener: CallerListener | undefined;
let caller: Socket | undefined;

afterEach(() => {
  caller?.destroy();
  void listener?.close();
});

async function start() {
  const port = await findFreePort();
  const dispatched: Dispatched[] = [];
  const started = await createCallerListener({
    address: { host: HOST, port },
    findActive: () => ({ configuration, matcher: createRouteMatcher(configuration) }),
    dispatch: (request) =>
      new Promise((finish) => {
        dispatched.push({ request, finish });
      }),
    callerProtocol: wireCallerProtocol,
    serverProtocol: wireServerProtocol,
    clock: systemClock,
    logger: silentLogger,
    metrics: createMetrics(createCounters("test")),
  });
  const socket = connect(port, HOST);
  let received = "";
  let isClosed = false;
  socket.on("data", (chunk) => {
    received += chunk.toString();
  });
  socket.on("error", () => undefined);
  socket.on("close", () => {
    isClosed = true;
  });
  listener = started;
  caller = socket;
  const find = (id: string) => dispatched.find(({ request }) => request.id === id);
  return {
    listener: started,
    socket,
    send: (...requests: readonly string[]) => {
      socket.write(requests.join(""));
    },
    ids: () => dispatched.map(({ request }) => request.id),
    find,
    finish: (id: string, result: DispatchResult) => find(id)?.finish(result),
    read: () => received,
    isClosed: () => isClosed,
    waitUntil: (condition: () => boolean) => expect.poll(condition, { timeout: 5000 }).toBe(true),
  };
}

function get(id: string, fields = ""): string {
  return `GET / HTTP/1.1\r\nHost: a.example\r\nRequest-Id: ${id}\r\n${fields}\r\n`;
}

function post(id: string): string {
  return `POST /order/ HTTP/1.1\r\nHost: a.example\r\nRequest-Id: ${id}\r\nContent-Length: 1\r\n\r\nx`;
}

/** Lists the statuses and short bodies of the answers in the order in which they came. */
function listAnswers(received: string): readonly string[] {
  return received
    .split("HTTP/1.1 ")
    .slice(1)
    .map(
      (answer) =>
        `${answer.slice(0, 3)} ${answer.split("\r\n\r\n").slice(1).join("").replace(/\r\n/g, " ").trim()}`,
    );
}

describe("requests that are sent ahead", () => {
  test("are at servers at the same time, and are answered in their order", async () => {
    const { send, ids, finish, read, waitUntil } = await start();
    send(get("a"), get("b"), get("c"));
    await waitUntil(() => ids().length === 3);
    finish("c", createAnswer("c"));
    finish("b", refusal);
    finish("a", createAnswer("a"));
    await waitUntil(() => listAnswers(read()).length === 3);
    expect(listAnswers(read())).toEqual(["200 a", '503 {"error":"overloaded"}', "200 c"]);
  });

  test("wait behind a streamed answer", async () => {
    const { send, ids, finish, read, waitUntil } = await start();
    send(get("a"), get("b"));
    await waitUntil(() => ids().length === 2);
    const rest = new PassThrough();
    const message = { statusCode: 200, rawHeaders: ["Content-Length", "4"], headers: {} };
    const body = { kind: "streamed", head: [Buffer.from("a1")], rest };
    finish("a", { kind: "answered", message, body } as unknown as DispatchResult);
    finish("b", createAnswer("b"));
    await waitUntil(() => read().endsWith("a1"));
    rest.end("a2");
    await waitUntil(() => listAnswers(read()).length === 2);
    expect(listAnswers(read())).toEqual(["200 a1a2", "200 b"]);
  });

  // Guards against the answer to a malformed request being taken for that to the request before it.
  test("are answered before a malformed request behind them", async () => {
    const { send, ids, finish, read, isClosed, waitUntil } = await start();
    send(get("a"), get("b"), "NONSENSE\r\n\r\n");
    await waitUntil(() => ids().length === 2);
    await new Promise((resolve) => setTimeout(resolve, 50));
    expect(read()).toBe("");
    finish("b", createAnswer("b"));
    finish("a", createAnswer("a"));
    await waitUntil(isClosed);
    expect(listAnswers(read())).toEqual(
      ["200 a", "200 b", "400"].map((text) => (text === "400" ? "400 " : text)),
    );
  });

  test("are answered before a request behind them whose body is malformed", async () => {
    const { send, ids, finish, read, isClosed, waitUntil } = await start();
    const chunked = "Transfer-Encoding: chunked\r\n";
    send(get("a"), `POST / HTTP/1.1\r\nHost: a.example\r\nRequest-Id: b\r\n${chunked}\r\nnothex\r\n`);
    await waitUntil(() => ids().length === 1);
    finish("a", createAnswer("a"));
    await waitUntil(isClosed);
    expect(listAnswers(read())).toEqual(["200 a", "400 "]);
  });

  // Guards against work that runs and is never answered.
  test("are not passed on behind an answer that closes the connection", async () => {
    const { listener: draining, send, ids, finish, read, isClosed, waitUntil } = await start();
    send(get("a"), get("b"));
    await waitUntil(() => ids().length === 2);
    draining.drain(Number.POSITIVE_INFINITY);
    finish("a", createAnswer("a"));
    await waitUntil(() => listAnswers(read()).length === 1);
    send(get("c"));
    await new Promise((resolve) => setTimeout(resolve, 50));
    expect(ids()).toEqual(["a", "b"]);
    finish("b", createAnswer("b"));
    await waitUntil(isClosed);
    expect(listAnswers(read())).toEqual(["200 a", "200 b"]);
    expect(read().match(/connection: close/gi)).toHaveLength(1);
    expect(ids()).toEqual(["a", "b"]);
  });

  // Guards against an answer that broke off and looks complete, and against losing the requests behind it.
  test("get an answer behind one without a length, which is not passed on as if it were complete", async () => {
    const { send, ids, finish, read, waitUntil } = await start();
    send(get("a"), get("b"));
    await waitUntil(() => ids().length === 2);
    finish("a", createAnswer("a", "unframed"));
    finish("b", createAnswer("b"));
    await waitUntil(() => listAnswers(read()).length === 2);
    expect(listAnswers(read())).toEqual(['502 {"error":"unframed-answer"}', "200 b"]);
  });

  test("are not passed on behind an answer without a length that is the last one at servers", async () => {
    const { send, ids, finish, read, isClosed, waitUntil } = await start();
    send(get("a"), post("b"));
    await waitUntil(() => ids().length === 1);
    finish("a", createAnswer("a", "unframed"));
    await waitUntil(isClosed);
    expect(ids()).toEqual(["a"]);
    expect(read()).toMatch(/^HTTP\/1\.1 200 [^]*connection: close[^]*\r\n\r\na$/i);
    expect(read()).not.toMatch(/content-length|transfer-encoding/i);
  });

  test("are cancelled when their caller closes the connection, also those behind", async () => {
    const { socket, send, ids, find, waitUntil } = await start();
    send(get("a"), get("b"), get("c"));
    await waitUntil(() => ids().length === 3);
    socket.resetAndDestroy();
    await waitUntil(() => ["a", "b", "c"].every((id) => find(id)?.request.caller.signal.aborted));
  });

  test("are passed on one after the other if they must not run twice", async () => {
    const { send, ids, finish, read, waitUntil } = await start();
    send(get("a"), post("b"), get("c"));
    await waitUntil(() => ids().length === 2);
    expect(ids()).toEqual(["a", "c"]);
    finish("c", createAnswer("c"));
    finish("a", createAnswer("a"));
    await waitUntil(() => ids().length === 3);
    finish("b", createAnswer("b"));
    await waitUntil(() => listAnswers(read()).length === 3);
    expect(listAnswers(read())).toEqual(["200 a", "200 b", "200 c"]);
  });

  test("are refused in their order when their turn does not come in time", async () => {
    const { send, ids, finish, read, waitUntil } = await start();
    const order = post("b").replace("Request-Id", "Request-Deadline: 40\r\nRequest-Id");
    send(get("a"), order);
    await waitUntil(() => ids().length === 1);
    await new Promise((resolve) => setTimeout(resolve, 80));
    expect(read()).toBe("");
    finish("a", createAnswer("a"));
    await waitUntil(() => listAnswers(read()).length === 2);
    expect(listAnswers(read())).toEqual(["200 a", '503 {"error":"late"}']);
    expect(ids()).toEqual(["a"]);
  });

  test("are bounded: eight are at servers, and the rest is answered in its order", async () => {
    const { send, ids, finish, read, waitUntil } = await start();
    const all = Array.from({ length: 40 }, (_, index) => `r${index}`);
    send(...all.map((id) => get(id)));
    await waitUntil(() => ids().length === 8);
    for (const [index, id] of all.entries()) {
      await waitUntil(() => ids().includes(id));
      expect(ids().length - index).toBeLessThanOrEqual(8);
      finish(id, createAnswer(id));
    }
    await waitUntil(() => listAnswers(read()).length === all.length);
    expect(listAnswers(read())).toEqual(all.map((id) => `200 ${id}`));
  });
});
