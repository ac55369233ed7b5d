/** Admission, cold starts, retry budgets and the load view: they protect backend servers from overload. */
import fc from "fast-check";
import { describe, expect, test } from "vitest";
import { type Ramp, createAdmission, createLoadView, createRamp, createRetryBudget } from "../src/balancing";
import { createRandom } from "../standins/scenarios/callers";
import { createFakeClock, flushPromises } from "./support/fakeClock";

const SEED = 20_261_204;
const SLOTS = 4;
const RAMP_MS = 1000;
const signal = new AbortController().signal;

describe("ramp", () => {
  interface RampCase {
    readonly name: string;
    readonly prepare: (ramp: Ramp) => void;
    /** Expected limit after each quarter of the ramp; one answer is recorded before each of them. */
    readonly limits: readonly number[];
  }

  const rampCases: readonly RampCase[] = [
    {
      name: "the limit of a server whose state is unknown increases by one with each answer",
      prepare: () => undefined,
      limits: [2, 3, 4, 4],
    },
    {
      name: "the limit of a restarted server increases in proportion to the time",
      prepare: (ramp) => {
        ramp.startCold();
      },
      limits: [1, 2, 3, 4],
    },
    {
      name: "the limit of a server that reports itself as cold increases in proportion to the time",
      prepare: (ramp) => {
        ramp.recordReport(true);
      },
      limits: [1, 2, 3, 4],
    },
    {
      name: "a new leaseholder continues the ramp of its predecessor",
      prepare: (ramp) => {
        ramp.resume({ isCold: true, coldForMs: 250, answers: 1 });
      },
      limits: [2, 3, 4, 4],
    },
  ];

  test.each(rampCases)("$name", async ({ prepare, limits }) => {
    const clock = createFakeClock();
    const ramp = createRamp(clock, SLOTS, RAMP_MS);
    prepare(ramp);
    expect(ramp.getLimit()).toBe(1);
    for (const limit of limits) {
      await clock.advance(RAMP_MS / 4);
      ramp.recordAnswer(5);
      expect(ramp.getLimit()).toBe(limit);
    }
  });

  test("consecutive answers far above the usual latency count as a cold start", () => {
    const ramp = createWarmRamp();
    for (let answers = 0; answers < 4; answers += 1) {
      ramp.recordAnswer(400);
    }
    expect(ramp.isCold()).toBe(true);
    expect(ramp.getLimit()).toBe(1);
  });

  test("a broken connection resets the limit to one request, but does not end a cold start", () => {
    const ramp = createWarmRamp();
    ramp.restartLearning();
    expect(ramp.getLimit()).toBe(1);
    ramp.startCold();
    ramp.restartLearning();
    expect(ramp.isCold()).toBe(true);
  });

  test("a single answer far above the usual latency does not count as a cold start", () => {
    const ramp = createWarmRamp();
    ramp.recordAnswer(400);
    ramp.recordAnswer(5);
    expect(ramp.getLimit()).toBe(SLOTS);
  });

  test("requests in flight at a cold server never exceed the limit of its ramp", async () => {
    await fc.assert(
      fc.asyncProperty(
        fc.array(fc.tuple(fc.integer({ min: 1, max: 60 }), fc.boolean()), { minLength: 10, maxLength: 60 }),
        async (steps) => {
          const clock = createFakeClock();
          const ramp = createRamp(clock, SLOTS, RAMP_MS);
          const admission = createAdmission({
            clock,
            limit: () => ramp.getLimit(),
            queueLength: 100,
            queueTimeoutMs: 500,
          });
          const releasePermits: ((latencyMs: number) => void)[] = [];
          ramp.startCold();
          const coldSince = clock.now();
          for (const [waitMs, isAnswered] of steps) {
            void admission.acquire(clock.now() + 5000, signal).then((result) => {
              if (result.kind === "admitted") {
                const { permit } = result;
                releasePermits.push((latencyMs) => {
                  permit.release(latencyMs);
                });
              }
            });
            await clock.advance(waitMs);
            const maxInFlight = Math.max(1, Math.floor((SLOTS * (clock.now() - coldSince)) / RAMP_MS));
            expect(releasePermits.length).toBeLessThanOrEqual(Math.min(SLOTS, maxInFlight));
            if (isAnswered) {
              ramp.recordAnswer(5);
              releasePermits.shift()?.(5);
            }
          }
        },
      ),
      { seed: SEED, numRuns: 30 },
    );
  });
});

describe("admission", () => {
  test("a predecessor's requests in flight count towards the limit", async () => {
    const clock = createFakeClock();
    const admission = createAdmission({ clock, limit: () => 2, queueLength: 5, queueTimeoutMs: 100 });
    admission.setPredecessorInFlight(2);
    let admitted = 0;
    void admission.acquire(clock.now() + 1000, signal).then(() => (admitted += 1));
    await flushPromises();
    expect(admitted).toBe(0);
    admission.setPredecessorInFlight(1);
    await flushPromises();
    expect(admitted).toBe(1);
  });

  test("a full queue refuses requests on arrival, and the queue timeout ends a longer wait", async () => {
    const clock = createFakeClock();
    const admission = createAdmission({ clock, limit: () => 1, queueLength: 1, queueTimeoutMs: 100 });
    await admission.acquire(clock.now() + 1000, signal);
    const waiting = admission.acquire(clock.now() + 1000, signal);
    expect(await admission.acquire(clock.now() + 1000, signal)).toEqual({
      kind: "refused",
      reason: "queue-full",
    });
    await clock.advance(101);
    expect(await waiting).toEqual({ kind: "refused", reason: "queue-timeout" });
  });

  test("closing refuses the queued requests with the given reason", async () => {
    const clock = createFakeClock();
    const admission = createAdmission({ clock, limit: () => 1, queueLength: 1, queueTimeoutMs: 100 });
    await admission.acquire(clock.now() + 1000, signal);
    const waiting = admission.acquire(clock.now() + 1000, signal);
    admission.close("not-leaseholder");
    expect(await waiting).toEqual({ kind: "refused", reason: "not-leaseholder" });
    expect(admission.getLoad().inFlight).toBe(1);
  });
});

describe("retry budget", () => {
  test("attempts stay within 1.1 times the requests, apart from the initial budget", () => {
    const budget = createRetryBudget(0.1, 20);
    let retries = 0;
    for (let request = 0; request < 10_000; request += 1) {
      budget.recordRequest();
      retries += budget.tryAcquire() ? 1 : 0;
    }
    expect(retries).toBeLessThanOrEqual(1000 + 10);
    expect(retries).toBeGreaterThan(900);
  });
});

describe("load view", () => {
  test("a slow server gets far fewer requests than an equal share", () => {
    const clock = createFakeClock();
    const view = createLoadView(clock, createRandom(3));
    const candidates = ["a", "b", "c", "d"].map((name) => ({ name, dataCentre: "north", slots: 4 }));
    for (const { name } of candidates) {
      view.record(name, { inFlight: 0, queued: 0, limit: 4, latencyMs: name === "a" ? 200 : 5 });
    }
    const chosen = Array.from({ length: 1000 }, () => view.choose(candidates, "north")?.name);
    expect(chosen.filter((name) => name === "a").length).toBeLessThan(50);
  });
});

describe("load view over time", () => {
  test("a server with an old high latency is chosen again after a while", async () => {
    const clock = createFakeClock();
    const view = createLoadView(clock, createRandom(3));
    const candidates = ["a", "b", "c"].map((name) => ({ name, dataCentre: "north", slots: 4 }));
    const countChoicesOfSlowServer = () =>
      Array.from({ length: 50 }, () => view.choose(candidates, "north")?.name === "a").filter(Boolean).length;
    view.record("a", { inFlight: 0, queued: 0, limit: 4, latencyMs: 200 });
    view.record("b", { inFlight: 0, queued: 0, limit: 4, latencyMs: 12 });
    view.record("c", { inFlight: 0, queued: 0, limit: 4, latencyMs: 12 });
    expect(countChoicesOfSlowServer()).toBe(0);
    // The estimate from an old report decays to the default of 10 ms, below the 12 ms of the fresh reports.
    await clock.advance(30_000);
    view.record("b", { inFlight: 0, queued: 0, limit: 4, latencyMs: 12 });
    view.record("c", { inFlight: 0, queued: 0, limit: 4, latencyMs: 12 });
    expect(countChoicesOfSlowServer()).toBeGreaterThan(0);
  });
});

function createWarmRamp(): Ramp {
  const ramp = createRamp(createFakeClock(), SLOTS, RAMP_MS);
  for (let answers = 0; answers < 20; answers += 1) {
    ramp.recordAnswer(5);
  }
  expect(ramp.getLimit()).toBe(SLOTS);
  return ramp;
}
