/**
 * What backend servers say of themselves in their answers: that they are leaving, that they want no requests for a
 * time, and answers that they repeat on a kept connection. Arrivals are counted as the users' rules word them.
 */
import { afterEach, beforeEach, describe, expect, test } from "vitest";
import { RejectionReason, RouteKind } from "../src/gateway";
import { type Clock, systemClock } from "../src/types";
import { createWireKeyControl } from "../platform/keyControl";
import { wireServerProtocol } from "../platform/protocols";
import {
  LEAVING_OWNER_MS,
  SIGNATURE_FIELD,
  createFramedAnswer,
  createRequest,
  createTestDirectory,
  createTestDispatcher,
  createTestServer,
  policy,
} from "./support/gateway";
import { type RawServer, startRawServer } from "./support/rawServer";

/** Below the number of requests that a server may get from a daemon that it has asked for none. */
const MAX_BACK_OFF_REQUESTS = 2;

let server: RawServer;

beforeEach(async () => {
  server = await startRawServer();
});

afterEach(async () => {
  await server.close();
});

/** A clock whose time only a test changes; timers run by the system clock. */
function createShiftedClock() {
  let now = 1000;
  const clock: Clock = { ...systemClock, now: () => now };
  return {
    clock,
    shift: (ms: number) => {
      now += ms;
    },
  };
}

const keyed = { key: 7, service: { ...policy, isKeyed: true } };
const ok = createFramedAnswer("200 OK", "x");

describe("a server that says that it is leaving", () => {
  const leavingAnswer = createFramedAnswer("200 OK", "x", `${SIGNATURE_FIELD}\r\nServer-Leaving: 1`);

  function createDesk(bornAt = 1) {
    const { clock, shift } = createShiftedClock();
    const desk = createTestServer("s1", server.port, { bornAt });
    const directory = createTestDirectory([desk], clock);
    const dispatch = createTestDispatcher([desk], clock, directory);
    const send = (change = {}) =>
      dispatch(createRequest(RouteKind.Safe, { deadlineAt: clock.now() + 5000, ...change }));
    const put = (change: object) => {
      directory.applyChanges([{ path: "servers/s1", version: 2, value: { ...desk, ...change } }], []);
    };
    return { directory, send, shift, put, desk };
  }

  test("gets no further request, though its entry says that it is ready, until it is another process", async () => {
    const { directory, send, put } = createDesk();
    server.setBehaviour((socket, request) => socket.write(leavingAnswer(request)));
    expect((await send()).kind).toBe("answered");
    put({ sequence: 9 });
    expect(await send()).toMatchObject({ kind: "notRun" });
    directory.applyChanges([], ["servers/s1"]);
    put({ sequence: 12 });
    expect(await send()).toMatchObject({ kind: "notRun" });
    expect(server.receivedRequests).toHaveLength(1);
    put({ bornAt: 2 });
    expect((await send()).kind).toBe("answered");
  });

  test("serves its keys for a moment, while they move to other owners, and then no more", async () => {
    const { directory, send, shift, desk } = createDesk();
    server.setBehaviour((socket, request) => socket.write(leavingAnswer(request)));
    expect((await send(keyed)).kind).toBe("answered");
    // The coordinator takes the keys of a server that is not usable away from it.
    expect(directory.isUsable(desk)).toBe(false);
    shift(LEAVING_OWNER_MS - 500);
    expect((await send(keyed)).kind).toBe("answered");
    shift(600);
    expect(await send(keyed)).toMatchObject({ kind: "notRun" });
    expect(server.receivedRequests).toHaveLength(2);
  });

  test("is known to a daemon that another one told, as old as the statement is", () => {
    const { directory, desk } = createDesk();
    directory.mergeLeaving([{ server: "s1", bornAt: 1, ageMs: 800 }]);
    expect(directory.getUsable("desk")).toEqual([]);
    expect(directory.findLeavingMs(desk)).toBe(800);
    expect(directory.shareLeaving()).toMatchObject([{ server: "s1", bornAt: 1 }]);
    const other = createDesk(2).directory;
    other.mergeLeaving([{ server: "s1", bornAt: 1, ageMs: 800 }]);
    expect(other.getUsable("desk")).toHaveLength(1);
  });

  const untrusted = [
    { name: "no signature", fields: "Server-Leaving: 1" },
    { name: "another value", fields: `${SIGNATURE_FIELD}\r\nServer-Leaving: 0` },
  ];
  test.each(untrusted)("is not believed with $name", async ({ fields }) => {
    const { directory, send } = createDesk();
    server.setBehaviour((socket, request) =>
      socket.write(createFramedAnswer("200 OK", "x", fields)(request)),
    );
    await send();
    expect(directory.getUsable("desk")).toHaveLength(1);
  });
});

describe("a server that refuses with a time to return", () => {
  const refuse = (retryAfter: string) =>
    createFramedAnswer("503 Service Unavailable", "", `Not-Executed: 1\r\nRetry-After: ${retryAfter}`);

  interface BackOffCase {
    readonly retryAfter: readonly string[];
    /** How long the server gets next to nothing, in seconds. */
    readonly seconds: number;
  }
  const cases: readonly BackOffCase[] = [
    { retryAfter: ["3"], seconds: 3 },
    { retryAfter: ["2.5"], seconds: 2.5 },
    { retryAfter: ["5", "1"], seconds: 5 },
    { retryAfter: ["1", "5"], seconds: 5 },
    { retryAfter: ["99999999999999999999"], seconds: 3600 },
    { retryAfter: ["0"], seconds: 0 },
    { retryAfter: ["-4"], seconds: 0 },
    { retryAfter: ["1e9"], seconds: 0 },
    { retryAfter: ["soon"], seconds: 0 },
    { retryAfter: ["Sat, 05 Dec 2026 09:00:00 GMT"], seconds: 0 },
  ];
  test.each(cases)("of $retryAfter gets next to nothing for $seconds s", async ({ retryAfter, seconds }) => {
    const { clock, shift } = createShiftedClock();
    const dispatch = createTestDispatcher([createTestServer("s1", server.port)], clock);
    const send = () => dispatch(createRequest(RouteKind.Safe, { deadlineAt: clock.now() + 5000, ...keyed }));
    let answers = 0;
    server.setBehaviour((socket, request) => {
      socket.write(refuse(retryAfter[answers] ?? retryAfter.at(-1) ?? "")(request));
      answers += 1;
    });
    // Requests that arrive together get all statements before any of them takes effect.
    await Promise.all(retryAfter.map(send));
    const before = server.receivedRequests.length;
    expect(before).toBe(retryAfter.length);
    server.setBehaviour((socket, request) => socket.write(ok(request)));
    shift(Math.max(0, seconds * 1000 - 200));
    for (let count = 0; count < 5; count += 1) {
      const result = await send();
      const expected = seconds === 0 ? {} : { reason: RejectionReason.BackingOff };
      expect(result).toMatchObject({ kind: seconds === 0 ? "answered" : "notRun", ...expected });
    }
    const arrived = server.receivedRequests.length - before;
    expect(arrived).toBe(seconds === 0 ? 5 : 0);
    expect(seconds === 0 || arrived <= MAX_BACK_OFF_REQUESTS).toBe(true);
    shift(300);
    expect((await send()).kind).toBe("answered");
  });

  test("tells callers to return when it is over, if they wait that long", async () => {
    const { clock } = createShiftedClock();
    const dispatch = createTestDispatcher([createTestServer("s1", server.port)], clock);
    server.setBehaviour((socket, request) => socket.write(refuse("1")(request)));
    const send = (deadlineMs: number) =>
      dispatch(createRequest(RouteKind.Safe, { ...keyed, deadlineAt: clock.now() + deadlineMs }));
    await send(4000);
    const patient = await send(4000);
    expect(patient.kind === "notRun" && patient.retryAfterMs).toBeGreaterThanOrEqual(1000);
    const hasty = await send(1000);
    expect(hasty.kind === "notRun" && hasty.retryAfterMs).toBeLessThan(400);
  });

  test("is left out while the other server of its service gets the requests", async () => {
    const other = await startRawServer();
    const servers = [createTestServer("s1", server.port), createTestServer("s2", other.port)];
    const dispatch = createTestDispatcher(servers);
    server.setBehaviour((socket, request) => socket.write(refuse("60")(request)));
    other.setBehaviour((socket, request) => socket.write(ok(request)));
    for (let count = 0; count < 20; count += 1) {
      expect((await dispatch(createRequest(RouteKind.Safe))).kind).toBe("answered");
    }
    expect(server.receivedRequests.length).toBeLessThanOrEqual(1);
    await other.close();
  });

  test("has no effect on another process of the same name", () => {
    const read = wireServerProtocol.read(503, { "not-executed": "1", "retry-after": "7" });
    expect(read.backOffMs).toBe(7000);
    expect(wireServerProtocol.read(429, { "retry-after": "7" }).backOffMs).toBeUndefined();
  });
});

describe("a server that repeats an earlier answer on a kept connection", () => {
  interface RepeatCase {
    readonly name: string;
    /** Answer to the first request, which the server writes again in place of the second one's. */
    readonly repeated: (id: string) => string;
    readonly kind: RouteKind;
    readonly expected: object;
  }
  const notRun = "503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0";
  const cases: readonly RepeatCase[] = [
    {
      name: "a refusal that names the earlier request",
      repeated: (id) => `HTTP/1.1 ${notRun}\r\nRequest-Id: ${id}\r\n\r\n`,
      kind: RouteKind.Unsafe,
      expected: { kind: "unknown", reason: RejectionReason.Foreign },
    },
    {
      name: "a refusal that names no request",
      repeated: () => `HTTP/1.1 ${notRun}\r\n\r\n`,
      kind: RouteKind.Unsafe,
      expected: { kind: "unknown", reason: RejectionReason.Foreign },
    },
    {
      name: "a success that names no request",
      repeated: () => `HTTP/1.1 200 OK\r\n${SIGNATURE_FIELD}\r\nContent-Length: 1\r\n\r\na`,
      kind: RouteKind.Safe,
      expected: { kind: "unknown", reason: RejectionReason.Foreign },
    },
  ];

  // Guards against telling a caller that its request has not run, or giving it another caller's answer.
  test.each(cases)("$name", async ({ repeated, kind, expected }) => {
    const answered: string[] = [];
    server.setBehaviour((socket, request) => {
      const id = /request-id: (\S+)/i.exec(request.head)?.[1] ?? "";
      answered.push(id);
      socket.write(repeated(answered[0] ?? id));
    });
    const dispatch = createTestDispatcher([createTestServer("s1", server.port)], createShiftedClock().clock);
    await dispatch(createRequest(kind, { id: "first" }));
    const second = await dispatch(createRequest(kind, { id: "second" }));
    expect(second).toMatchObject(expected);
  });

  test("an answer that names no request counts on a connection that carried no other", async () => {
    server.setBehaviour((socket) =>
      socket.write(`HTTP/1.1 200 OK\r\n${SIGNATURE_FIELD}\r\nContent-Length: 1\r\n\r\na`),
    );
    const dispatch = createTestDispatcher([createTestServer("s1", server.port)], createShiftedClock().clock);
    expect((await dispatch(createRequest(RouteKind.Safe))).kind).toBe("answered");
  });

  // A repeated refusal would pass for the answer to the second attempt, which has the same identifier.
  test("a request that was refused goes out again on another connection only", async () => {
    const sockets = new Set<unknown>();
    server.setBehaviour((socket, request) => {
      sockets.add(socket);
      socket.write(createFramedAnswer("421 Misdirected Request", "", "Not-Executed: 1")(request));
    });
    const dispatch = createTestDispatcher([createTestServer("s1", server.port)], createShiftedClock().clock);
    await dispatch(createRequest(RouteKind.Unsafe, { id: "same" }));
    await dispatch(createRequest(RouteKind.Unsafe, { id: "same" }));
    expect(sockets.size).toBe(2);
  });
});

// Guards against keys that count as released, or as lost, while their owner still works on them.
describe("a server that repeats an earlier answer to a control call", () => {
  const grant = { from: 0, to: 9, token: 3, durationMs: 4000, handover: null };
  const format = (status: string) => `HTTP/1.1 ${status}\r\nContent-Length: 0\r\n\r\n`;

  test("does not end a release before it has answered that", async () => {
    const control = createWireKeyControl();
    const target = createTestServer("s1", server.port);
    const answered = new Set<unknown>();
    let hasFinished = false;
    server.setBehaviour((socket, request) => {
      if (answered.has(socket)) {
        socket.write(format("200 OK"));
        return;
      }
      answered.add(socket);
      const delayMs = request.head.includes("release") && answered.size > 2 ? 100 : 0;
      setTimeout(() => {
        hasFinished ||= delayMs > 0;
        socket.write(format("200 OK"));
      }, delayMs);
    });
    expect(await control.grant(target, grant, () => true)).toEqual({ kind: "granted" });
    expect(await control.release(target, { from: 0, to: 4 }, 4)).toMatchObject({ kind: "released" });
    expect(await control.release(target, { from: 5, to: 9 }, 5)).toMatchObject({ kind: "released" });
    expect(hasFinished).toBe(true);
    control.close();
  });

  test("does not end a release that waited until another one's connection was free", async () => {
    const control = createWireKeyControl();
    const target = createTestServer("s1", server.port);
    const calls = new Map<unknown, number>();
    let hasFinished = false;
    server.setBehaviour((socket) => {
      calls.set(socket, (calls.get(socket) ?? 0) + 1);
      const callCount = [...calls.values()].reduce((total, count) => total + count);
      if (callCount <= 3) {
        setTimeout(() => socket.write(format("200 OK")), 20);
        setTimeout(() => socket.write(format("200 OK")), 60);
        return;
      }
      setTimeout(() => {
        hasFinished = true;
        socket.write(format("200 OK"));
      }, 300);
    });
    const ranges = [0, 10, 20, 30].map((from) => ({ from, to: from + 9 }));
    const results = await Promise.all(
      ranges.map((range, index) => control.release(target, range, index + 1)),
    );
    expect(results.map(({ kind }) => kind)).toEqual(ranges.map(() => "released"));
    expect(hasFinished).toBe(true);
    expect([...calls.values()]).toEqual([1, 1, 1, 1]);
    control.close();
  });

  // Guards against counting the wait for another release's running work as a failure to connect.
  test("releases more ranges at once than it gets connections", async () => {
    const control = createWireKeyControl();
    const target = createTestServer("s1", server.port);
    server.setBehaviour((socket) => {
      setTimeout(() => socket.write(format("200 OK")), 500);
    });
    const ranges = [0, 10, 20, 30, 40].map((from) => ({ from, to: from + 9 }));
    const results = await Promise.all(
      ranges.map((range, index) => control.release(target, range, index + 1)),
    );
    expect(results.map(({ kind }) => kind)).toEqual(ranges.map(() => "released"));
    control.close();
  });

  test.each(["409 Conflict", "421 Misdirected Request"])("does not end a grant with %s", async (status) => {
    const control = createWireKeyControl();
    const target = createTestServer("s1", server.port);
    const answered = new Set<unknown>();
    server.setBehaviour((socket) => {
      socket.write(format(answered.has(socket) ? status : "200 OK"));
      answered.add(socket);
    });
    expect(await control.grant(target, grant, () => true)).toEqual({ kind: "granted" });
    await new Promise(setImmediate);
    expect(await control.grant(target, grant, () => true)).toMatchObject({ kind: "unanswered" });
    expect(await control.grant(target, grant, () => true)).toEqual({ kind: "granted" });
    control.close();
  });
});

// Guards against answering 502 to a request that reached no server: the server was full, so it has not run.
describe("a server that resets connections beyond those that it accepts", () => {
  test.each([RouteKind.Unsafe, RouteKind.Safe])("gets no %s request on them", async (kind) => {
    server.setCloseOnAccept(true);
    const dispatch = createTestDispatcher([createTestServer("s1", server.port)]);
    const results = [];
    for (let count = 0; count < 3; count += 1) {
      results.push(await dispatch(createRequest(kind, keyed)));
    }
    // A safe request on the first connection is sent at once; after its reset, connections are confirmed first.
    const certain = kind === RouteKind.Unsafe ? results : results.slice(1);
    certain.forEach((result) => {
      expect(result.kind).toBe("notRun");
    });
    expect(server.receivedRequests).toHaveLength(0);
  });
});
