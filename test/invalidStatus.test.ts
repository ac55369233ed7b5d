/**
 * Backend servers whose answers have a status that HTTP does not have, such as 000. Guards against one that reaches the
 * caller as an answer, and against a connection that is reset without one.
 */
import { connect } from "node:net";
import { afterEach, beforeEach, describe, expect, test } from "vitest";
import { RouteKind } from "../src/gateway";
import { systemClock } from "../src/types";
import {
  createFramedAnswer,
  createRequest,
  createTestDispatcher,
  createTestServer,
  startTestListener,
} from "./support/gateway";
import { type RawServer, startRawServer } from "./support/rawServer";

const INVALID_STATUSES = ["000", "099", "600", "999"] as const;
const HOST = "127.0.0.1";

let server: RawServer;

beforeEach(async () => {
  server = await startRawServer();
});

afterEach(async () => {
  await server.close();
});

/** Lets the server answer the first requests with one status each, and all further ones with 200. */
function answerWith(...statuses: readonly string[]): void {
  const remaining = [...statuses];
  server.setBehaviour((socket, request) => {
    socket.write(createFramedAnswer(`${remaining.shift() ?? "200"} Status`, "body")(request));
  });
}

/** Sends requests one after the other on one connection. Returns the status of each, or the end of the connection. */
function callOnOneConnection(port: number, requests: number): Promise<readonly string[]> {
  return new Promise((resolve) => {
    const results: string[] = [];
    const socket = connect(port, HOST);
    const send = () => {
      const id = `c${results.length}`;
      socket.write(`POST /a HTTP/1.1\r\nHost: a.example\r\nRequest-Id: ${id}\r\nContent-Length: 0\r\n\r\n`);
    };
    const record = (result: string) => {
      results.push(result);
      if (results.length === requests) {
        socket.destroy();
        resolve(results);
      } else {
        send();
      }
    };
    socket.once("connect", send);
    socket.on("data", (chunk) => {
      record(/^HTTP\/1\.1 (\d+)/.exec(chunk.toString())?.[1] ?? "no status");
    });
    socket.once("close", () => {
      record("closed");
    });
    socket.on("error", () => undefined);
  });
}

describe("an answer with an invalid status", () => {
  const cases = INVALID_STATUSES.flatMap((status) => [
    // Only a request that may run twice is sent again.
    { status, kind: RouteKind.Unsafe, expected: { kind: "unknown", reason: "invalid-status" } },
    { status, kind: RouteKind.Safe, expected: { kind: "answered" } },
  ]);
  test.each(cases)("$status to a request of kind $kind is a failure of the server", async (each) => {
    answerWith(each.status);
    const dispatch = createTestDispatcher([
      createTestServer("s1", server.port),
      createTestServer("s2", server.port),
    ]);
    expect(await dispatch(createRequest(each.kind))).toMatchObject(each.expected);
  });

  test("does not count as not run, even if the server says so beside it", async () => {
    server.setBehaviour((socket, request) => {
      socket.write(createFramedAnswer("000 Status", "body", "Not-Executed: 1")(request));
    });
    const dispatch = createTestDispatcher([createTestServer("s1", server.port)]);
    expect(await dispatch(createRequest(RouteKind.Unsafe))).toMatchObject({ kind: "unknown" });
  });

  test.each(INVALID_STATUSES)("%s is answered with 502, and the connection goes on", async (status) => {
    answerWith(status, status);
    const dispatch = createTestDispatcher([createTestServer("s1", server.port)], systemClock);
    const { listener, port } = await startTestListener((request) =>
      dispatch({ ...request, route: { ...request.route, kind: RouteKind.Unsafe } }),
    );
    expect(await callOnOneConnection(port, 3)).toEqual(["502", "502", "200"]);
    await listener.close();
  });
});
