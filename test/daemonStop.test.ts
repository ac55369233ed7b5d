/** Planned stop of a daemon. Guards against requests that were taken, or had arrived, and get no whole answer. */
import { Readable } from "node:stream";
import { describe, expect, test } from "vitest";
import type { Body } from "../src/types";
import { connectCaller, createBodyAnswer, startStoppingDaemon, waitUntil } from "./support/stoppingDaemon";

/** Larger than the buffers of both sockets. */
const LONG_ANSWER_BYTES = 32_000_000;

const longBodies: readonly (readonly [string, () => Body])[] = [
  ["in memory", () => ({ kind: "buffer", content: Buffer.alloc(LONG_ANSWER_BYTES) })],
  ["streamed", () => ({ kind: "stream", stream: Readable.from([Buffer.alloc(LONG_ANSWER_BYTES)]) })],
];

describe("planned stop", () => {
  // Guards against cutting an answer that has been ended but waits for its caller to read.
  test.each(longBodies)(
    "an answer %s is written whole to a caller that reads late",
    async (_name, create) => {
      const daemon = await startStoppingDaemon(() =>
        Promise.resolve(createBodyAnswer(create(), { "content-length": String(LONG_ANSWER_BYTES) })),
      );
      const caller = connectCaller(daemon.port);
      caller.send("/desk/k");
      await waitUntil(() => caller.received() !== "");
      caller.socket.pause();
      daemon.stop();
      await daemon.clock.advance(5000);
      expect(daemon.hasStopped()).toBe(false);
      caller.socket.resume();
      await waitUntil(() => caller.isClosed() || caller.countBodyBytes() >= LONG_ANSWER_BYTES);
      expect(caller.countBodyBytes()).toBe(LONG_ANSWER_BYTES);
      await daemon.advanceUntil(() => daemon.hasStopped());
    },
  );
});
