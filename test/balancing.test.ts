/** Admission, cold starts and retry budgets: a backend server never gets more than it can bear. */
import fc from "fast-check";
import { describe, expect, test } from "vitest";
import { type Ramp, createAdmission, createLoadView, createRamp, createRetryBudget } from "../src/balancing";
import { createRandom } from "../standins/scenarios/callers";
import { createFakeClock, flush } from "./support/fakeClock";

const SEED = 20_261_204;
const SLOTS = 4;
const RAMP_MS = 1000;
const signal = new AbortController().signal;

describe("ramp", () => {
  interface RampCase {
    readonly name: string;
    readonly prepare: (ramp: Ramp) => void;
    /** Limits after each quarter of the ramp, with an answer for each. */
    readonly limits: readonly number[];
  }

  const rampCases: readonly RampCase[] = [
    { name: "unknown server opens with its answers", prepare: () => undefined, limits: [2, 3, 4, 4] },
    {
      name: "restarted server opens with time",
      prepare: (ramp) => {
        ramp.startCold();
      },
      limits: [1, 2, 3, 4],
    },
    {
      name: "server that says it is cold",
      prepare: (ramp) => {
        ramp.recordReport(true);
      },
      limits: [1, 2, 3, 4],
    },
    {
      name: "successor continues the ramp of its predecessor",
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
    expect(ramp.limit()).toBe(1);
    for (const limit of limits) {
      await clock.advance(RAMP_MS / 4);
      ramp.recordAnswer(5);
      expect(ramp.limit()).toBe(limit);
    }
  });

  test("several answers far above the usual latency count as a cold start", () => {
    const ramp = createWarmRamp();
    for (let answers = 0; answers < 4; answers += 1) {
      ramp.recordAnswer(400);
    }
    expect(ramp.isCold()).toBe(true);
    expect(ramp.limit()).toBe(1);
  });

  test("a broken connection starts with one request again, but shortens no cold start", () => {
    const ramp = createWarmRamp();
    ramp.restartLearning();
    expect(ramp.limit()).toBe(1);
    ramp.startCold();
    ramp.restartLearning();
    expect(ramp.isCold()).toBe(true);
  });

  test("one slow answer does not", () => {
    const ramp = createWarmRamp();
    ramp.recordAnswer(400);
    ramp.recordAnswer(5);
    expect(ramp.limit()).toBe(SLOTS);
  });

  test("a cold server never has more in flight than its share of the ramp", async () => {
    await fc.assert(
      fc.asyncProperty(
        fc.array(fc.tuple(fc.integer({ min: 1, max: 60 }), fc.boolean()), { minLength: 10, maxLength: 60 }),
        async (steps) => {
          const clock = createFakeClock();
          const ramp = createRamp(clock, SLOTS, RAMP_MS);
          const admission = createAdmission({
            clock,
            limit: () => ramp.limit(),
            queueLength: 100,
            queueTimeoutMs: 500,
          });
          const places: ((latencyMs: number) => void)[] = [];
          ramp.startCold();
          const coldSince = clock.now();
          for (const [waitMs, ends] of steps) {
            void admission.acquire(clock.now() + 5000, signal).then((result) => {
              if (result.kind === "admitted") {
                const { permit } = result;
                places.push((latencyMs) => {
                  permit.release(latencyMs);
                });
              }
            });
            await clock.advance(waitMs);
            const allowed = Math.max(1, Math.floor((SLOTS * (clock.now() - coldSince)) / RAMP_MS));
            expect(places.length).toBeLessThanOrEqual(Math.min(SLOTS, allowed));
            if (ends) {
              ramp.recordAnswer(5);
              places.shift()?.(5);
            }
          }
        },
      ),
      { seed: SEED, numRuns: 30 },
    );
  });
});

describe("admission", () => {
  test("requests of an earlier leaseholder count", async () => {
    const clock = createFakeClock();
    const admission = createAdmission({ clock, limit: () => 2, queueLength: 5, queueTimeoutMs: 100 });
    admission.setPredecessorInFlight(2);
    let admitted = 0;
    void admission.acquire(clock.now() + 1000, signal).then(() => (admitted += 1));
    await flush();
    expect(admitted).toBe(0);
    admission.setPredecessorInFlight(1);
    await flush();
    expect(admitted).toBe(1);
  });

  test("a full queue sheds at arrival, a long wait ends with its reason", async () => {
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

  test("closing refuses the waiting ones with the reason", async () => {
    const clock = createFakeClock();
    const admission = createAdmission({ clock, limit: () => 1, queueLength: 1, queueTimeoutMs: 100 });
    await admission.acquire(clock.now() + 1000, signal);
    const waiting = admission.acquire(clock.now() + 1000, signal);
    admission.close("not-leaseholder");
    expect(await waiting).toEqual({ kind: "refused", reason: "not-leaseholder" });
    expect(admission.load().inFlight).toBe(1);
  });
});

describe("retry budget", () => {
  test("attempts stay within 1.1 of the requests, apart from what was saved up", () => {
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
  test("a slow server gets far fewer requests than its share", () => {
    const clock = createFakeClock();
    const view = createLoadView(clock, createRandom(3));
    const choices = ["a", "b", "c", "d"].map((name) => ({ name, dataCentre: "north", slots: 4 }));
    for (const { name } of choices) {
      view.record(name, { inFlight: 0, queued: 0, limit: 4, latencyMs: name === "a" ? 200 : 5 });
    }
    const chosen = Array.from({ length: 1000 }, () => view.choose(choices, "north")?.name);
    expect(chosen.filter((name) => name === "a").length).toBeLessThan(50);
  });
});

describe("load view over time", () => {
  test("a server that was slow is tried again after a while", async () => {
    const clock = createFakeClock();
    const view = createLoadView(clock, createRandom(3));
    const choices = ["a", "b", "c"].map((name) => ({ name, dataCentre: "north", slots: 4 }));
    const countSlow = () =>
      Array.from({ length: 50 }, () => view.choose(choices, "north")?.name === "a").filter(Boolean).length;
    view.record("a", { inFlight: 0, queued: 0, limit: 4, latencyMs: 200 });
    view.record("b", { inFlight: 0, queued: 0, limit: 4, latencyMs: 12 });
    view.record("c", { inFlight: 0, queued: 0, limit: 4, latencyMs: 12 });
    expect(countSlow()).toBe(0);
    await clock.advance(30_000);
    view.record("b", { inFlight: 0, queued: 0, limit: 4, latencyMs: 12 });
    view.record("c", { inFlight: 0, queued: 0, limit: 4, latencyMs: 12 });
    expect(countSlow()).toBeGreaterThan(0);
  });
});

function createWarmRamp(): Ramp {
  const ramp = createRamp(createFakeClock(), SLOTS, RAMP_MS);
  for (let answers = 0; answers < 20; answers += 1) {
    ramp.recordAnswer(5);
  }
  expect(ramp.limit()).toBe(SLOTS);
  return ramp;
}
