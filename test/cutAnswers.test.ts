/** Backend servers that close or reset their connections in the middle of an answer. */
import { type Socket, connect } from "node:net";
import { afterEach, beforeEach, describe, expect, test } from "vitest";
import {
  SIGNATURE_FIELD,
  addRequestId,
  createFramedAnswer,
  createTestDispatcher,
  createTestServer,
  startTestListener,
} from "./support/gateway";
import { type RawRequest, type RawServer, startRawServer } from "./support/rawServer";

/** Gives the bytes before a reset the time to be read; the verdict does not depend on it. */
const RESET_DELAY_MS = 20;

let server: RawServer;

beforeEach(async () => {
  server = await startRawServer();
});

afterEach(async () => {
  await server.close();
});

interface Cut {
  readonly name: string;
  /** The beginning of an answer, after its status line and its first fields unless it starts with "HTTP". */
  readonly text: string;
}

const body = "x".repeat(1234);
const chunk = `4d2\r\n${body}\r\n`;
const cuts: readonly Cut[] = [
  { name: "in the status line", text: "HTTP/1.1 20" },
  { name: "after the status code", text: "HTTP/1.1 200" },
  { name: "after the status line", text: "HTTP/1.1 200 OK\r\n" },
  { name: "in a field's name", text: "Content-Le" },
  { name: "in a field's value", text: "X: y" },
  { name: "after some fields", text: "X: y\r\n" },
  { name: "after some fields and a carriage return", text: "X: y\r\n\r" },
  { name: "in the digits of the length", text: "Content-Length: 1" },
  { name: "after the digits of a shorter length", text: "Content-Length: 1\r\n" },
  { name: "between head and body", text: "Content-Length: 1234\r\n\r\n" },
  { name: "in the body", text: `Content-Length: 1234\r\n\r\n${body.slice(1)}` },
  { name: "before the first chunk", text: "Transfer-Encoding: chunked\r\n\r\n" },
  { name: "in a chunk's size", text: "Transfer-Encoding: chunked\r\n\r\n4d" },
  { name: "after a chunk's size", text: "Transfer-Encoding: chunked\r\n\r\n4d2\r\n" },
  { name: "in a chunk", text: `Transfer-Encoding: chunked\r\n\r\n${chunk.slice(0, 100)}` },
  { name: "after a chunk", text: `Transfer-Encoding: chunked\r\n\r\n${chunk}` },
  { name: "in the last chunk", text: `Transfer-Encoding: chunked\r\n\r\n${chunk}0` },
  { name: "before the last line end", text: `Transfer-Encoding: chunked\r\n\r\n${chunk}0\r\n` },
  { name: "in the last line end", text: `Transfer-Encoding: chunked\r\n\r\n${chunk}0\r\n\r` },
  { name: "in a trailer", text: `Transfer-Encoding: chunked\r\n\r\n${chunk}0\r\nX: ` },
  { name: "after a trailer", text: `Transfer-Encoding: chunked\r\n\r\n${chunk}0\r\nX: y\r\n` },
  { name: "behind a shortened coding", text: `Transfer-Encoding: chun\r\n\r\n${chunk.slice(0, 100)}` },
  { name: "behind a coding of another kind", text: `Transfer-Encoding: chunked, gzip\r\n\r\n${chunk}` },
  { name: "behind a coding without a value", text: `Transfer-Encoding:\r\n\r\n${chunk.slice(0, 100)}` },
  { name: "behind a head without a length, before the body", text: "\r\n" },
  { name: "behind a head without a length, in the body", text: `\r\n${body.slice(1)}` },
];

const settings = ["a new connection", "a kept connection", "an interim answer"].flatMap((place) =>
  ["closes", "resets"].map((ending) => ({ place, ending })),
);

// Guards against an answer that was cut short and looks whole to its caller.
describe.each(settings)("a server that $ending after $place", ({ place, ending }) => {
  test.each(cuts)("$name, gives its caller no answer that looks whole", async ({ text }) => {
    const dispatch = createTestDispatcher([createTestServer("s1", server.port)]);
    const { listener, port } = await startTestListener(dispatch);
    if (place === "a kept connection") {
      server.setBehaviour((socket, request) => socket.write(createFramedAnswer("200 OK", "x")(request)));
      expect(looksWhole(await send(port, "first"))).toBe(true);
    }
    const used: Socket[] = [];
    server.setBehaviour((socket, request) => {
      used.push(socket);
      const interim = place === "an interim answer" ? "HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\n" : "";
      const answer = `${interim}${text.startsWith("HTTP") ? "" : createHead(request)}${text}`;
      if (ending === "closes") {
        socket.end(answer);
      } else {
        socket.write(answer);
        setTimeout(() => socket.resetAndDestroy(), RESET_DELAY_MS);
      }
    });
    const received = await send(port, "second");
    expect(used).toHaveLength(1);
    expect(looksWhole(received)).toBe(false);
    listener.close();
  });
});

function createHead(request: RawRequest): string {
  return `HTTP/1.1 200 OK\r\n${SIGNATURE_FIELD}\r\nRequest-Id: ${addRequestId(request).id}\r\n`;
}

/** Sends a request and returns all that comes until the connection is closed. */
function send(port: number, id: string): Promise<string> {
  return new Promise((resolve) => {
    const caller = connect(port, "127.0.0.1");
    let received = "";
    caller.on("data", (piece) => (received += piece.toString("latin1")));
    caller.on("error", () => undefined);
    caller.once("close", () => {
      resolve(received);
    });
    caller.write(`GET / HTTP/1.1\r\nHost: a.example\r\nRequest-Id: ${id}\r\nConnection: close\r\n\r\n`);
  });
}

/** Returns whether a caller takes what it has received for a whole successful answer. */
function looksWhole(received: string): boolean {
  const end = received.indexOf("\r\n\r\n");
  const head = received.slice(0, end);
  const content = received.slice(end + 4);
  if (end === -1 || !/^HTTP\/1.1 2/.test(head)) {
    return false;
  }
  const [, length] = /content-length: (\d+)/i.exec(head) ?? [];
  if (length !== undefined) {
    return content.length === Number(length);
  }
  // Without both, the caller knows that the connection alone shows the end.
  return /transfer-encoding: chunked/i.test(head) && content.endsWith("0\r\n\r\n");
}
