/** Parts of the gateway: route matching, server connections, fleet-wide limits, and what may be retried. */
import { type Socket, connect } from "node:net";
import { afterEach, beforeEach, describe, expect, test } from "vitest";
import {
  RejectionReason,
  type Route,
  RouteKind,
  type RoutingConfiguration,
  createCallerListener,
  createColdAdmission,
  createRetryBudgetShare,
  createRouteMatcher,
  createServerConnections,
} from "../src/gateway";
import { createCounters, createMetrics, silentLogger } from "../src/observability";
import { systemClock } from "../src/types";
import { wireCallerProtocol, wireServerProtocol } from "../platform/protocols";
import { createRandom } from "../standins/scenarios/callers";
import { findFreePort } from "../standins/scenarios/ports";
import { createFakeClock } from "./support/fakeClock";
import {
  DEADLINE_MS,
  SEED,
  SIGNATURE_FIELD,
  addRequestId,
  createFramedAnswer,
  createRequest,
  createRoute,
  createTestDispatcher,
  createTestPriorities,
  createTestServer,
  formatAnswer,
  policy,
  presentCaller,
} from "./support/gateway";
import {
  type RawBehaviour,
  type RawRequest,
  type RawServer,
  createEndlessAnswer,
  startRawServer,
} from "./support/rawServer";

function createConfiguration(routes: readonly Route[]): RoutingConfiguration {
  const limits = { maxHeaderBytes: 1000, maxBodyBytes: 1000, headerTimeoutMs: 1000, idleTimeoutMs: 1000 };
  return { version: 1, routes, services: new Map(), limits };
}

describe("route matcher", () => {
  const routes = [
    createRoute({ name: "all" }),
    createRoute({ name: "books", pathPrefix: "/books/" }),
    createRoute({ name: "old books", pathPrefix: "/books/old/" }),
    createRoute({ name: "other host", host: "b.example", pathPrefix: "/only/" }),
  ];
  const matcher = createRouteMatcher(createConfiguration(routes));

  const cases: readonly (readonly [host: string, path: string, route: string | undefined])[] = [
    ["a.example", "/", "all"],
    ["a.example:8080", "/books/1", "books"],
    ["A.Example", "/books/old/1", "old books"],
    ["a.example", "/books/old", "books"],
    ["a.example", "/books", "all"],
    ["a.example", "/books%2Fold/1", "all"],
    ["b.example", "/", undefined],
    ["b.example", "/only/x/y", "other host"],
    ["c.example", "/", undefined],
    ["", "/", undefined],
  ];
  test.each(cases)("%s%s matches route %s", (host, path, name) => {
    expect(matcher.match(host, path)?.name).toBe(name);
  });

  test("any hundred requests are distributed exactly by weight", () => {
    const route = createRoute({
      services: [
        { service: "x", weight: 90 },
        { service: "y", weight: 10 },
        { service: "z", weight: 0 },
      ],
    });
    const weighted = createRouteMatcher(createConfiguration([route]));
    const chosen = Array.from({ length: 300 }, () => weighted.chooseService(route));
    for (const start of [0, 7, 150]) {
      const window = chosen.slice(start, start + 100);
      expect(window.filter((service) => service === "y")).toHaveLength(10);
    }
    expect(chosen).not.toContain("z");
  });
});

describe("weighted services over many daemons", () => {
  const route = createRoute({
    services: [
      { service: "x", weight: 90 },
      { service: "y", weight: 10 },
    ],
  });
  const configuration = createConfiguration([route]);

  test.each([1, 3, 8])("get their shares of %i requests at each of 200 daemons", (requests) => {
    const random = createRandom(SEED);
    const chosen = Array.from({ length: 200 }, () => createRouteMatcher(configuration, random)).flatMap(
      (matcher) => Array.from({ length: requests }, () => matcher.chooseService(route)),
    );
    const share = chosen.filter((service) => service === "y").length / chosen.length;
    // Five in a hundred off is half of what operators tolerate.
    expect(Math.abs(share - 0.1)).toBeLessThan(0.05);
  });
});

describe("fleet-wide limits", () => {
  const coldCases = [
    { requestsPerSecond: 13, daemons: 12 },
    { requestsPerSecond: 3.6, daemons: 12 },
    { requestsPerSecond: 3.6, daemons: 82 },
  ];
  test.each(coldCases)(
    "$daemons daemons together keep to a cold server's limit of $requestsPerSecond requests per second",
    async ({ requestsPerSecond, daemons }) => {
      const clock = createFakeClock();
      const random = createRandom(SEED);
      const admissions = Array.from({ length: daemons }, () =>
        createColdAdmission(clock, random, () => daemons),
      );
      const sentAt: number[] = [];
      for (let step = 0; step < 400; step += 1) {
        for (const admission of admissions) {
          if (admission.tryAcquire("s", requestsPerSecond)) {
            sentAt.push(clock.now());
          }
        }
        await clock.advance(10);
      }
      const bound = requestsPerSecond * 1.5 + 5;
      for (const start of sentAt) {
        expect(sentAt.filter((at) => at >= start && at < start + 1000).length).toBeLessThanOrEqual(bound);
      }
      expect(sentAt.length).toBeGreaterThan(requestsPerSecond * 2);
    },
  );

  test("extra attempts stay within the ratio and slack of the retry budget", async () => {
    const clock = createFakeClock();
    const daemons = 12;
    const limits = { ratio: 0.2, windowMs: 10_000, slack: 64 };
    const shares = Array.from({ length: daemons }, () =>
      createRetryBudgetShare(clock, limits, () => daemons),
    );
    const retriedAt: number[] = [];
    let requests = 0;
    for (let step = 0; step < 3000; step += 1) {
      for (const share of shares) {
        share.recordRequest("desk");
        requests += 1;
        if (share.tryAcquire("desk")) {
          retriedAt.push(clock.now());
        }
      }
      await clock.advance(10);
    }
    const requestsInWindow = (requests / 30_000) * limits.windowMs;
    const latest = retriedAt.filter((at) => at > clock.now() - limits.windowMs);
    expect(latest.length).toBeLessThanOrEqual(limits.ratio * requestsInWindow + limits.slack);
    expect(latest.length).toBeGreaterThan(0.1 * requestsInWindow);
  });
});

let server: RawServer;

beforeEach(async () => {
  server = await startRawServer();
});

afterEach(async () => {
  await server.close();
});

const createServer = (name = "s1", port = server.port) => createTestServer(name, port);

describe("server connections", () => {
  interface ExchangeCase {
    readonly name: string;
    readonly behaviour: RawBehaviour;
    readonly expected: string;
    readonly body?: string;
    readonly deadlineMs?: number;
  }

  const cases: readonly ExchangeCase[] = [
    {
      name: "a complete answer is returned",
      behaviour: (socket, request) => socket.write(createFramedAnswer("200 OK", "whole")(request)),
      expected: "answered",
      body: "whole",
    },
    {
      name: "an answer that is shorter than its length is broken",
      behaviour: (socket, request) =>
        socket.end(
          formatAnswer(addRequestId(request), `200 OK\r\n${SIGNATURE_FIELD}\r\nContent-Length: 9`, "cut"),
        ),
      expected: "broken",
    },
    {
      name: "a chunked answer that is cut short is broken",
      behaviour: (socket, request) =>
        socket.end(
          formatAnswer(
            addRequestId(request),
            `200 OK\r\n${SIGNATURE_FIELD}\r\nTransfer-Encoding: chunked`,
            "3\r\ncut\r\n",
          ),
        ),
      expected: "broken",
    },
    {
      name: "an answer without length that ends with its connection is returned",
      behaviour: (socket, request) =>
        socket.end(formatAnswer(addRequestId(request), `200 OK\r\n${SIGNATURE_FIELD}`, "whole")),
      expected: "answered",
      body: "whole",
    },
    {
      name: "an answer without length whose connection is reset is broken",
      behaviour: (socket, request) => {
        socket.write(formatAnswer(addRequestId(request), `200 OK\r\n${SIGNATURE_FIELD}`, "cut"));
        setTimeout(() => socket.resetAndDestroy(), 20);
      },
      expected: "broken",
    },
    {
      name: "an answer that is not HTTP is broken",
      behaviour: (socket) => socket.write("hello\r\n\r\n"),
      expected: "broken",
    },
    {
      name: "a connection that is closed without an answer is broken",
      behaviour: (socket) => socket.end(),
      expected: "broken",
    },
    {
      name: "an answer that has not come by the deadline is late",
      behaviour: () => undefined,
      expected: "late",
      deadlineMs: 100,
    },
  ];

  test.each(cases)("$name", async ({ behaviour, expected, body, deadlineMs = DEADLINE_MS }) => {
    server.setBehaviour(behaviour);
    const connections = createServerConnections(systemClock, () => 4);
    const result = await connections.send({
      id: "q1",
      server: createServer(),
      method: "GET",
      path: "/",
      headers: { host: "a.example", "request-id": "q1" },
      body: [],
      isIdempotent: true,
      deadlineAt: systemClock.now() + deadlineMs,
      caller: presentCaller,
      findRejection: () => undefined,
    });
    expect(result.kind).toBe(expected);
    if (result.kind === "answered" && result.body.kind !== "streamed") {
      expect(result.body.content.toString()).toBe(body);
    }
    connections.close();
  });

  interface IdleCase {
    readonly name: string;
    readonly idleMs: number;
    readonly method: "GET" | "POST";
    /** Whether the server resets the kept connection as soon as anything of a further request arrives. */
    readonly isDropped: boolean;
    readonly connections: number;
  }
  const idleCases: readonly IdleCase[] = [
    { name: "in use", idleMs: 100, method: "POST", isDropped: false, connections: 1 },
    { name: "idle for long", idleMs: 300, method: "POST", isDropped: false, connections: 1 },
    { name: "idle for long and dropped", idleMs: 300, method: "POST", isDropped: true, connections: 2 },
    {
      name: "idle beyond its stated timeout",
      idleMs: 9000,
      method: "POST",
      isDropped: false,
      connections: 2,
    },
    // Its head is the whole request, so nothing can be found out before it may run.
    { name: "idle for long, without a body", idleMs: 300, method: "GET", isDropped: false, connections: 2 },
  ];
  // Guards against losing a request on a connection that its server may have dropped, without a new one each time.
  test.each(idleCases)(
    "a request that must not run twice is answered on a connection $name",
    async (idle) => {
      let shiftMs = 0;
      const used = new Set<Socket>();
      const clock = { ...systemClock, now: () => systemClock.now() + shiftMs };
      const keepAlive = `${SIGNATURE_FIELD}\r\nKeep-Alive: timeout=10`;
      server.setBehaviour((socket, request) => {
        used.add(socket);
        socket.write(createFramedAnswer("200 OK", "whole", keepAlive)(request));
      });
      const before = server.receivedRequests.length;
      const connections = createServerConnections(clock, () => 4);
      const body = idle.method === "POST" ? [Buffer.from("x")] : [];
      const sendNonIdempotent = (id: string) =>
        connections.send({
          id,
          server: createServer(),
          method: idle.method,
          path: "/",
          headers: { host: "a.example", "request-id": id, "content-length": String(body.length) },
          body,
          isIdempotent: false,
          deadlineAt: clock.now() + DEADLINE_MS,
          caller: presentCaller,
          findRejection: () => undefined,
        });
      expect((await sendNonIdempotent("q1")).kind).toBe("answered");
      await new Promise(setImmediate);
      shiftMs += idle.idleMs;
      used.forEach((socket) => {
        if (idle.isDropped) {
          socket.prependListener("data", () => socket.resetAndDestroy());
        }
      });
      expect((await sendNonIdempotent("q2")).kind).toBe("answered");
      expect(connections.countOpened()).toBe(idle.connections);
      expect(server.receivedRequests.length - before).toBe(2);
      connections.close();
    },
  );

  const endings = [
    { name: "its deadline", advanceMs: 1000, isCallerGone: false },
    { name: "the departure of its caller", advanceMs: 0, isCallerGone: true },
  ];

  // Guards against an answer that is streamed without end, and against work for a caller that has left.
  test.each(endings)("a streamed answer is broken off at $name", async ({ advanceMs, isCallerGone }) => {
    const piece = "x".repeat(10_000);
    const { behaviour, closed } = createEndlessAnswer(
      (request) => formatAnswer(addRequestId(request), `200 OK\r\n${SIGNATURE_FIELD}`, ""),
      piece,
    );
    server.setBehaviour(behaviour);
    const clock = createFakeClock();
    const caller = new AbortController();
    const connections = createServerConnections(clock, () => 1);
    const target = createServer();
    const result = await connections.send({
      id: "q1",
      server: target,
      method: "GET",
      path: "/",
      headers: { host: "a.example", "request-id": "q1" },
      body: [],
      isIdempotent: true,
      deadlineAt: clock.now() + 1000,
      caller: { ...presentCaller, signal: caller.signal },
      findRejection: () => undefined,
    });
    if (result.kind !== "answered" || result.body.kind !== "streamed") {
      throw new Error(`the answer was not streamed but ${result.kind}`);
    }
    const { rest } = result.body;
    rest.resume();
    const failed = new Promise((resolve) => rest.once("error", resolve));
    expect(connections.hasRoom(target)).toBe(false);
    if (isCallerGone) {
      caller.abort();
    }
    await clock.advance(advanceMs);
    await failed;
    await closed;
    expect(connections.hasRoom(target)).toBe(true);
    connections.close();
  });

  // Guards against sending a request whose caller has left while a connection to the server was made.
  test("a request is not sent on a new connection if its caller has left meanwhile", async () => {
    const before = server.receivedRequests.length;
    const connections = createServerConnections(systemClock, () => 4);
    const result = await connections.send({
      id: "q1",
      server: createServer(),
      method: "POST",
      path: "/",
      headers: {},
      body: [Buffer.from("x")],
      isIdempotent: false,
      deadlineAt: systemClock.now() + DEADLINE_MS,
      caller: { ...presentCaller, confirmPresence: () => Promise.resolve(false) },
      findRejection: () => undefined,
    });
    expect(result.kind).toBe("abandoned");
    expect(server.receivedRequests.length).toBe(before);
    connections.close();
  });

  test("a request to a server that refuses connections is not sent", async () => {
    const { port } = server;
    await server.close();
    const connections = createServerConnections(systemClock, () => 4);
    const result = await connections.send({
      id: "q1",
      server: createServer("s1", port),
      method: "POST",
      path: "/",
      headers: {},
      body: [Buffer.from("x")],
      isIdempotent: false,
      deadlineAt: systemClock.now() + DEADLINE_MS,
      caller: presentCaller,
      findRejection: () => undefined,
    });
    expect(result.kind).toBe("notSent");
    server = await startRawServer();
  });
});

describe("dispatcher", () => {
  interface DispatchCase {
    readonly name: string;
    readonly behaviour: RawBehaviour;
    readonly safe: string;
    readonly unsafe: string;
    /** Number of requests that the servers read for the safe and for the unsafe request, including retries. */
    readonly reads: readonly [safe: number, unsafe: number];
  }

  const shed = createFramedAnswer("503 Service Unavailable", "", "Not-Executed: 1");
  const cases: readonly DispatchCase[] = [
    {
      name: "a signed answer is returned",
      behaviour: (socket, request) => socket.write(createFramedAnswer("200 OK", "x")(request)),
      safe: "answered",
      unsafe: "answered",
      reads: [1, 1],
    },
    {
      name: "a request refused as not run is sent to the other server, even if unsafe",
      behaviour: (socket, request) => socket.write(shed(request)),
      safe: "notRun:shed",
      unsafe: "notRun:shed",
      reads: [2, 2],
    },
    {
      name: "a request whose connection breaks may have run, so only a safe one is retried",
      behaviour: (socket) => socket.destroy(),
      safe: "unknown:broken",
      unsafe: "unknown:broken",
      reads: [2, 1],
    },
    {
      name: "a server's own error answer is returned, after a retry if the request is safe",
      behaviour: (socket, request) =>
        socket.write(createFramedAnswer("500 Internal Server Error", "x")(request)),
      safe: "answered",
      unsafe: "answered",
      reads: [2, 1],
    },
    {
      name: "an unsigned answer is rejected",
      behaviour: (socket, request) => socket.write(createFramedAnswer("200 OK", "x", "X: y")(request)),
      safe: `unknown:${RejectionReason.Unsigned}`,
      unsafe: `unknown:${RejectionReason.Unsigned}`,
      reads: [2, 1],
    },
    {
      name: "an answer to another request is rejected",
      behaviour: (socket) =>
        socket.write(
          `HTTP/1.1 200 OK\r\nRequest-Id: other\r\n${SIGNATURE_FIELD}\r\nContent-Length: 1\r\n\r\nx`,
        ),
      safe: `unknown:${RejectionReason.Foreign}`,
      unsafe: `unknown:${RejectionReason.Foreign}`,
      reads: [2, 1],
    },
    {
      name: "a request answered 503 without a not-run mark may have run",
      behaviour: (socket, request) =>
        socket.write(createFramedAnswer("503 Service Unavailable", "")(request)),
      safe: `unknown:${RejectionReason.Unsigned}`,
      unsafe: `unknown:${RejectionReason.Unsigned}`,
      reads: [2, 1],
    },
  ];

  test.each(cases)("$name", async ({ behaviour, safe, unsafe, reads }) => {
    for (const [kind, expected, count] of [
      [RouteKind.Safe, safe, reads[0]],
      [RouteKind.Unsafe, unsafe, reads[1]],
    ] as const) {
      server.setBehaviour(behaviour);
      const before = server.receivedRequests.length;
      const dispatch = createTestDispatcher([createServer("s1"), createServer("s2")]);
      const result = await dispatch(createRequest(kind));
      expect("reason" in result ? `${result.kind}:${result.reason}` : result.kind).toBe(expected);
      expect(server.receivedRequests.length - before).toBe(count);
    }
  });

  const departures = [
    { name: "closes", leave: (caller: Socket) => caller.destroy() },
    { name: "resets", leave: (caller: Socket) => caller.resetAndDestroy() },
  ];

  // Guards against sending a request whose caller's departure is already in the socket, behind the request: a
  // daemon short of processor time reads both late.
  test.each(departures)(
    "a request reaches no server if its caller $name the connection before it is read",
    async ({ leave }) => {
      const port = await findFreePort();
      const active = createConfiguration([createRoute()]);
      const listener = await createCallerListener({
        address: { host: "127.0.0.1", port },
        findActive: () => ({ configuration: active, matcher: createRouteMatcher(active) }),
        dispatch: createTestDispatcher([createServer()]),
        callerProtocol: wireCallerProtocol,
        serverProtocol: wireServerProtocol,
        clock: systemClock,
        logger: silentLogger,
        metrics: createMetrics(createCounters("test")),
      });
      const send = async (path: string) => {
        const caller = connect(port, "127.0.0.1");
        await new Promise<void>((resolve) => caller.once("connect", resolve));
        caller.on("error", () => undefined);
        caller.write(`GET ${path} HTTP/1.1\r\nHost: a.example\r\nRequest-Id: q1\r\n\r\n`);
        return caller;
      };
      server.setBehaviour((socket, request) => socket.write(createFramedAnswer("200 OK", "x")(request)));
      const before = server.receivedRequests.length;
      const waitForAnswer = async (caller: Socket) => {
        await new Promise((resolve) => caller.once("data", resolve));
        caller.destroy();
      };
      // Leaves a connection to the server on which a request could be sent at once.
      await waitForAnswer(await send("/first"));
      // Both happen before the event loop reads the request.
      leave(await send("/left"));
      await waitForAnswer(await send("/stays"));
      const paths = server.receivedRequests.slice(before).map((request) => request.head.split(" ")[1]);
      expect(paths).toEqual(["/first", "/stays"]);
      void listener.close();
    },
  );

  interface EndlessCase {
    readonly name: string;
    readonly head: (request: RawRequest) => string;
    readonly piece: string;
    readonly expected: string;
  }

  const piece = "x".repeat(10_000);
  const chunk = `${piece.length.toString(16)}\r\n${piece}\r\n`;
  const createHead = (status: string, fields: string) => (request: RawRequest) =>
    formatAnswer(addRequestId(request), `${status}\r\n${fields}`, "");
  const endlessCases: readonly EndlessCase[] = [
    {
      name: "a header field that never ends",
      head: () => "HTTP/1.1 200 OK\r\nX-Field: ",
      piece,
      expected: "unknown:broken",
    },
    {
      name: "header fields that never end",
      head: () => "HTTP/1.1 200 OK\r\n",
      piece: "X-Field: x\r\n",
      expected: "unknown:broken",
    },
    {
      name: "interim answers that never end",
      head: () => "",
      piece: "HTTP/1.1 100 Continue\r\n\r\n",
      expected: "unknown:broken",
    },
    {
      name: "an unsigned body without length that never ends",
      head: createHead("200 OK", "X: y"),
      piece,
      expected: "unknown:unsigned-answer",
    },
    {
      name: "an unsigned body in chunks that never ends",
      head: createHead("200 OK", "Transfer-Encoding: chunked"),
      piece: chunk,
      expected: "unknown:unsigned-answer",
    },
    {
      name: "the body of another request's answer that never ends",
      head: () => `HTTP/1.1 200 OK\r\nRequest-Id: other\r\n${SIGNATURE_FIELD}\r\n\r\n`,
      piece,
      expected: "unknown:foreign-answer",
    },
    {
      name: "the body of a refusal that never ends",
      head: createHead("503 Service Unavailable", "Not-Executed: 1"),
      piece,
      expected: "notRun:shed",
    },
  ];

  // Guards against holding a request, or a connection after it, for a server whose answer never ends.
  test.each(endlessCases)("$name ends the attempt, and its connection is closed", async (endless) => {
    const { behaviour, closed } = createEndlessAnswer(endless.head, endless.piece);
    server.setBehaviour(behaviour);
    const dispatch = createTestDispatcher([createServer("s1")]);
    const result = await dispatch(createRequest(RouteKind.Unsafe));
    expect("reason" in result ? `${result.kind}:${result.reason}` : result.kind).toBe(endless.expected);
    await closed;
  });

  // Guards against a server in need that names a rate limit in its answers and gets all requests all the same.
  test("a server gets no more requests than the rate limit that its answers name allows", async () => {
    const perSecond = 5;
    const fields = `${SIGNATURE_FIELD}\r\nServer-Limit: ${perSecond}`;
    server.setBehaviour((socket, request) =>
      socket.write(createFramedAnswer("200 OK", "x", fields)(request)),
    );
    const before = server.receivedRequests.length;
    const clock = createFakeClock();
    const dispatch = createTestDispatcher([createServer()], clock);
    const deadlineAt = clock.now() + DEADLINE_MS;
    for (let sent = 0; sent < 60; sent += 1) {
      await dispatch(createRequest(RouteKind.Safe, { deadlineAt }));
    }
    // The clock stands still, so this is what any four seconds may see.
    expect(server.receivedRequests.length - before).toBeLessThanOrEqual(4 * perSecond * 1.5 + 5);
  });

  const createMisdirectedAnswer = (instance: string) =>
    createFramedAnswer("421 Misdirected Request", "", `Instance-Id: ${instance}\r\nNot-Executed: 1`);

  test("no second request is sent to a server whose address now belongs to another one", async () => {
    server.setBehaviour((socket, request) => socket.write(createMisdirectedAnswer("other")(request)));
    const before = server.receivedRequests.length;
    const dispatch = createTestDispatcher([createServer("s1")]);
    expect(await dispatch(createRequest(RouteKind.Safe))).toMatchObject({ kind: "notRun" });
    const second = await dispatch(createRequest(RouteKind.Safe));
    expect(second).toMatchObject({ kind: "notRun", reason: RejectionReason.Unreachable });
    expect(server.receivedRequests.length - before).toBe(1);
  });

  // Guards against refusing requests to a healthy server because callers of earlier ones have left.
  test("a caller that leaves before its request is sent does not make its server unreachable", async () => {
    server.setBehaviour((socket, request) => socket.write(createFramedAnswer("200 OK", "x")(request)));
    const dispatch = createTestDispatcher([createServer("s1")]);
    const caller = {
      ...presentCaller,
      signal: AbortSignal.abort(),
      confirmPresence: () => Promise.resolve(false),
    };
    await dispatch(createRequest(RouteKind.Safe, { caller }));
    expect(await dispatch(createRequest(RouteKind.Safe))).toMatchObject({ kind: "answered" });
  });

  // Guards against refusing a request because several servers went down together, as those of a data centre do.
  test.each([
    { dead: 3, expected: "answered" },
    { dead: 4, expected: "notRun" },
  ])(
    "of $dead unreachable servers and one that answers, with two attempts: $expected",
    async ({ dead, expected }) => {
      server.setBehaviour((socket, request) => socket.write(createFramedAnswer("200 OK", "x")(request)));
      const ports = await Promise.all(Array.from({ length: dead }, () => findFreePort()));
      const unreachable = ports.map((port, index) => createTestServer(`dead${index}`, port));
      // Farther than the others, so that it is the last one to be tried.
      const last = { ...createServer("alive"), dataCentre: "far" };
      const dispatch = createTestDispatcher([...unreachable, last], systemClock, undefined, undefined, 1000);
      expect((await dispatch(createRequest(RouteKind.Unsafe))).kind).toBe(expected);
    },
  );

  interface ShedCase {
    readonly name: string;
    /** Field of the refusal beside the statement that the request has not run. */
    readonly report: string;
    readonly expected: string;
  }
  const shedCases: readonly ShedCase[] = [
    { name: "has room", report: "Instance-Load: 1,0,4", expected: "answered" },
    { name: "is full", report: "Instance-Load: 4,8,4", expected: "notRun" },
    { name: "reports no load", report: "X: y", expected: "notRun" },
    { name: "reports nonsense", report: "Instance-Load: -1,x,4", expected: "notRun" },
  ];
  // Guards against giving up on a key although its owner refuses at random, and against pressing on a full one.
  test.each(shedCases)("an owner that refuses a request and $name", async ({ report, expected }) => {
    const refusal = createFramedAnswer("503 Service Unavailable", "", `Not-Executed: 1\r\n${report}`);
    const answers = [refusal, createFramedAnswer("200 OK", "x")];
    server.setBehaviour((socket, request) => socket.write((answers.shift() ?? refusal)(request)));
    const dispatch = createTestDispatcher([createServer("s1")]);
    const keyed = { key: 7, service: { ...policy, isKeyed: true } };
    expect((await dispatch(createRequest(RouteKind.Unsafe, keyed))).kind).toBe(expected);
  });

  // Guards against lowering the admitted shares of a service whose servers refuse at random and have room.
  test.each([
    { load: "0,0,4", counted: 0 },
    { load: "4,8,4", counted: 1 },
  ])("a refusal with the load $load counts $counted times as lack of capacity", async ({ load, counted }) => {
    const refusal = `Not-Executed: 1\r\nInstance-Load: ${load}`;
    server.setBehaviour((socket, request) =>
      socket.write(createFramedAnswer("503 Service Unavailable", "", refusal)(request)),
    );
    let refusals = 0;
    const servers = [createServer("s1")];
    const priorities = {
      ...createTestPriorities(systemClock),
      recordRefusal: () => {
        refusals += 1;
      },
    };
    const dispatch = createTestDispatcher(servers, systemClock, undefined, priorities);
    await dispatch(createRequest(RouteKind.Safe));
    expect(refusals).toBe(counted);
  });

  test("an owner that does not hold the key gets the request again only under a new assignment", async () => {
    server.setBehaviour((socket, request) => socket.write(createMisdirectedAnswer("s1")(request)));
    const before = server.receivedRequests.length;
    const dispatch = createTestDispatcher([createServer("s1")]);
    const request = createRequest(RouteKind.Safe, { key: 7, service: { ...policy, isKeyed: true } });
    expect(await dispatch(request)).toMatchObject({ kind: "notRun" });
    expect(server.receivedRequests.length - before).toBe(1);
  });

  test("path and query reach the server unchanged, and the deadline is not extended", async () => {
    server.setBehaviour((socket, request) => socket.write(createFramedAnswer("200 OK", "x")(request)));
    await createTestDispatcher([createServer()])(createRequest(RouteKind.Safe));
    const head = server.receivedRequests.at(-1)?.head ?? "";
    expect(head).toContain("GET /a%2Fb/../c?x=1&x=2 HTTP/1.1");
    expect(Number(/request-deadline: (\d+)/i.exec(head)?.[1])).toBeLessThanOrEqual(DEADLINE_MS);
    expect(head.toLowerCase()).toContain("target-instance: s1");
  });

  test("without a server a request is refused at once as not run, with a retry-after time", async () => {
    const result = await createTestDispatcher([])(createRequest(RouteKind.Unsafe));
    expect(result).toMatchObject({ kind: "notRun", reason: RejectionReason.NoServer });
    expect(result.kind === "notRun" && result.retryAfterMs).toBeGreaterThan(0);
    expect(result.kind === "notRun" && result.retryAfterMs).toBeLessThan(DEADLINE_MS / 3);
  });
});
