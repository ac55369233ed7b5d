/** A caller listener with a dispatcher of the test's own, and raw callers, for tests of the planned stop. */
import { type Socket, connect } from "node:net";
import {
  type CallerListener,
  type DispatchResult,
  type Dispatcher,
  type RoutingConfiguration,
  RouteKind,
  createCallerListener,
  createRouteMatcher,
} from "../../src/gateway";
import { createCounters, createMetrics, silentLogger } from "../../src/observability";
import type { Clock } from "../../src/types";
import { wireCallerProtocol, wireServerProtocol } from "../../platform/protocols";
import { HOST, findFreePort } from "../../standins/scenarios/ports";
import { createRoute } from "./gateway";

/** Turns of the event loop in which loopback traffic within this process settles many times over. */
const MAX_TURNS = 1000;

const configuration: RoutingConfiguration = {
  version: 1,
  routes: ["short", "long"].map((name) =>
    createRoute({ name, pathPrefix: `/${name}/`, kind: RouteKind.Unsafe, attempts: 1 }),
  ),
  services: new Map(),
  limits: { maxHeaderBytes: 16_384, maxBodyBytes: 1024, headerTimeoutMs: 3000, idleTimeoutMs: 15_000 },
};

/**
 * Starts a listener with the routes `/short/` and `/long/`, both of which are not idempotent.
 *
 * @param clock - Clock of the listener.
 * @param dispatch - Answers the requests.
 * @returns The listener and its port.
 */
export async function startListener(
  clock: Clock,
  dispatch: Dispatcher,
): Promise<{ listener: CallerListener; port: number }> {
  const port = await findFreePort();
  const listener = await createCallerListener({
    address: { host: HOST, port },
    findActive: () => ({ configuration, matcher: createRouteMatcher(configuration) }),
    dispatch,
    callerProtocol: wireCallerProtocol,
    serverProtocol: wireServerProtocol,
    clock,
    logger: silentLogger,
    metrics: createMetrics(createCounters("test")),
  });
  listener.applyLimits(configuration.limits);
  return { listener, port };
}

/** Creates the whole answer of a backend server. */
export function createAnswer(bytes: number): DispatchResult {
  return {
    kind: "answered",
    message: { statusCode: 200, rawHeaders: [], headers: {} },
    body: { kind: "whole", content: Buffer.alloc(bytes, "x") },
  } as unknown as DispatchResult;
}

/** Formats a request without a body. */
export function formatRequest(path: string, deadlineMs: number): string {
  return `POST ${path} HTTP/1.1\r\nHost: a.example\r\nRequest-Id: q1\r\nRequest-Deadline: ${deadlineMs}\r\nContent-Length: 0\r\n\r\n`;
}

/** One connection of a caller. */
export interface RawCaller {
  readonly socket: Socket;
  /** Returns the status and the fields of the first answer; empty until they have been read. */
  getHead(): string;
  /** Returns the bytes of bodies that have been read. */
  countBodyBytes(): number;
  isClosed(): boolean;
}

/** Connects a caller, which reads at once; to pause it, pause its socket. */
export function connectCaller(port: number, host: string = HOST): RawCaller {
  const socket = connect(port, host);
  let head = "";
  let bodyBytes = 0;
  let isHeadRead = false;
  let isClosed = false;
  socket.on("error", () => undefined);
  socket.once("end", () => socket.end());
  socket.once("close", () => {
    isClosed = true;
  });
  socket.on("data", (chunk: Buffer) => {
    if (isHeadRead) {
      bodyBytes += chunk.byteLength;
      return;
    }
    const text = head + chunk.toString("latin1");
    const end = text.indexOf("\r\n\r\n");
    isHeadRead = end !== -1;
    head = isHeadRead ? text.slice(0, end) : text;
    bodyBytes = isHeadRead ? text.length - end - 4 : 0;
  });
  return {
    socket,
    getHead: () => (isHeadRead ? head : ""),
    countBodyBytes: () => bodyBytes,
    isClosed: () => isClosed,
  };
}

/** Returns whether a new connection to a port is refused. */
export function isConnectionRefused(port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const socket = connect(port, HOST);
    socket.once("connect", () => {
      socket.destroy();
      resolve(false);
    });
    socket.once("error", () => {
      resolve(true);
    });
  });
}

/** Waits for a condition during a number of turns of the event loop, and returns whether it came true. */
export async function comesTrue(condition: () => boolean): Promise<boolean> {
  for (let turn = 0; turn < MAX_TURNS && !condition(); turn += 1) {
    await new Promise((resolve) => setTimeout(resolve, 1));
  }
  return condition();
}
