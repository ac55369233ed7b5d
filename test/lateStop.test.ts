/**
 * Planned stop of a daemon that gets little processor time: its timers are late, and each turn of its event loop
 * takes so long that more arrives in the meantime.
 */
import { expect, test } from "vitest";
import { type RoutedRequest, shutDownGracefully } from "../src/gateway";
import { createStopAdmission } from "../src/gateway/admission";
import { silentLogger } from "../src/observability";
import type { Clock } from "../src/types";
import { createFakeClock, createProcessClock } from "./support/fakeClock";
import { createRoute } from "./support/gateway";
import { connectCaller, createAnswer, formatRequest, startListener } from "./support/plannedStop";

const GRACE_MS = 6000;
const LAME_DUCK_MS = 2500;
const DEADLINE_MS = 3000;
/** Time that passes, once the daemon closes its listener, with each connection that a caller opens. */
const CONNECTION_MS = 5;
/** Connections that callers open at the same time. */
const CALLERS = 4;

// Guards against a listener that does not close while connections arrive as fast as they are accepted: a daemon short
// of processor time took requests until it was killed at the end of the grace period.
test("a listener at which connections arrive without a break closes, and the stop ends before the grace period", async () => {
  const fake = createFakeClock();
  let heldUpMs = 0;
  const clock: Clock = { ...fake, now: () => fake.now() + heldUpMs };
  const { listener, port } = await startListener(clock, () => Promise.resolve(createAnswer(1)));
  const startedAt = clock.now();
  let tookMs = 0;
  const stopped = shutDownGracefully({
    callerListener: listener,
    clock,
    logger: silentLogger,
    gracePeriodMs: GRACE_MS,
    resign: () => Promise.resolve(),
  }).then(() => (tookMs = clock.now() - startedAt));
  /** Opens one connection after the other until the listener is closed. */
  const connectInTurn = () =>
    new Promise<void>((resolve) => {
      const open = () => {
        const { socket } = connectCaller(port);
        socket.once("error", () => {
          resolve();
        });
        socket.once("connect", () => {
          heldUpMs += clock.now() >= startedAt + LAME_DUCK_MS ? CONNECTION_MS : 0;
          socket.write(formatRequest("/short/1", DEADLINE_MS));
          open();
        });
      };
      open();
    });
  const connected = Promise.all(Array.from({ length: CALLERS }, connectInTurn));
  await fake.advance(LAME_DUCK_MS);
  await connected;
  const closedAfterMs = clock.now() - startedAt;
  await fake.advance(GRACE_MS);
  await stopped;
  expect({ closedAfterMs, tookMs, isInTime: Math.max(closedAfterMs, tookMs) < GRACE_MS }).toMatchObject({
    isInTime: true,
  });
});

const USUAL_MS = 200;
const request = {
  route: createRoute({ name: "short", pathPrefix: "/short/" }),
  service: { name: "desk" },
} as unknown as RoutedRequest;

interface LateCase {
  readonly name: string;
  /** Time for which the process is paused, and time for which it runs afterwards, in turn. */
  readonly pausedMs: number;
  readonly runningMs: number;
  /** Requests that have been read and not answered. */
  readonly pending: number;
  /** Time left until the exit at which the request arrives. */
  readonly exitInMs: number;
  readonly isRefused: boolean;
}

const lateCases: readonly LateCase[] = [
  { name: "on time", pausedMs: 0, runningMs: 20, pending: 1000, exitInMs: 250, isRefused: false },
  { name: "paused 60 of 80 ms", pausedMs: 60, runningMs: 20, pending: 1000, exitInMs: 250, isRefused: false },
  { name: "paused 150 of 170 ms", pausedMs: 150, runningMs: 20, pending: 0, exitInMs: 400, isRefused: true },
  {
    name: "paused 150 of 170 ms, early",
    pausedMs: 150,
    runningMs: 20,
    pending: 0,
    exitInMs: 1500,
    isRefused: false,
  },
  { name: "paused 300 of 330 ms", pausedMs: 300, runningMs: 30, pending: 0, exitInMs: 1000, isRefused: true },
  {
    name: "paused 300 of 330 ms, early",
    pausedMs: 300,
    runningMs: 30,
    pending: 0,
    exitInMs: 2000,
    isRefused: false,
  },
  {
    name: "with a long backlog",
    pausedMs: 150,
    runningMs: 20,
    pending: 100,
    exitInMs: 2000,
    isRefused: true,
  },
];

// Guards against requests that a daemon short of processor time passes on although it cannot write their answers before
// its exit, and against refusals by a daemon that is not short of it.
test.each(lateCases.map((each) => [each.name, each] as const))(
  "the admission at a stop takes account of the daemon itself: %s",
  async (_name, { pausedMs, runningMs, pending, exitInMs, isRefused }) => {
    const fake = createFakeClock();
    const clock = createProcessClock(fake);
    const admission = createStopAdmission(clock, () => pending);
    for (let count = 0; count < 20; count += 1) {
      admission.recordAnswer(request, USUAL_MS);
    }
    const exitAt = clock.now() + GRACE_MS;
    admission.start(exitAt);
    while (clock.now() + pausedMs + runningMs <= exitAt - exitInMs) {
      clock.pause();
      await fake.advance(pausedMs);
      clock.resume();
      await fake.advance(runningMs);
      admission.recordAnswer(request, USUAL_MS);
    }
    await fake.advance(exitAt - exitInMs - clock.now());
    const refusal = admission.findRefusal({ ...request, deadlineAt: clock.now() + DEADLINE_MS });
    expect(refusal?.kind).toBe(isRefused ? "notRun" : undefined);
  },
);
