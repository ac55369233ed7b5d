/** Planned stop of a daemon. Guards against requests that were taken, or had arrived, and get no whole answer. */
import { Readable } from "node:stream";
import { describe, expect, test } from "vitest";
import { waitForStopSignal } from "../src/cli/stopSignal";
import type { Membership } from "../src/membership";
import type { LeaseManager } from "../src/ownership";
import { createCounters } from "../src/observability";
import {
  type LeaseholderDispatcherOptions,
  createLeaseholderDispatcher,
  createWorkRegistry,
} from "../src/routing";
import { createFakeClock } from "./support/fakeClock";
import { type Body, type Clock, type WorkRequest, type WorkResult, emptyBody, sleep } from "../src/types";
import {
  connectCaller,
  createBodyAnswer,
  startStoppingDaemon,
  startStoppingPeer,
  waitUntil,
} from "./support/stoppingDaemon";

/** Larger than the buffers of both sockets. */
const LONG_ANSWER_BYTES = 32_000_000;
const QUEUED_CONNECTIONS = 20;
/** Shorter than the deadlines of most requests. */
const SHORT_SHUTDOWN_MS = 2000;
/** Load balancers have noticed the stop by then. */
const LAME_DUCK_END_MS = 1500;
const LONG_SHUTDOWN_MS = 20_000;
const PEER_REQUESTS = 20;
const PEER_ANSWER_BYTES = 2_000_000;

const work: WorkRequest = {
  id: "w",
  service: "desk",
  server: "one",
  key: "k",
  method: "GET",
  target: "/k",
  headers: {},
  timeoutMs: 1000,
  isIdempotent: true,
  idempotencyKey: null,
  relayTo: null,
};

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

  // Guards against resetting a request that waits in the kernel when the connections are closed.
  test("a request that has arrived but is not read is answered when connections close", async () => {
    const daemon = await startStoppingDaemon(() => Promise.resolve(createBodyAnswer(emptyBody)));
    const caller = connectCaller(daemon.port);
    caller.send("/desk/first");
    await waitUntil(() => caller.received() !== "");
    // Both happen before the event loop reads the request.
    caller.send("/desk/second");
    await daemon.callers.close();
    expect(daemon.routed).toEqual(["/first", "/second"]);
    await waitUntil(() => caller.isClosed());
    expect(caller.received().match(/200 OK/g)).toHaveLength(2);
  });

  // Guards against resetting connections that the kernel has accepted and the process has not.
  test("connections in the accept queue are served when the listener closes", async () => {
    const daemon = await startStoppingDaemon(() => Promise.resolve(createBodyAnswer(emptyBody)));
    const callers = Array.from({ length: QUEUED_CONNECTIONS }, () => connectCaller(daemon.port));
    callers.forEach((caller, index) => {
      caller.send(`/desk/${index}`);
    });
    // The connections are requested on the next tick, before the event loop accepts any.
    await new Promise((resolve) => {
      process.nextTick(resolve);
    });
    await daemon.callers.close();
    await waitUntil(() => callers.every((caller) => caller.isClosed()));
    expect(callers.filter((caller) => caller.received().startsWith("HTTP/1.1 200"))).toHaveLength(
      QUEUED_CONNECTIONS,
    );
  });

  // Guards against dropping unread requests of other daemons, and answers to them that are not written yet.
  test("requests that other daemons send just before the end are answered in full", async () => {
    const stopping = await startStoppingPeer("stopping", () =>
      Promise.resolve(createBodyAnswer({ kind: "buffer", content: Buffer.alloc(PEER_ANSWER_BYTES) })),
    );
    const other = await startStoppingPeer("other", () => Promise.reject(new Error("unexpected")));
    const peer = await other.connect("stopping");
    const daemon = await startStoppingDaemon(() => Promise.resolve(createBodyAnswer(emptyBody)));
    const results: Promise<WorkResult>[] = [];
    let hasLeft = false;
    const stallingClock: Clock = {
      now: () => daemon.clock.now(),
      schedule: (delayMs, callback) =>
        daemon.clock.schedule(delayMs, () => {
          // As after a stall: the requests arrive, and timers run before the event loop reads them.
          while (hasLeft && results.length < PEER_REQUESTS) {
            const request = { ...work, id: `w${results.length}` };
            results.push(peer.forward(request, emptyBody, new AbortController().signal));
          }
          callback();
        }),
    };
    const leave = () => {
      hasLeft = true;
    };
    daemon.stop({
      clock: stallingClock,
      peers: stopping,
      membership: { setLeaving: () => undefined, leave } as unknown as Membership,
      stopSubsystems: () => stopping.close(),
    });
    await daemon.advanceUntil(() => daemon.hasStopped());
    const kinds = (await Promise.all(results)).map((result) => result.kind);
    expect(kinds).toEqual(Array(PEER_REQUESTS).fill("answer"));
    await other.close();
  });

  // Guards against a second signal that ends the process in the middle of the shutdown.
  test.each(["SIGTERM", "SIGINT"] as const)("a second %s does not end the process", async (signal) => {
    const before = process.listeners(signal);
    const stopSignal = waitForStopSignal();
    process.emit(signal);
    await stopSignal;
    const remaining = process.listeners(signal).filter((listener) => !before.includes(listener));
    remaining.forEach((listener) => process.removeListener(signal, listener));
    // Without a listener, the next signal ends the process.
    expect(remaining).toHaveLength(1);
  });

  interface LateRequest {
    readonly name: string;
    /** Time that a request of the service has taken before, in milliseconds. */
    readonly beforeMs?: number;
    readonly timeoutMs: number;
    readonly isTaken: boolean;
  }

  const lateRequests: readonly LateRequest[] = [
    { name: "whose service is fast enough", beforeMs: 100, timeoutMs: 10_000, isTaken: true },
    { name: "whose service is too slow", beforeMs: 3000, timeoutMs: 10_000, isTaken: false },
    { name: "of an unknown service with a late deadline", timeoutMs: 10_000, isTaken: false },
    { name: "of an unknown service with an early deadline", timeoutMs: 500, isTaken: true },
    { name: "of a slow service with an early deadline", beforeMs: 3000, timeoutMs: 500, isTaken: true },
  ];

  // Guards against passing on a request that the end of the shutdown would cut.
  test.each(lateRequests)(
    "a late request $name: taken $isTaken",
    async ({ beforeMs, timeoutMs, isTaken }) => {
      let takesMs = 0;
      const daemon = await startStoppingDaemon(async () => {
        await sleep(daemon.clock, takesMs);
        return createBodyAnswer(emptyBody);
      });
      if (beforeMs !== undefined) {
        takesMs = beforeMs;
        const earlier = connectCaller(daemon.port);
        earlier.send("/desk/earlier");
        await daemon.advanceUntil(() => earlier.received() !== "");
      }
      daemon.stop({ timeoutMs: SHORT_SHUTDOWN_MS });
      takesMs = 0;
      const caller = connectCaller(daemon.port);
      caller.send("/desk/late", `x-hemlockbank-timeout-ms: ${timeoutMs}`);
      await waitUntil(() => caller.received() !== "" || daemon.routed.includes("/late"));
      expect(daemon.routed.includes("/late")).toBe(isTaken);
      await daemon.advanceUntil(() => caller.received() !== "");
      expect(caller.received()).toMatch(
        isTaken ? /^HTTP.1.1 200/ : /^HTTP.1.1 503[^]*retry-after: 1[^]*not-run/,
      );
    },
  );

  // Guards against a request that is retried, or waits, until the end of the shutdown cuts it.
  test("a request taken during the stop gets its deadline from it", async () => {
    const deadlines: number[] = [];
    const daemon = await startStoppingDaemon((request) => {
      deadlines.push(request.deadlineAt);
      return Promise.resolve(createBodyAnswer(emptyBody));
    });
    const earlier = connectCaller(daemon.port);
    earlier.send("/desk/earlier");
    await waitUntil(() => earlier.received() !== "");
    const stopsAt = daemon.clock.now() + SHORT_SHUTDOWN_MS;
    daemon.stop({ timeoutMs: SHORT_SHUTDOWN_MS });
    const late = connectCaller(daemon.port);
    late.send("/desk/late", "x-hemlockbank-timeout-ms: 10000");
    await waitUntil(() => late.received() !== "");
    expect(deadlines[0]).toBeGreaterThan(stopsAt);
    expect(deadlines[1]).toBeLessThan(stopsAt);
  });

  // Guards against running forwarded requests of other daemons that the end of the shutdown would cut.
  test.each([
    [10_000, "daemon-stopping"],
    [500, "lease-not-held"],
  ])("a forwarded request with %i ms left is refused as %s", async (timeoutMs, reason) => {
    const clock = createFakeClock();
    const acquirePermit = () => Promise.resolve({ kind: "refused", reason: "lease-not-held" });
    const dispatcher = createLeaseholderDispatcher({
      leases: { get: () => ({ service: work.service, acquirePermit }) },
      registry: createWorkRegistry(clock),
      clock,
      counters: createCounters("test"),
    } as unknown as LeaseholderDispatcherOptions);
    dispatcher.drain(clock.now() + SHORT_SHUTDOWN_MS);
    const result = await dispatcher.handleWork(
      { ...work, timeoutMs },
      emptyBody,
      new AbortController().signal,
    );
    expect(result).toMatchObject({ kind: "failure", failure: { outcome: "not-run", reason } });
  });

  const unavailablePlatforms: readonly (readonly [string, () => Promise<void>])[] = [
    ["refuses", () => Promise.reject(new Error("unavailable"))],
    ["does not answer", () => new Promise(() => undefined)],
  ];

  // Guards against a handover that leaves no time to finish requests and to close connections.
  test.each(unavailablePlatforms)(
    "the shutdown ends in time while the platform %s",
    async (_name, handOver) => {
      const daemon = await startStoppingDaemon(() => Promise.resolve(createBodyAnswer(emptyBody)));
      const caller = connectCaller(daemon.port);
      caller.send("/desk/k");
      await waitUntil(() => caller.received() !== "");
      const stop = () => Promise.resolve();
      daemon.stop({
        timeoutMs: LONG_SHUTDOWN_MS,
        leases: { all: () => [], handOver, stop } as unknown as LeaseManager,
      });
      await daemon.clock.advance(LONG_SHUTDOWN_MS - 1);
      expect(daemon.hasStopped()).toBe(true);
      await waitUntil(() => caller.isClosed());
    },
  );

  // Guards against one slow caller that keeps the listener and all connections open until the end.
  test("a slow caller does not keep the listener and idle connections open", async () => {
    const daemon = await startStoppingDaemon((request) => {
      const content = Buffer.alloc(request.target === "/slow" ? LONG_ANSWER_BYTES : 0);
      const headers = { "content-length": String(content.byteLength) };
      return Promise.resolve(createBodyAnswer({ kind: "buffer", content }, headers));
    });
    const [slow, kept] = [connectCaller(daemon.port), connectCaller(daemon.port)];
    slow.send("/desk/slow");
    kept.send("/desk/kept");
    await waitUntil(() => slow.received() !== "" && kept.received() !== "");
    slow.socket.pause();
    daemon.stop();
    await daemon.clock.advance(LAME_DUCK_END_MS);
    const late = connectCaller(daemon.port);
    late.send("/desk/late");
    await waitUntil(() => late.isClosed() || late.received() !== "");
    expect(daemon.routed).toEqual(["/slow", "/kept"]);
    await waitUntil(() => kept.isClosed());
    expect(daemon.hasStopped()).toBe(false);
    slow.socket.resume();
    await waitUntil(() => slow.isClosed());
    expect(slow.countBodyBytes()).toBe(LONG_ANSWER_BYTES);
    await daemon.advanceUntil(() => daemon.hasStopped());
  });

  // Guards against running pipelined requests whose answers a closing answer ahead of them cuts off.
  test("requests behind one another on a connection are all answered during the stop", async () => {
    const daemon = await startStoppingDaemon(async () => {
      await sleep(daemon.clock, 100);
      return createBodyAnswer(emptyBody);
    });
    daemon.stop();
    const caller = connectCaller(daemon.port);
    caller.send("/desk/first", "x-hemlockbank-timeout-ms: 1000");
    caller.send("/desk/second", "x-hemlockbank-timeout-ms: 1000");
    await waitUntil(() => daemon.routed.length === 2);
    await daemon.advanceUntil(() => daemon.hasStopped());
    await waitUntil(() => caller.isClosed());
    expect(caller.received().match(/200 OK/g)).toHaveLength(2);
  });
});
