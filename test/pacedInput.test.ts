/** Input of callers in pieces, without a network: what the HTTP parser gets at once, and when nothing is read. */
import { EventEmitter } from "node:events";
import type { Socket } from "node:net";
import { expect, test } from "vitest";
import { createPacedInputs } from "../src/gateway";

const HEAD = "GET / HTTP/1.1\r\n\r\n";

function start(limits: { readonly maxRequests?: number; readonly bodyRest?: () => number } = {}) {
  const pieces: string[] = [];
  let answered = 0;
  const state = { isPaused: false, waiting: 0 };
  const socket = Object.assign(new EventEmitter(), {
    destroyed: false,
    pause: () => {
      state.isPaused = true;
    },
    resume: () => {
      state.isPaused = false;
    },
  });
  socket.on("data", (data: Buffer) => pieces.push(data.toString()));
  const countHeads = () => pieces.filter((piece) => piece.includes("\r\n\r\n")).length;
  const input = createPacedInputs().open(socket as unknown as Socket, {
    mayRead: () => countHeads() - answered < (limits.maxRequests ?? 16),
    countBodyRest: limits.bodyRest ?? (() => 0),
    onWaiting: (change) => {
      state.waiting += change;
    },
    onData: () => undefined,
  });
  return {
    pieces,
    state,
    socket,
    input,
    countHeads,
    receive: (data: string) => socket.emit("data", Buffer.from(data)),
    answer: () => {
      answered += 1;
      input.update();
    },
    runTurns: async () => {
      for (let turn = 0; turn < 10; turn += 1) {
        await new Promise((resolve) => setImmediate(resolve));
      }
    },
  };
}

// Guards against ordinary requests that wait for a turn of the event loop.
test.each([
  ["a request without a body", [HEAD]],
  ["a request with a body", [HEAD, "body"]],
  ["a part of a head", ["GET / HT"]],
])("%s is parsed as soon as it arrives", (_name, expected) => {
  const { receive, pieces, state } = start();
  receive(expected.join(""));
  expect({ pieces, ...state }).toEqual({ pieces: expected, isPaused: false, waiting: 0 });
});

// Guards against thousands of requests that are parsed before a pause takes effect.
test("no more requests are parsed than may be unanswered, and the rest is not read", async () => {
  const { receive, runTurns, answer, countHeads, state } = start();
  receive(HEAD.repeat(1000));
  await runTurns();
  expect(countHeads()).toBe(16);
  expect(state).toEqual({ isPaused: true, waiting: HEAD.length * (1000 - 16) });
  answer();
  await runTurns();
  expect(countHeads()).toBe(17);
});

test("reading goes on once everything is parsed and answered", async () => {
  const { receive, runTurns, answer, state, countHeads } = start({ maxRequests: 1 });
  receive(HEAD.repeat(3));
  for (let count = 0; count < 3; count += 1) {
    await runTurns();
    expect([countHeads(), state.isPaused]).toEqual([count + 1, true]);
    answer();
  }
  expect(state).toEqual({ isPaused: false, waiting: 0 });
});

// Guards against input that takes all processor time: other work waits while it is parsed.
test("one turn of the event loop parses a limited number of bytes, in pieces of at most 1 KiB", async () => {
  const { receive, pieces } = start();
  receive("1\r\nx\r\n".repeat(10_000));
  await new Promise((resolve) => setImmediate(resolve));
  const lengths = pieces.map((piece) => piece.length);
  expect(Math.max(...lengths)).toBe(1024);
  expect(lengths.reduce((total, length) => total + length, 0)).toBeLessThan(20_000);
});

test("a part of a body of known length is parsed as a whole", () => {
  const { receive, pieces } = start({ bodyRest: () => 100_000 });
  receive("x".repeat(65_536));
  expect(pieces.map((piece) => piece.length)).toEqual([65_536]);
});

// Guards against data for a parser that the HTTP server has paused, which it takes for malformed.
test("nothing is parsed while the HTTP server has paused its parser", async () => {
  const { receive, runTurns, socket, countHeads } = start();
  receive(HEAD.repeat(5));
  socket.pause();
  await runTurns();
  expect(countHeads()).toBe(2);
  socket.resume();
  await runTurns();
  expect(countHeads()).toBe(5);
});

test("what waits is dropped when the connection is stopped", async () => {
  const { receive, runTurns, input, countHeads, state } = start();
  receive(HEAD.repeat(5));
  input.stop();
  await runTurns();
  expect([countHeads(), state.waiting, state.isPaused]).toEqual([2, 0, true]);
});
