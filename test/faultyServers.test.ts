/**
 * Backend servers and peers that send bytes without end. Guards against answers that fill the memory, and against
 * connections to them that stay open.
 */
import type { Readable } from "node:stream";
import { WebSocket } from "ws";
import { afterEach, beforeEach, describe, expect, test } from "vitest";
import { createHttpServerControl } from "../src/ownership";
import { WINDOW_BYTES, createBodyReceiver } from "../src/peers/bodyStreams";
import { encodeMessage } from "../src/peers/codec";
import { type ServerClient, createServerClient } from "../src/routing/serverClient";
import { type WorkResult, emptyBody } from "../src/types";
import { createFakeClock, flushPromises } from "./support/fakeClock";
import { getPeerPort, startStoppingPeer } from "./support/stoppingDaemon";
import { type RawRequest, type RawServer, createEndlessAnswer, startRawServer } from "./support/rawServer";

const DEADLINE_MS = 1000;
/** More than the buffers between a backend server and a reader that does not read, without the kernel's. */
const MAX_BUFFERED_BYTES = 1_000_000;
const READ_TURNS = 300;
const PIECE_BYTES = 100_000;

const hello = {
  protocol: 1,
  cluster: "test",
  daemon: "two",
  incarnation: 1,
  dataCentre: "north",
  release: "0",
};

let server: RawServer;
let client: ServerClient;

beforeEach(async () => {
  server = await startRawServer();
  client = createServerClient({
    address: { host: "127.0.0.1", port: server.port },
    maxConnections: 2,
    clock: createFakeClock(),
    getLoad: () => ({ inFlight: 0, queued: 0, limit: 2, latencyMs: 1 }),
    onBrokenConnection: () => undefined,
    onCold: () => undefined,
  });
});

afterEach(async () => {
  client.close();
  await server.close();
});

interface EndlessCase {
  readonly name: string;
  readonly head: string;
  readonly piece: string;
}

const CHUNKED = "transfer-encoding: chunked\r\n\r\n";
const endlessHeads: readonly EndlessCase[] = [
  { name: "in a field", head: "HTTP/1.1 200 OK\r\nx-long: ", piece: "y".repeat(10_000) },
  { name: "of fields", head: "HTTP/1.1 200 OK\r\n", piece: "x-field: y\r\n".repeat(1000) },
];
const endlessBodies: readonly EndlessCase[] = [
  {
    name: "with a length",
    head: "HTTP/1.1 200 OK\r\ncontent-length: 999999999999\r\n\r\n",
    piece: "x".repeat(10_000),
  },
  { name: "in chunks", head: `HTTP/1.1 200 OK\r\n${CHUNKED}`, piece: `2710\r\n${"x".repeat(10_000)}\r\n` },
];
const refusals: readonly EndlessCase[] = [
  {
    name: "of a refusal",
    head: `HTTP/1.1 503 Busy\r\nx-hemlockbank-outcome: not-run\r\n${CHUNKED}`,
    piece: `2710\r\n${"x".repeat(10_000)}\r\n`,
  },
];
const errors: readonly EndlessCase[] = [
  { name: "of an error", head: `HTTP/1.1 500 No\r\n${CHUNKED}`, piece: `2710\r\n${"x".repeat(10_000)}\r\n` },
];
const trailers: readonly EndlessCase[] = [
  { name: "of trailers", head: `HTTP/1.1 200 OK\r\n${CHUNKED}0\r\n`, piece: "x-field: y\r\n".repeat(1000) },
];

describe("requests", () => {
  // Guards against a head, or a body that nobody needs, that is read into memory until the deadline.
  test.each([...endlessHeads, ...refusals])("an endless answer $name ends its connection", async (each) => {
    const closed = respondEndlessly(each);
    expect((await send()).kind).toBe("failure");
    await closed;
  });

  // Guards against trailers that are kept in memory without a limit.
  test.each(trailers)("an endless answer $name fails its body", async (each) => {
    const closed = respondEndlessly(each);
    const stream = getStream(await send());
    await expect(stream.toArray()).rejects.toThrow();
    await closed;
  });

  // Guards against reading on while the caller does not, and after it has left.
  test.each(endlessBodies)("an endless body $name waits for its reader, and ends with it", async (each) => {
    const closed = respondEndlessly(each);
    const caller = new AbortController();
    const stream = getStream(await send(caller.signal));
    for (let turn = 0; turn < READ_TURNS; turn += 1) {
      await flushPromises();
    }
    expect(stream.readableLength).toBeLessThan(MAX_BUFFERED_BYTES);
    caller.abort();
    await closed;
  });
});

describe("control calls", () => {
  // Guards against a probe or grant whose answer fills the memory, or whose failure ends the daemon.
  test.each([...endlessHeads, ...endlessBodies, ...errors, ...trailers])(
    "an endless answer $name fails the call and ends the connection",
    async (each) => {
      const closed = respondEndlessly(each);
      const control = createHttpServerControl("one", { host: "127.0.0.1", port: server.port });
      await expect(control.health()).rejects.toThrow("control call");
      await closed;
      control.close();
    },
  );
});

const endlessPeers: readonly (readonly [string, readonly Uint8Array[]])[] = [
  ["instead of its hello", []],
  ["after its hello", [encodeMessage({ ...hello, kind: "hello" })]],
];

describe("peers", () => {
  // Guards against a message without an end that is kept in memory.
  test.each(endlessPeers)("a message without an end %s closes the connection", async (_name, messages) => {
    const peers = await startStoppingPeer("one", () => Promise.reject(new Error("unexpected")));
    const port = getPeerPort("one");
    const socket = new WebSocket(`ws://127.0.0.1:${port}`);
    const closed = new Promise((resolve) => socket.once("close", resolve));
    socket.on("error", () => undefined);
    await new Promise((resolve) => socket.once("open", resolve));
    messages.forEach((message) => {
      socket.send(message);
    });
    const sendPiece = () => {
      socket.send(Buffer.alloc(PIECE_BYTES), { fin: false }, (error) => {
        if (socket.readyState === WebSocket.OPEN && !error) {
          sendPiece();
        }
      });
    };
    sendPiece();
    await closed;
    await peers.close();
  });

  // Guards against a peer that sends on without credit.
  test("a body that exceeds its window fails", () => {
    const receiver = createBodyReceiver(
      () => undefined,
      () => undefined,
    );
    receiver.push(new Uint8Array(WINDOW_BYTES), false);
    expect(receiver.stream.destroyed).toBe(false);
    receiver.push(new Uint8Array(1), false);
    expect(receiver.stream.destroyed).toBe(true);
  });
});

function respondEndlessly({ head, piece }: EndlessCase): Promise<void> {
  const answer = createEndlessAnswer(
    (request: RawRequest) => head.replace("\r\n", `\r\nx-request-id: ${request.id}\r\n`),
    piece,
  );
  server.setBehaviour(answer.behaviour);
  return answer.closed;
}

function getStream(result: WorkResult): Readable {
  if (result.kind === "failure" || result.answer.body.kind === "buffer") {
    throw new Error("not a stream");
  }
  return result.answer.body.stream;
}

function send(signal = new AbortController().signal): Promise<WorkResult> {
  return client.send({
    work: {
      id: "w1",
      service: "desk",
      server: "one",
      key: "k",
      method: "GET",
      target: "/k",
      headers: {},
      timeoutMs: DEADLINE_MS,
      isIdempotent: true,
      idempotencyKey: null,
      relayTo: null,
    },
    body: emptyBody,
    permit: { slot: 1, epoch: 1, serverLost: new AbortController().signal, end: () => undefined },
    generation: 1,
    deadlineAt: 1000 + DEADLINE_MS,
    signal,
  });
}
