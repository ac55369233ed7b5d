/**
 * Requests between daemons: streamed bodies, lost connections and malformed messages. Guards against
 * requests that run twice, which happens when a copy arrives after the sender has been told that the
 * request was never seen.
 */
import fc from "fast-check";
import { describe, expect, test } from "vitest";
import { type PeerMessage, type Hello } from "../src/peers";
import { WINDOW_BYTES } from "../src/peers/bodyStreams";
import { decodeMessage, encodeMessage } from "../src/peers/codec";
import { type WorkChannel, type WorkMessage, createWorkChannel } from "../src/peers/workChannel";
import { createWorkRegistry } from "../src/routing";
import { type Body, type WorkHandler, type WorkRequest, type WorkResult, emptyBody } from "../src/types";
import { createFakeClock } from "./support/fakeClock";
import { createByteStream, createLinkPair } from "./support/fakeLinks";

const SEED = 20_261_204;
const load = { inFlight: 0, queued: 0, limit: 1, latencyMs: 1 };

const work: WorkRequest = {
  id: "w1",
  service: "desk",
  server: "one",
  key: "k",
  method: "POST",
  target: "/k",
  headers: { accept: "a", "set-cookie": ["b", "c"] },
  timeoutMs: 1000,
  isIdempotent: false,
  idempotencyKey: null,
  relayTo: null,
};

describe("work channel", () => {
  test("request and answer arrive unchanged", async () => {
    const { forward } = connect((request, body) =>
      Promise.resolve(
        createAnswer({ kind: "buffer", content: Buffer.from(`${request.id}:${readText(body)}`) }),
      ),
    );
    const result = await forward(work, { kind: "buffer", content: Buffer.from("hi") });
    expect(result).toMatchObject({ kind: "answer", answer: { status: 200, headers: { a: "1" } } });
    expect(result.kind === "answer" && readText(result.answer.body)).toBe("w1:hi");
  });

  test("long bodies are streamed completely in both directions", async () => {
    const { forward } = connect(async (_request, body) => {
      const size = await countBytes(body);
      return createAnswer({ kind: "stream", stream: createByteStream(size * 2) });
    });
    const result = await forward(work, { kind: "stream", stream: createByteStream(1_000_000) });
    expect(result.kind === "answer" && (await countBytes(result.answer.body))).toBe(2_000_000);
  });

  test("a sender stops within two flow-control windows when the reader does not read", async () => {
    const { forward, pair } = connect(() =>
      Promise.resolve(createAnswer({ kind: "stream", stream: createByteStream(20_000_000) })),
    );
    await forward(work, emptyBody);
    await flushMessages();
    const sent = pair.countAnswerBytes();
    expect(sent).toBeLessThanOrEqual(2 * WINDOW_BYTES);
  });

  test("a small request is answered while a large answer waits for its reader", async () => {
    const { forward } = connect((request) =>
      Promise.resolve(
        createAnswer(
          request.id === "large" ? { kind: "stream", stream: createByteStream(20_000_000) } : emptyBody,
        ),
      ),
    );
    await forward({ ...work, id: "large" }, emptyBody);
    expect((await forward({ ...work, id: "small" }, emptyBody)).kind).toBe("answer");
  });

  test("cancelling a request aborts its work at the peer", async () => {
    let wasCancelled = false;
    const { channel } = connect(
      (_request, _body, signal) =>
        new Promise(() => {
          signal.addEventListener("abort", () => {
            wasCancelled = true;
          });
        }),
    );
    const controller = new AbortController();
    const result = channel.forward(work, emptyBody, controller.signal);
    await flushMessages();
    controller.abort();
    expect(await result).toMatchObject({ kind: "failure", failure: { reason: "caller-gone" } });
    await flushMessages();
    expect(wasCancelled).toBe(true);
  });

  test("a connection lost during a streamed answer fails the stream", async () => {
    const { forward, pair } = connect(() =>
      Promise.resolve(createAnswer({ kind: "stream", stream: createByteStream(5_000_000) })),
    );
    const result = await forward(work, emptyBody);
    const size = result.kind === "answer" ? countBytes(result.answer.body) : Promise.resolve(0);
    pair.disconnect();
    await expect(size).rejects.toThrow("peer connection lost");
  });

  const breakCases: readonly (readonly [string, PeerMessage["kind"] | "after", boolean])[] = [
    ["before the request arrives", "request", false],
    ["while the request runs", "after", true],
  ];

  test.each(breakCases)(
    "connection lost %s: the outcome is unknown, and the query returns whether the request was seen",
    async (_name, kind, wasSeen) => {
      const registry = createWorkRegistry(createFakeClock());
      let runs = 0;
      const { forward, pair } = connect((request) => {
        if (registry.admitAttempt(request.id)) {
          runs += 1;
        }
        setImmediate(() => {
          pair.disconnect();
        });
        return new Promise(() => undefined);
      });
      if (kind !== "after") {
        pair.disconnectBefore(kind);
      }
      const result = await forward(work, emptyBody);
      expect(result).toMatchObject({
        kind: "failure",
        failure: { outcome: "unknown", reason: "peer-connection-lost" },
      });
      expect(registry.blockUnlessSeen(work.id)).toBe(wasSeen);
      expect(runs).toBe(wasSeen ? 1 : 0);
      // A copy that arrives after the query must not run.
      expect(registry.admitAttempt(work.id)).toBe(false);
    },
  );
});

describe("codec", () => {
  test("random bytes are refused without an exception", () => {
    fc.assert(
      fc.property(fc.uint8Array({ maxLength: 200 }), (content) => {
        expect(decodeMessage(content)).toBeUndefined();
      }),
      { seed: SEED, numRuns: 1000 },
    );
  });

  test("a hello in which one field has the wrong type is refused", () => {
    const hello: Hello = {
      kind: "hello",
      protocol: 1,
      cluster: "c",
      daemon: "d",
      incarnation: 1,
      dataCentre: "n",
      release: "0",
    };
    for (const name of Object.keys(hello)) {
      const invalidHello = { ...hello, [name]: null };
      expect(decodeMessage(encodeMessage(invalidHello)), name).toBeUndefined();
    }
    expect(decodeMessage(encodeMessage(hello))).toEqual(hello);
  });

  test("a request in which one required field has the wrong type is refused", () => {
    for (const name of [
      "id",
      "service",
      "server",
      "method",
      "target",
      "headers",
      "timeoutMs",
      "isIdempotent",
    ]) {
      const invalidRequest = {
        kind: "request",
        id: 1,
        work: { ...work, [name]: null },
        body: null,
      } as unknown as PeerMessage;
      expect(decodeMessage(encodeMessage(invalidRequest)), name).toBeUndefined();
    }
  });
});

function connect(handleWork: WorkHandler) {
  const pair = createLinkPair();
  let answerBytes = 0;
  const channel: WorkChannel = createWorkChannel(pair.left, () => Promise.reject(new Error("unexpected")));
  const remote = createWorkChannel(pair.right, handleWork);
  pair.left.onMessage((message) => {
    answerBytes += message.kind === "answerBody" ? message.chunk.byteLength : 0;
    channel.handleMessage(message as WorkMessage);
  });
  pair.right.onMessage((message) => {
    remote.handleMessage(message as WorkMessage);
  });
  pair.left.onClose(() => {
    channel.failAll();
  });
  pair.right.onClose(() => {
    remote.failAll();
  });
  return {
    channel,
    pair: { ...pair, countAnswerBytes: () => answerBytes },
    forward: (request: WorkRequest, body: Body) =>
      channel.forward(request, body, new AbortController().signal),
  };
}

function createAnswer(body: Body): WorkResult {
  return { kind: "answer", answer: { status: 200, headers: { a: "1" }, body, load } };
}

function readText(body: Body): string {
  return body.kind === "buffer" ? Buffer.from(body.content).toString() : "stream";
}

async function countBytes(body: Body): Promise<number> {
  if (body.kind === "buffer") {
    return body.content.byteLength;
  }
  let size = 0;
  for await (const chunk of body.stream as AsyncIterable<Uint8Array>) {
    size += chunk.byteLength;
  }
  return size;
}

async function flushMessages(): Promise<void> {
  for (let round = 0; round < 100; round += 1) {
    await new Promise((resolve) => setImmediate(resolve));
  }
}
