/**
 * The pattern of servers that join, and of servers that take requests and answer none: no daemon has a report of their
 * load, so all of them would choose them at the same time.
 */
import { describe, expect, test } from "vitest";
import { createRouteCosts, createServerLoads } from "../src/gateway";
import { createFakeClock } from "./support/fakeClock";
import { createRoute } from "./support/gateway";

const SLOTS = 6;

function createLoads() {
  const clock = createFakeClock();
  const loads = createServerLoads(clock, () => "desk");
  return { clock, loads };
}

describe("loads of servers", () => {
  test("a server without answers is expected to be as slow as the others of its service", () => {
    const { loads } = createLoads();
    for (let count = 0; count < 20; count += 1) {
      loads.recordAnswer("known", 390, 1);
    }
    expect(loads.getProcessingMs("new")).toBeCloseTo(390);
    expect(loads.estimateLatencyMs("new", SLOTS)).toBeCloseTo(loads.estimateLatencyMs("known", SLOTS));
  });

  test("a server that answers nothing is expected to be slower the longer it is silent", async () => {
    const { clock, loads } = createLoads();
    loads.recordAnswer("known", 400, 1);
    const usualMs = loads.estimateLatencyMs("known", SLOTS);
    loads.startRequest("hung");
    await clock.advance(700);
    expect(loads.estimateLatencyMs("hung", SLOTS)).toBeCloseTo(usualMs);
    await clock.advance(800);
    expect(loads.estimateLatencyMs("hung", SLOTS)).toBeCloseTo(usualMs + 700);
    // One request that takes long is no reason to refuse others, but several are.
    expect(loads.estimateWaitMs("hung", SLOTS)).toBe(0);
    loads.startRequest("hung");
    loads.startRequest("hung");
    expect(loads.estimateWaitMs("hung", SLOTS)).toBe(700);
    // Old requests mean nothing where others are answered.
    loads.recordLoad("hung", { running: 3, waiting: 0, slots: SLOTS, slowness: 1 });
    expect(loads.estimateWaitMs("hung", SLOTS)).toBe(0);
  });

  test("a request that has ended no longer counts", async () => {
    const { clock, loads } = createLoads();
    const finish = loads.startRequest("s1");
    await clock.advance(5000);
    finish();
    expect(loads.estimateWaitMs("s1", SLOTS)).toBe(0);
  });

  test("a rarely met server counts with the shared estimate, and waits with its effective slots", () => {
    const estimate = { process: 1, processingMs: 100, slowness: 1, answers: 50, effectiveSlots: 2 };
    const loads = createServerLoads(createFakeClock(), () => "desk", {
      find: (server) => (server === "shared" ? estimate : undefined),
      recordLoad: () => undefined,
      recordAnswer: () => undefined,
    });
    loads.recordAnswer("own", 400, 1);
    expect(["shared", "own"].map((server) => loads.getProcessingMs(server))).toEqual([100, 400]);
    for (const server of ["shared", "own"]) {
      loads.recordLoad(server, { running: 3, waiting: 0, slots: 4, slowness: 1 });
    }
    // One more request than three waits for one of two effective slots, but not for one of four.
    expect(["shared", "own"].map((server) => loads.estimateWaitMs(server, 4))).toEqual([100, 0]);
  });

  test("the speed of a server does not depend on the kinds of requests that it gets", () => {
    const { loads } = createLoads();
    const costs = createRouteCosts();
    const [short, long] = [createRoute({ name: "short" }), createRoute({ name: "long" })];
    for (let count = 0; count < 200; count += 1) {
      costs.record(short, "desk", 160);
      costs.record(long, "desk", 960);
    }
    expect(costs.getWeight(long, "desk") / costs.getWeight(short, "desk")).toBeCloseTo(6, 0);
    expect(costs.getWeight(createRoute({ name: "new" }), "desk")).toBe(1);
    for (let count = 0; count < 50; count += 1) {
      loads.recordAnswer("s1", 160, costs.getWeight(short, "desk"));
      loads.recordAnswer("s2", 960, costs.getWeight(long, "desk"));
    }
    expect(loads.getProcessingMs("s1") / loads.getProcessingMs("s2")).toBeCloseTo(1, 1);
  });
});
