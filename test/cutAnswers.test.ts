/** Backend servers that close or reset their connections in the middle of an answer. */
import { type Socket, connect } from "node:net";
import { afterEach, beforeEach, describe, expect, test } from "vitest";
import { Event } from "../src/observability";
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
  /** Whether a plain close is the end of the answer. */
  readonly endsWithConnection?: boolean;
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
  { name: "behind a head without a length, before the body", text: "\r\n", endsWithConnection: true },
  {
    name: "behind a head without a length, in the body",
    text: `\r\n${body.slice(1)}`,
    endsWithConnection: true,
  },
];

const settings = ["a new connection", "a kept connection", "an interim answer"].flatMap((place) =>
  ["closes", "resets", "resets at once"].map((ending) => ({ place, ending })),
);

// Guards against an answer that was cut short and looks whole to its caller.
describe.each(settings)("a server that $ending after $place", ({ place, ending }) => {
  test.each(cuts)(
    "$name, gives its caller no answer that looks whole",
    async ({ text, endsWithConnection = false }) => {
      const dispatch = createTestDispatcher([createTestServer("s1", server.port)]);
      const { listener, port } = await startTestListener(dispatch);
      if (place === "a kept connection") {
        server.setBehaviour((socket, request) => socket.write(createFramedAnswer("200 OK", "x")(request)));
        expect(isComplete(await exchange(port, formatRequest("first", "1.1")))).toBe(true);
      }
      const used: Socket[] = [];
      server.setBehaviour((socket, request) => {
        used.push(socket);
        const interim = place === "an interim answer" ? "HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\n" : "";
        const answer = `${interim}${text.startsWith("HTTP") ? "" : createHead(request)}${text}`;
        sendCut(socket, answer, ending);
      });
      const received = await exchange(port, formatRequest("second", "1.1"));
      expect(used).toHaveLength(1);
      expect(looksWhole(received.text)).toBe(false);
      expect(isComplete(received)).toBe(endsWithConnection && ending === "closes");
      void listener.close();
    },
  );
});

describe("a long answer", () => {
  const LONG_BYTES = 1_200_000;
  const piece = "x".repeat(LONG_BYTES);
  const longChunk = `${LONG_BYTES.toString(16)}\r\n${piece}\r\n`;
  const bodies = [
    { framing: "without a length", text: `\r\n${piece}`, whole: "closes" },
    { framing: "with a length", text: `Content-Length: 1400000\r\n\r\n${piece}`, whole: "" },
    { framing: "in chunks", text: `Transfer-Encoding: chunked\r\n\r\n${longChunk}`, whole: "" },
  ];
  const longCases = bodies.flatMap((long) =>
    ["1.1", "1.0"].flatMap((version) =>
      ["closes", "resets", "resets at once"].map((ending) => ({ ...long, version, ending })),
    ),
  );

  // Guards against a long answer that breaks off on the way and ends like a complete one.
  test.each(longCases)(
    "$framing whose server $ending looks cut to a caller of HTTP/$version, unless the close is its end",
    async ({ text, ending, version, whole }) => {
      const dispatch = createTestDispatcher([createTestServer("s1", server.port)]);
      const { listener, port } = await startTestListener(dispatch);
      server.setBehaviour((socket, request) => {
        sendCut(socket, `${createHead(request)}${text}`, ending);
      });
      const received = await exchange(port, formatRequest("q1", version));
      expect(isComplete(received)).toBe(whole === ending);
      expect(whole !== ending || received.text.split("x").length > LONG_BYTES).toBe(true);
      void listener.close();
    },
  );

  // Guards against an answer that breaks off behind another one and takes that along, or looks whole there.
  test("without a length that is reset behind a short answer leaves that alone", async () => {
    const dispatch = createTestDispatcher([createTestServer("s1", server.port)]);
    const { listener, port, loggedEvents } = await startTestListener(dispatch);
    let answerFirst = (): void => undefined;
    server.setBehaviour((socket, request) => {
      if (addRequestId(request).id === "q1") {
        answerFirst = () => socket.write(createFramedAnswer("200 OK", "first")(request));
      } else {
        sendCut(socket, `${createHead(request)}\r\n${piece}`, "resets");
        answerFirst();
      }
    });
    const requests = [formatRequest("q1", "1.1", "keep-alive"), formatRequest("q2", "1.1")];
    const { text, isEnded } = await exchange(port, ...requests);
    expect(text).toMatch(/^HTTP\/1.1 200 OK\r\n[^]*\r\n\r\nfirst/);
    expect(isComplete({ text: text.slice(text.indexOf("first") + 5), isEnded })).toBe(false);
    expect(loggedEvents).toContain(Event.AnswerBrokenOff);
    void listener.close();
  });

  // Guards against a close that loses the answers behind an answer without a length.
  test("without a length that ends with its connection leaves the one behind it alone", async () => {
    const dispatch = createTestDispatcher([createTestServer("s1", server.port)]);
    const { listener, port } = await startTestListener(dispatch);
    server.setBehaviour((socket, request) => {
      const isFirst = addRequestId(request).id === "q1";
      sendCut(socket, isFirst ? `${createHead(request)}\r\n${piece}` : second(request), "closes");
    });
    const requests = [formatRequest("q1", "1.1", "keep-alive"), formatRequest("q2", "1.1")];
    const { text } = await exchange(port, ...requests);
    expect(text).toMatch(/^HTTP\/1.1 200[^]*\r\n0\r\n\r\nHTTP\/1.1 200[^]*second$/);
    void listener.close();
  });

  const second = createFramedAnswer("200 OK", "second");
});

/** Sends the beginning of an answer and closes or resets the connection. */
function sendCut(socket: Socket, text: string, ending: string): void {
  if (ending === "closes") {
    socket.end(text);
    return;
  }
  const reset = () => socket.resetAndDestroy();
  // A reset that arrives together with the data is not reported as one.
  socket.write(text, ending === "resets" ? () => setTimeout(reset, RESET_DELAY_MS) : reset);
}

function createHead(request: RawRequest): string {
  return `HTTP/1.1 200 OK\r\n${SIGNATURE_FIELD}\r\nRequest-Id: ${addRequestId(request).id}\r\n`;
}

interface Received {
  readonly text: string;
  /** Whether the connection was ended and not reset. */
  readonly isEnded: boolean;
}

/** Sends requests on one connection and returns all that comes until that is closed. */
function exchange(port: number, ...requests: readonly string[]): Promise<Received> {
  return new Promise((resolve) => {
    const caller = connect({ port, host: "127.0.0.1", allowHalfOpen: true });
    let text = "";
    let isEnded = false;
    caller.on("data", (piece) => (text += piece.toString("latin1")));
    // A reset may look like an end here, too; writing shows which of both it was.
    caller.once("end", () => {
      caller.write("", (error) => {
        isEnded = !(error instanceof Error);
        caller.end();
      });
    });
    caller.on("error", () => undefined);
    caller.once("close", () => {
      resolve({ text, isEnded });
    });
    caller.write(requests.join(""));
  });
}

function formatRequest(id: string, version: string, connection = "close"): string {
  return `GET / HTTP/${version}\r\nHost: a.example\r\nRequest-Id: ${id}\r\nConnection: ${connection}\r\n\r\n`;
}

/** Returns whether a caller takes what it has received for a whole successful answer that states its end. */
function looksWhole(received: string): boolean {
  const { length, isChunked, content, isSuccess } = parse(received);
  if (!isSuccess) {
    return false;
  }
  // Without both, the caller knows that the connection alone shows the end.
  return length === undefined ? isChunked && content.endsWith("0\r\n\r\n") : content.length === length;
}

/** The same, also if the end of the connection is the end of the answer. */
function isComplete({ text, isEnded }: Received): boolean {
  const { length, isChunked, isSuccess } = parse(text);
  return looksWhole(text) || (isSuccess && length === undefined && !isChunked && isEnded);
}

function parse(received: string) {
  const end = received.indexOf("\r\n\r\n");
  const head = received.slice(0, Math.max(0, end));
  const [, length] = /content-length: (\d+)/i.exec(head) ?? [];
  return {
    isSuccess: /^HTTP\/1.1 2/.test(head),
    length: length === undefined ? undefined : Number(length),
    isChunked: /transfer-encoding: chunked/i.test(head),
    content: received.slice(end + 4),
  };
}
