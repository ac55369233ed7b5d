/**
 * Planned stop of a daemon: requests that it has taken get whole answers, and it takes none that it cannot answer
 * before its process ends.
 */
import { execFileSync, spawn } from "node:child_process";
import { once } from "node:events";
import { mkdtempSync, rmSync } from "node:fs";
import { open } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { Worker } from "node:worker_threads";
import { expect, test } from "vitest";
import { type DispatchResult, type Dispatcher, RejectionReason, shutDownGracefully } from "../src/gateway";
import { silentLogger } from "../src/observability";
import { sleep, systemClock } from "../src/types";

import { type FakeClock, createFakeClock } from "./support/fakeClock";
import {
  comesTrue,
  connectCaller,
  createAnswer,
  formatRequest,
  isConnectionRefused,
  startListener,
} from "./support/plannedStop";
import { listByName } from "./support/cases";
import { startSingleDaemon } from "./support/singleDaemon";

const GRACE_MS = 6000;
/** Well after the end of the time in which new connections are accepted, and well before that of the grace period. */
const CLOSED_MS = 4000;
/** More than the buffers of a socket hold, so that a part of the answer waits until the caller reads. */
const LARGE_BYTES = 16 * 1024 * 1024;
const DEADLINE_MS = 8000;
/** Determines the addresses of the daemon process; no soak uses it. */
const PROCESS_SEED = 199;
const EXIT_CODE_OF_WRONG_SETTINGS = 2;
/** Ends a run that hangs. */
const PROCESS_TIMEOUT_MS = 120_000;

/** Starts the graceful shutdown of a listener. */
function startStop(
  { listener }: Awaited<ReturnType<typeof startListener>>,
  clock: FakeClock,
  resign = () => Promise.resolve(),
): Promise<void> {
  return shutDownGracefully({
    callerListener: listener,
    clock,
    logger: silentLogger,
    gracePeriodMs: GRACE_MS,
    resign,
  });
}

/** Answers requests to `/long/` with a large answer, and other paths with a short one. */
const answerAtOnce: Dispatcher = ({ path }) =>
  Promise.resolve(createAnswer(path === "/long/1" ? LARGE_BYTES : 1));

/** Sends a request for a large answer, and reads nothing but the beginning of it. */
async function connectSlowCaller(port: number) {
  const caller = connectCaller(port);
  caller.socket.write(formatRequest("/long/1", DEADLINE_MS));
  expect(await comesTrue(() => caller.getHead() !== "")).toBe(true);
  caller.socket.pause();
  return caller;
}

// Guards against a single caller that does not read, which kept all connections and the listener of a stopping daemon
// open: requests were taken until the end of the grace period, and cut there.
test("a caller that does not read its answer keeps neither idle connections nor the listener open", async () => {
  const clock = createFakeClock();
  const started = await startListener(clock, answerAtOnce);
  const idle = connectCaller(started.port);
  idle.socket.write(formatRequest("/short/1", DEADLINE_MS));
  expect(await comesTrue(() => idle.countBodyBytes() === 1)).toBe(true);
  const slow = await connectSlowCaller(started.port);
  const stopped = startStop(started, clock);
  try {
    await clock.advance(CLOSED_MS);
    const isIdleClosed = await comesTrue(() => idle.isClosed());
    const isRefused = await isConnectionRefused(started.port);
    expect({ isIdleClosed, isRefused }).toEqual({ isIdleClosed: true, isRefused: true });
    slow.socket.resume();
    await comesTrue(() => slow.countBodyBytes() === LARGE_BYTES || slow.isClosed());
    expect(slow.countBodyBytes()).toBe(LARGE_BYTES);
  } finally {
    idle.socket.destroy();
    slow.socket.destroy();
    await clock.advance(GRACE_MS);
    await stopped;
  }
});

const departures: readonly { name: string; isAfterClose: boolean; result: DispatchResult }[] = [
  {
    name: "that is given up",
    isAfterClose: false,
    result: {
      kind: "notRun",
      reason: RejectionReason.Abandoned,
      retryAfterMs: 300,
      inputs: { server: undefined, assignmentVersion: 0, expectedWaitMs: undefined, loadAgeMs: undefined },
    },
  },
  { name: "that is answered as they leave", isAfterClose: false, result: createAnswer(1) },
  { name: "that is answered afterwards", isAfterClose: true, result: createAnswer(1) },
];

// Guards against a count of unwritten answers that callers who leave make too low, so that answers are cut, or too
// high, so that idle connections stay open.
test.each(listByName(departures))(
  "callers that leave during a request %s do not change what is closed",
  async (_name, { isAfterClose, result }) => {
    const { listener, port } = await startListener(systemClock, async (request) => {
      if (request.path === "/long/1") {
        return createAnswer(LARGE_BYTES);
      }
      await new Promise<void>((resolve) => {
        request.caller.signal.addEventListener("abort", () => {
          resolve();
        });
      });
      if (isAfterClose) {
        await comesTrue(() => leaving.every((each) => each.isClosed()));
      }
      return result;
    });
    const leaving = Array.from({ length: 5 }, () => connectCaller(port));
    leaving.forEach(({ socket }) => socket.write(formatRequest("/short/1", DEADLINE_MS)));
    expect(await comesTrue(() => listener.countPending() === leaving.length)).toBe(true);
    leaving.forEach(({ socket }) => socket.destroy());
    expect(await comesTrue(() => listener.countPending() === 0)).toBe(true);
    const slow = await connectSlowCaller(port);
    listener.drain(Number.POSITIVE_INFINITY);
    await listener.close();
    const timer = setInterval(() => {
      void listener.closeIdle();
    }, 1);
    try {
      await comesTrue(() => false);
      slow.socket.resume();
      await comesTrue(() => slow.countBodyBytes() === LARGE_BYTES || slow.isClosed());
      expect(slow.countBodyBytes()).toBe(LARGE_BYTES);
      const isClosed = await comesTrue(() => slow.isClosed());
      const isRefused = await isConnectionRefused(port);
      expect({ isClosed, isRefused }).toEqual({ isClosed: true, isRefused: true });
    } finally {
      clearInterval(timer);
      slow.socket.destroy();
    }
  },
);

/** A caller in a thread of its own, which goes on while the thread of the listener stands still. */
const CALLER_THREAD = `
const { parentPort, workerData } = require("node:worker_threads");
const { connect } = require("node:net");
const state = new Int32Array(workerData.state);
let received = "";
let socket = workerData.isKept ? open() : undefined;
socket?.write(workerData.request, () => undefined);
socket?.once("data", () => parentPort.postMessage(received.slice(0, 12)));
if (socket === undefined) {
  parentPort.postMessage("none");
}
parentPort.once("message", () => {
  received = "";
  socket ??= open();
  socket.write(workerData.request, () => {
    Atomics.store(state, 0, 1);
    Atomics.notify(state, 0);
  });
});
function open() {
  const opened = connect(workerData.port, workerData.host);
  opened.on("data", (chunk) => {
    received += chunk;
  });
  opened.on("error", (error) => {
    received += error.code;
  });
  opened.once("end", () => opened.end());
  opened.once("close", () => parentPort.postMessage(received.slice(0, 12)));
  return opened;
}
`;

const unreadRequests = [
  { name: "on a kept connection", isKept: true, earlier: "HTTP/1.1 200" },
  { name: "on a connection that waits to be accepted", isKept: false, earlier: "none" },
];

// Guards against the reset of requests that arrived while the process was short of processor time, when the check for
// idle connections runs before they are read.
test.each(listByName(unreadRequests))(
  "a request that has arrived but is not read yet, %s, is answered",
  async (_name, { isKept, earlier }) => {
    const { listener, port } = await startListener(systemClock, answerAtOnce);
    const state = new SharedArrayBuffer(Int32Array.BYTES_PER_ELEMENT);
    const request = formatRequest("/short/1", DEADLINE_MS);
    const caller = new Worker(CALLER_THREAD, {
      eval: true,
      workerData: { port, host: "127.0.0.1", request, isKept, state },
    });
    expect(await once(caller, "message")).toEqual([earlier]);
    listener.drain(Number.POSITIVE_INFINITY);
    const outcome = once(caller, "message");
    // Stands for a stall after which the timer of the check is due: the loop has read nothing since.
    await new Promise((resolve) => setTimeout(resolve, 1));
    caller.postMessage("send");
    Atomics.wait(new Int32Array(state), 0, 0);
    void listener.close();
    const timer = setInterval(() => {
      void listener.closeIdle();
    }, 1);
    try {
      expect(await outcome).toEqual(["HTTP/1.1 200"]);
    } finally {
      clearInterval(timer);
      await caller.terminate();
    }
  },
);

interface LateRequest {
  readonly name: string;
  readonly path: string;
  /** Time that earlier requests of the route took. */
  readonly usualMs: number;
  readonly workMs: number;
  readonly deadlineMs: number;
  readonly expected: { readonly status: string; readonly passedOn: number; readonly hasRetryAfter: boolean };
}

const served = { status: "200", passedOn: 1, hasRetryAfter: false };
const lateRequests: readonly LateRequest[] = [
  {
    name: "that cannot end before the exit is refused as not run",
    path: "/long/1",
    usualMs: 4500,
    workMs: 4500,
    deadlineMs: DEADLINE_MS,
    expected: { status: "503", passedOn: 0, hasRetryAfter: true },
  },
  {
    name: "of a route that takes less than the time left is served",
    path: "/short/1",
    usualMs: 150,
    workMs: 150,
    deadlineMs: DEADLINE_MS,
    expected: served,
  },
  {
    name: "whose deadline lies before the exit is served",
    path: "/long/1",
    usualMs: 4500,
    workMs: 2900,
    deadlineMs: 3000,
    expected: served,
  },
];

// Guards against requests that a stopping daemon passes on although they cannot end before its process does, and that
// it then cuts; and against refusals of those that can.
test.each(listByName(lateRequests))("a request after the stop signal %s", async (_name, late) => {
  const clock = createFakeClock();
  let passedOn = 0;
  let workMs = late.usualMs;
  const started = await startListener(clock, async () => {
    passedOn += 1;
    await sleep(clock, workMs);
    return createAnswer(1);
  });
  const send = async (deadlineMs: number) => {
    const caller = connectCaller(started.port);
    const passedOnBefore = passedOn;
    caller.socket.write(formatRequest(late.path, deadlineMs));
    await comesTrue(() => passedOn > passedOnBefore || caller.getHead() !== "");
    return caller;
  };
  for (let count = 0; count < 5; count += 1) {
    const earlier = await send(DEADLINE_MS);
    await clock.advance(workMs);
    expect(await comesTrue(() => earlier.countBodyBytes() === 1)).toBe(true);
    earlier.socket.destroy();
  }
  passedOn = 0;
  workMs = late.workMs;
  const stopped = startStop(started, clock);
  await clock.advance(2100);
  const caller = await send(late.deadlineMs);
  await clock.advance(late.expected.passedOn === 0 ? 0 : workMs);
  await comesTrue(() => caller.getHead() !== "");
  const head = caller.getHead();
  caller.socket.destroy();
  await clock.advance(GRACE_MS);
  await stopped;
  const status = head.slice("HTTP/1.1 ".length).slice(0, 3);
  expect({ status, passedOn, hasRetryAfter: /\r\nretry-after: /i.test(head) }).toEqual(late.expected);
});

// Guards against a store that does not answer, which delayed the closing of the coordinator's listener until the
// process was ended in the middle of its requests.
test("resigning against a silent store delays neither the closing of the listener nor the end", async () => {
  const clock = createFakeClock();
  const started = await startListener(clock, answerAtOnce);
  let isStopped = false;
  void startStop(started, clock, () => new Promise(() => undefined)).then(() => {
    isStopped = true;
  });
  await clock.advance(CLOSED_MS);
  const isRefused = await isConnectionRefused(started.port);
  await clock.advance(GRACE_MS - CLOSED_MS);
  await started.listener.close();
  expect({ isRefused, isStopped }).toEqual({ isRefused: true, isStopped: true });
});

// Guards against a handler for the first stop signal only: the next one ended the process in the middle of its requests.
test(
  "a second stop signal does not end the process in the middle of a request",
  async () => {
    const { daemon, waitUntilAtServer, answer, close } = await startSingleDaemon(PROCESS_SEED);
    try {
      const caller = connectCaller(daemon.callerPort, daemon.host);
      caller.socket.write(formatRequest("/long/1", DEADLINE_MS));
      await waitUntilAtServer();
      daemon.terminate();
      await daemon.waitUntilNotReady();
      const closed = once(caller.socket, "close");
      daemon.terminate();
      // A probe that is answered now proves that the signal did not end the process.
      const isRunning = await daemon.isAnswering();
      answer();
      await closed;
      const outcome = { isRunning, head: caller.getHead().slice(0, "HTTP/1.1 200".length) };
      expect(outcome).toEqual({ isRunning: true, head: "HTTP/1.1 200" });
    } finally {
      await close();
    }
  },
  PROCESS_TIMEOUT_MS,
);

// Guards against signals whose default effect ends a process that is still starting.
test.each(["SIGTERM", "SIGHUP"] as const)("%s during the start does not end the process", async (signal) => {
  const folder = mkdtempSync(join(tmpdir(), "hemlockbank-start-"));
  const settingsFile = join(folder, "settings");
  execFileSync("mkfifo", [settingsFile]);
  const daemon = spawn(process.execPath, ["target/hemlockbank.cjs"], {
    env: { HEMLOCKBANK_SETTINGS: settingsFile },
    stdio: "ignore",
  });
  const exited = once(daemon, "exit");
  // Opening the pipe succeeds when the process reads its settings from it.
  const pipe = await open(settingsFile, "w");
  daemon.kill(signal);
  await pipe.writeFile("these are no settings");
  await pipe.close();
  expect(await exited).toEqual([EXIT_CODE_OF_WRONG_SETTINGS, null]);
  rmSync(folder, { recursive: true });
});
