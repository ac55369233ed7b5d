/** Planned stop of a daemon: connections and requests on which a stopping listener decides with others waiting. */
import { once } from "node:events";
import { connect } from "node:net";
import { PassThrough } from "node:stream";
import { Worker } from "node:worker_threads";
import { expect, test } from "vitest";
import { type DispatchResult, shutDownGracefully } from "../src/gateway";
import { silentLogger } from "../src/observability";
import { systemClock } from "../src/types";
import { createFakeClock } from "./support/fakeClock";
import { comesTrue, connectCaller, createAnswer, formatRequest, startListener } from "./support/plannedStop";

const DEADLINE_MS = 8000;
/** More than the turns of the event loop in which the listener reads what has arrived. */
const WAITING_CONNECTIONS = 20;

/** Callers in a thread of their own, which connect and send while the thread of the listener stands still. */
const CALLERS_THREAD = `
const { parentPort, workerData } = require("node:worker_threads");
const { connect } = require("node:net");
const state = new Int32Array(workerData.state);
const outcomes = [];
let sent = 0;
for (let index = 0; index < workerData.count; index += 1) {
  const socket = connect(workerData.port, workerData.host);
  let received = "";
  socket.on("data", (chunk) => {
    received += chunk;
  });
  socket.on("error", (error) => {
    received += error.code;
  });
  socket.once("end", () => socket.end());
  socket.once("close", () => {
    outcomes.push(received.slice(0, 12));
    if (outcomes.length === workerData.count) {
      parentPort.postMessage(outcomes);
    }
  });
  socket.write(workerData.request, () => {
    sent += 1;
    if (sent === workerData.count) {
      Atomics.store(state, 0, 1);
      Atomics.notify(state, 0);
    }
  });
}
`;

// Guards against the reset of connections that wait to be accepted when the listener closes: Node.js accepts one in
// each turn of the event loop.
test("requests on many connections that wait to be accepted are answered although the listener closes", async () => {
  const { listener, port } = await startListener(systemClock, () => Promise.resolve(createAnswer(1)));
  const state = new SharedArrayBuffer(Int32Array.BYTES_PER_ELEMENT);
  listener.drain(Number.POSITIVE_INFINITY);
  const callers = new Worker(CALLERS_THREAD, {
    eval: true,
    workerData: {
      port,
      host: "127.0.0.1",
      request: formatRequest("/short/1", DEADLINE_MS),
      count: WAITING_CONNECTIONS,
      state,
    },
  });
  try {
    const outcome = once(callers, "message");
    await once(callers, "online");
    Atomics.wait(new Int32Array(state), 0, 0);
    await listener.close();
    const timer = setInterval(() => void listener.closeIdle(), 1);
    const [statuses] = (await outcome) as [string[]];
    clearInterval(timer);
    expect(statuses).toEqual(Array.from({ length: WAITING_CONNECTIONS }, () => "HTTP/1.1 200"));
  } finally {
    await callers.terminate();
  }
});

const sentBehind = [
  { name: "as the last one", behind: "", expected: ["200", "200"] },
  {
    name: "with one behind it that is refused at once",
    behind: formatRequest("/none/3", DEADLINE_MS),
    expected: ["200", "200", "404"],
  },
];

// Guards against the loss of a request that was read whole behind one that is answered during a stop: its
// connection was closed without an answer, long after it had been sent.
test.each(sentBehind.map((each) => [each.name, each] as const))(
  "an unsafe request that waits behind another one on its connection when the stop begins, %s, is answered",
  async (_name, { behind, expected }) => {
    let answer: () => void = () => undefined;
    const { listener, port } = await startListener(systemClock, async ({ path }) => {
      if (path === "/short/1") {
        await new Promise<void>((resolve) => (answer = resolve));
      }
      return createAnswer(1);
    });
    const caller = connectCaller(port);
    let received = "";
    caller.socket.on("data", (chunk: Buffer) => (received += chunk.toString("latin1")));
    caller.socket.write(formatRequest("/short/1", DEADLINE_MS) + formatRequest("/short/2", DEADLINE_MS));
    expect(await comesTrue(() => listener.countPending() === 2)).toBe(true);
    listener.drain(Number.POSITIVE_INFINITY);
    caller.socket.write(behind);
    expect(await comesTrue(() => listener.countPending() === expected.length)).toBe(true);
    answer();
    await comesTrue(() => caller.isClosed());
    await listener.close();
    expect(received.match(/(?<=HTTP\/1\.1 )\d+/g)).toEqual(expected);
  },
);

// Guards against answers that a stop cuts since only the time to their beginnings was taken for the usual one.
test("a request after the stop signal whose streamed answer usually takes longer than the time left is refused", async () => {
  const clock = createFakeClock();
  const streams: PassThrough[] = [];
  const started = await startListener(clock, () => {
    const rest = new PassThrough();
    streams.push(rest);
    return Promise.resolve({
      kind: "answered",
      message: { statusCode: 200, rawHeaders: ["Content-Length", "2"], headers: {} },
      body: { kind: "streamed", head: [Buffer.from("a")], rest },
    } as unknown as DispatchResult);
  });
  for (let count = 0; count < 5; count += 1) {
    const earlier = connectCaller(started.port);
    earlier.socket.write(formatRequest("/long/1", DEADLINE_MS));
    expect(await comesTrue(() => earlier.countBodyBytes() === 1)).toBe(true);
    await clock.advance(4500);
    streams.at(-1)?.end("b");
    expect(await comesTrue(() => earlier.countBodyBytes() === 2)).toBe(true);
    earlier.socket.destroy();
  }
  const stopped = shutDownGracefully({
    callerListener: started.listener,
    clock,
    logger: silentLogger,
    gracePeriodMs: 6000,
    resign: () => Promise.resolve(),
  });
  await clock.advance(2100);
  const caller = connectCaller(started.port);
  caller.socket.write(formatRequest("/long/1", DEADLINE_MS));
  await comesTrue(() => caller.getHead() !== "");
  const head = caller.getHead();
  caller.socket.destroy();
  await clock.advance(6000);
  await stopped;
  expect({ status: head.slice(9, 12), sent: streams.length }).toEqual({ status: "503", sent: 5 });
});

// Guards against callers that neither read the refusal of a malformed request nor close: their connections stayed open
// for as long as the process ran, and a stop waited for them until the end of its grace period.
test("a caller that does not close its connection after a malformed request does not hold up the stop", async () => {
  const clock = createFakeClock();
  const { listener, port } = await startListener(clock, () => Promise.resolve(createAnswer(1)));
  const caller = connect({ port, host: "127.0.0.1", allowHalfOpen: true });
  let received = "";
  caller.on("error", () => undefined);
  caller.on("data", (chunk: Buffer) => (received += chunk.toString("latin1")));
  caller.write("NONSENSE\r\n\r\n");
  expect(await comesTrue(() => received !== "")).toBe(true);
  let isStopped = false;
  const stopped = shutDownGracefully({
    callerListener: listener,
    clock,
    logger: silentLogger,
    gracePeriodMs: 6000,
    resign: () => Promise.resolve(),
  }).then(() => (isStopped = true));
  await clock.advance(4000);
  await comesTrue(() => listener.countConnections() === 0);
  await clock.advance(100);
  await comesTrue(() => isStopped);
  const outcome = { isStopped, status: received.slice(0, "HTTP/1.1 400".length) };
  caller.destroy();
  await clock.advance(6000);
  await stopped;
  expect(outcome).toEqual({ isStopped: true, status: "HTTP/1.1 400" });
});

// Guards against refusals that their callers cannot read: a close while a body arrives resets the connection.
test.each([
  ["/none/1", "404"],
  ["/short/1", "413"],
])(
  "a request to %s that is refused before its body has arrived gets the answer %s during a stop",
  async (path, status) => {
    const { listener, port } = await startListener(systemClock, () => Promise.resolve(createAnswer(1)));
    listener.drain(Number.POSITIVE_INFINITY);
    const caller = connectCaller(port);
    const bodyBytes = 4096;
    const request = formatRequest(path, DEADLINE_MS).replace("Length: 0", `Length: ${bodyBytes}`);
    caller.socket.write(request + "x".repeat(bodyBytes / 2));
    await comesTrue(() => caller.getHead() !== "" || caller.isClosed());
    const outcome = {
      status: caller.getHead().slice("HTTP/1.1 ".length).slice(0, 3),
      isClosed: caller.isClosed(),
    };
    const answerBytes = caller.countBodyBytes();
    caller.socket.write("x".repeat(bodyBytes / 2) + formatRequest("/short/2", DEADLINE_MS));
    await comesTrue(() => caller.isClosed());
    await listener.close();
    expect({ ...outcome, hasNextAnswer: caller.countBodyBytes() > answerBytes }).toEqual({
      status,
      isClosed: false,
      hasNextAnswer: true,
    });
  },
);
