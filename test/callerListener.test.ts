/**
 * Caller listener. Node.js treats a connection as idle once its answer has ended, so closing idle connections
 * during a graceful shutdown could cut off the part of an answer that is not yet written to the socket.
 */
import { connect } from "node:net";
import { PassThrough } from "node:stream";
import { expect, test } from "vitest";
import { createCallerListener, createRouteMatcher } from "../src/gateway";
import type { DispatchResult, RoutingConfiguration } from "../src/gateway";
import { Event, type EventKind, createCounters, createMetrics, silentLogger } from "../src/observability";
import { systemClock } from "../src/types";
import { wireCallerProtocol, wireServerProtocol } from "../platform/protocols";
import { findFreePort } from "../standins/scenarios/ports";
import { comesTrue } from "./support/plannedStop";

const HOST = "127.0.0.1";
/** More than the buffers of a socket hold, so that a part of the answer waits until the caller reads. */
const ANSWER_BYTES = 16 * 1024 * 1024;

const configuration: RoutingConfiguration = {
  version: 1,
  routes: [
    {
      name: "r",
      host: "a.example",
      pathPrefix: "/",
      kind: "download",
      timeoutMs: null,
      objectiveMs: null,
      attempts: 1,
      priority: 0,
      services: [{ service: "vault", weight: 1 }],
    },
  ],
  services: new Map(),
  limits: { maxHeaderBytes: 16_384, maxBodyBytes: 1024, headerTimeoutMs: 3000, idleTimeoutMs: 15_000 },
};

async function startListener(result: DispatchResult) {
  const port = await findFreePort();
  const loggedEvents: EventKind[] = [];
  const listener = await createCallerListener({
    address: { host: HOST, port },
    findActive: () => ({ configuration, matcher: createRouteMatcher(configuration) }),
    dispatch: () => Promise.resolve(result),
    callerProtocol: wireCallerProtocol,
    serverProtocol: wireServerProtocol,
    clock: systemClock,
    logger: { ...silentLogger, log: (kind) => loggedEvents.push(kind) },
    metrics: createMetrics(createCounters("test")),
  });
  return { listener, port, loggedEvents };
}

test("closing idle connections does not cut off an answer that its caller has not read yet", async () => {
  const result = {
    kind: "answered",
    message: { statusCode: 200, rawHeaders: [], headers: {} },
    body: { kind: "whole", content: Buffer.alloc(ANSWER_BYTES, "x") },
  } as unknown as DispatchResult;
  const { listener, port } = await startListener(result);
  let received = 0;
  const caller = connect(port, HOST);
  caller.write("GET / HTTP/1.1\r\nHost: a.example\r\nRequest-Id: q1\r\n\r\n");
  await new Promise<void>((resolve) => caller.once("readable", resolve));
  listener.drain(Number.POSITIVE_INFINITY);
  await listener.close();
  // Graceful shutdown does the same until no connection is left.
  const closeTimer = setInterval(() => {
    void listener.closeIdle();
  }, 20);
  await new Promise<void>((resolve) => {
    caller.on("data", (chunk) => {
      received += chunk.byteLength;
    });
    caller.once("error", () => {
      resolve();
    });
    caller.once("close", () => {
      resolve();
    });
    caller.once("end", () => caller.end());
  });
  expect(received).toBeGreaterThanOrEqual(ANSWER_BYTES);
  clearInterval(closeTimer);
  expect(await comesTrue(() => listener.countConnections() === 0)).toBe(true);
});

const framings = [
  { name: "in chunks", rawHeaders: [] },
  { name: "with a length", rawHeaders: ["Content-Length", "1000000"] },
];

// Guards against an answer that was broken off, for example at its deadline, and looks complete.
test.each(framings)(
  "a streamed answer $name that breaks off does not look complete",
  async ({ rawHeaders }) => {
    const rest = new PassThrough();
    const result = {
      kind: "answered",
      message: { statusCode: 200, rawHeaders, headers: {} },
      body: { kind: "streamed", head: [Buffer.from("first")], rest },
    } as unknown as DispatchResult;
    const { listener, port, loggedEvents } = await startListener(result);
    const caller = connect(port, HOST);
    caller.write("GET / HTTP/1.1\r\nHost: a.example\r\nRequest-Id: q1\r\n\r\n");
    let received = "";
    const closed = new Promise<void>((resolve) => {
      caller.once("close", () => {
        resolve();
      });
    });
    caller.on("error", () => undefined);
    caller.on("data", (chunk) => {
      received += chunk.toString();
      if (received.includes("first")) {
        rest.destroy(new Error("broken off"));
      }
    });
    await closed;
    expect(received).toContain("first");
    expect(received).not.toContain("0\r\n\r\n");
    expect(loggedEvents).toContain(Event.AnswerBrokenOff);
    await listener.close();
  },
);

// Guards against requests that Node.js answers by itself, uncounted.
test("requests with an unknown expectation are refused as the others are", async () => {
  const { listener, port } = await startListener({ kind: "notRun" } as unknown as DispatchResult);
  const caller = connect(port, HOST);
  let received = "";
  caller.on("data", (chunk) => {
    received += chunk.toString();
  });
  caller.write("GET / HTTP/1.1\r\nHost: a.example\r\nRequest-Id: q1\r\nExpect: x\r\n\r\n".repeat(3));
  expect(await comesTrue(() => received.split("HTTP/1.1 417 ").length === 4)).toBe(true);
  expect(received).toMatch(/request-id: q1[^]*the expectation is unknown/i);
  caller.destroy();
  await listener.close();
});

const LARGE_PIECE = "x".repeat(65_536);
const tooLargeBodies = [
  ["announced", "Content-Length: 67108864\r\n\r\n", LARGE_PIECE],
  ["in chunks", "Transfer-Encoding: chunked\r\n\r\n", `10000\r\n${LARGE_PIECE}\r\n`],
] as const;

// Guards against a daemon that reads a body far over the limit to its end, or closes before the refusal can be read.
test.each(tooLargeBodies)(
  "a body far over the limit, %s, gets 413, is not read on, and its connection is closed",
  async (_name, fields, piece) => {
    const { listener, port } = await startListener({ kind: "notRun" } as unknown as DispatchResult);
    const caller = connect(port, HOST);
    let received = "";
    caller.on("error", () => undefined);
    caller.on("data", (chunk) => {
      received += chunk.toString();
    });
    caller.write(`POST / HTTP/1.1\r\nHost: a.example\r\nRequest-Id: q1\r\n${fields}`);
    const pieceCount = ANSWER_BYTES / LARGE_PIECE.length;
    let sentCount = 0;
    for (let count = 0; count < pieceCount; count += 1) {
      caller.write(piece, (error) => {
        sentCount += error instanceof Error ? 0 : 1;
      });
    }
    await comesTrue(() => received !== "" && listener.countConnections() === 0);
    expect(listener.countConnections()).toBe(0);
    expect(received).toMatch(/^HTTP\/1\.1 413 /);
    expect(received).toMatch(/connection: close/i);
    expect(sentCount).toBeLessThan(pieceCount);
    caller.destroy();
    await listener.close();
  },
);
