/**
 * Answers that break off on the way from a backend server to the caller, also across two daemons. Guards against a part
 * of an answer that looks to its caller like a whole one.
 */
import { type Socket, connect } from "node:net";
import { afterEach, describe, expect, test } from "vitest";
import { resetConnection } from "../src/http/resetConnection";
import { type WorkMessage, createWorkChannel } from "../src/peers/workChannel";
import { type ServerClient, createServerClient } from "../src/routing/serverClient";
import { type WorkHandler, type WorkRequest, emptyBody } from "../src/types";
import { createFakeClock, flushPromises } from "./support/fakeClock";
import { createLinkPair } from "./support/fakeLinks";
import { type RawServer, startRawServer } from "./support/rawServer";
import { startStoppingDaemon, waitUntil } from "./support/stoppingDaemon";

const HEAD_END = "\r\n\r\n";
const SHORT_BODY = "x".repeat(1000);
const LONG_BODY = "x".repeat(1_000_000);

const work: WorkRequest = {
  id: "w1",
  service: "desk",
  server: "one",
  key: "k",
  method: "GET",
  target: "/k",
  headers: {},
  timeoutMs: 10_000,
  isIdempotent: true,
  idempotencyKey: null,
  relayTo: null,
};

let server: RawServer;
let client: ServerClient;

afterEach(async () => {
  client.close();
  await server.close();
});

interface Framing {
  readonly name: string;
  readonly answer: string;
  /** Whether an answer that ends regularly reaches the caller; else its end cannot be told from a break. */
  readonly isFramed: boolean;
}

const createAnswer = (field: string, body: string) => `HTTP/1.1 200 OK\r\n${field}${HEAD_END}${body}`;
const framings: readonly Framing[] = [
  { name: "a short length", answer: createAnswer("content-length: 1000", SHORT_BODY), isFramed: true },
  { name: "a long length", answer: createAnswer("content-length: 1000000", LONG_BODY), isFramed: true },
  {
    name: "chunks",
    answer: createAnswer("transfer-encoding: chunked", `f4240\r\n${LONG_BODY}\r\n0${HEAD_END}`),
    isFramed: true,
  },
  { name: "no length", answer: createAnswer("content-type: a", SHORT_BODY), isFramed: false },
  { name: "a coding", answer: createAnswer("transfer-encoding: gzip", SHORT_BODY), isFramed: false },
  {
    name: "a coding in chunks",
    answer: createAnswer("transfer-encoding: gzip, chunked", `3e8\r\n${SHORT_BODY}\r\n0${HEAD_END}`),
    isFramed: false,
  },
];

interface Break {
  readonly name: string;
  readonly cut: (answer: string) => string;
  readonly end: (socket: Socket) => void;
}

const whole: Break = { name: "not at all", cut: (answer) => answer, end: (socket) => socket.end() };
const inHead = (answer: string) => answer.slice(0, answer.indexOf(HEAD_END));
const inBody = (answer: string) => answer.slice(0, answer.length - 500);
const close = (socket: Socket) => socket.end();
const breaks: readonly Break[] = [
  { name: "in its head by a close", cut: inHead, end: close },
  { name: "in its head by a reset", cut: inHead, end: resetConnection },
  { name: "in its body by a close", cut: inBody, end: close },
  { name: "in its body by a reset", cut: inBody, end: resetConnection },
];

const paths = ["directly", "across two daemons"] as const;
const versions = ["1.0", "1.1"] as const;
const routes = paths.flatMap((path) => versions.map((version) => ({ path, version })));

describe.each(routes)("to an HTTP/$version caller $path", ({ path, version }) => {
  test.each(framings)("an answer with $name that is whole arrives if it is framed", async (framing) => {
    expect(await call(framing.answer, whole, path, version)).toBe(framing.isFramed);
  });

  // Guards against a part of an answer that its caller takes for the whole.
  test.each(
    breaks.flatMap((each) => framings.map(({ name: framing, answer }) => ({ ...each, framing, answer }))),
  )("an answer with $framing that breaks $name does not look whole", async (each) => {
    expect(await call(each.answer, each, path, version)).toBe(false);
  });
});

/** Sends a request through all parts, and returns whether the caller received what looks like a whole answer. */
async function call(answer: string, { cut, end }: Break, path: string, version: string): Promise<boolean> {
  server = await startRawServer();
  server.setBehaviour((socket) => {
    socket.write(cut(answer), "latin1", () => {
      void flushPromises().then(() => {
        end(socket);
      });
    });
  });
  client = createServerClient({
    address: { host: "127.0.0.1", port: server.port },
    maxConnections: 1,
    clock: createFakeClock(),
    getLoad: () => ({ inFlight: 0, queued: 0, limit: 1, latencyMs: 1 }),
    onBrokenConnection: () => undefined,
    onCold: () => undefined,
  });
  const sendToServer: WorkHandler = (request, body, signal) =>
    client.send({
      work: request,
      body,
      permit: { slot: 1, epoch: 1, serverLost: new AbortController().signal, end: () => undefined },
      generation: 1,
      deadlineAt: Number.MAX_SAFE_INTEGER,
      signal,
    });
  const send = path === "directly" ? sendToServer : forwardTo(sendToServer);
  const daemon = await startStoppingDaemon((_request, _body, signal) => send(work, emptyBody, signal));
  const received = await receive(daemon.port, version);
  await daemon.callers.close();
  return received;
}

function forwardTo(handleWork: WorkHandler): WorkHandler {
  const pair = createLinkPair();
  const near = createWorkChannel(pair.left, () => Promise.reject(new Error("unexpected")));
  const far = createWorkChannel(pair.right, handleWork);
  pair.left.onMessage((message) => {
    near.handleMessage(message as WorkMessage);
  });
  pair.right.onMessage((message) => {
    far.handleMessage(message as WorkMessage);
  });
  return (request, body, signal) => near.forward(request, body, signal);
}

async function receive(port: number, version: string): Promise<boolean> {
  const socket = connect({ port, host: "127.0.0.1", allowHalfOpen: true });
  let received = "";
  let isReset = false;
  socket.on("data", (chunk) => (received += chunk.toString("latin1")));
  socket.on("error", () => (isReset = true));
  socket.on("end", () => {
    // A reset that arrives together with data is reported as an end; but writing fails after it.
    socket.write(HEAD_END, (error) => {
      isReset ||= error instanceof Error;
      socket.destroy();
    });
  });
  socket.write(`GET /desk/k HTTP/${version}\r\nHost: a.example\r\nConnection: close${HEAD_END}`);
  await waitUntil(() => socket.destroyed);
  const [head = "", ...rest] = received.split(HEAD_END);
  const body = rest.join(HEAD_END);
  if (!head.includes(" 200 ")) {
    return false;
  }
  if (/transfer-encoding: chunked/i.test(head)) {
    return received.endsWith(`\r\n0${HEAD_END}`);
  }
  const length = /content-length: (\d+)/i.exec(head)?.[1];
  return length === undefined ? !isReset : body.length === Number(length);
}
