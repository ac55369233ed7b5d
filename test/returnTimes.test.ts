/** Retry times: within the objective where that can still be met, and for which refusals they apply. */
import { describe, expect, test } from "vitest";
import {
  type Obstacle,
  RejectionReason,
  RouteKind,
  Urgency,
  chooseReturnMs,
  createRetryTimes,
  joinObstacles,
} from "../src/gateway";
import { createFakeClock } from "./support/fakeClock";
import { createRequest, createRoute } from "./support/gateway";

/** A stock look-up; 0.85 of its objective less 1.3 times its work are 308.8 ms. */
const lookUp = {
  elapsedMs: 0,
  remainingMs: 2532,
  objectiveMs: 608,
  obstacleMs: 0,
  queueMs: 0,
  processingMs: 160,
  urgency: Urgency.Equal as Urgency,
};

describe("retry times", () => {
  const cases = [
    { name: "a queue that is a little too long", change: { queueMs: 400 }, from: 91.2, to: 308.8 },
    {
      name: "a retry within the objective after part of it",
      change: { queueMs: 400, elapsedMs: 100 },
      from: 91.2,
      to: 208.8,
    },
    { name: "an obstacle that is not known", change: {}, from: 154.4, to: 308.8 },
    { name: "the end of a round within the objective", change: { obstacleMs: 250 }, from: 250, to: 308.8 },
    { name: "a queue that is too long", change: { queueMs: 700 }, from: 391.2, to: 835.6 },
    {
      name: "an urgent request that will be late",
      change: { queueMs: 700, urgency: Urgency.Urgent },
      from: 391.2,
      to: 613.4,
    },
    {
      name: "another request that will be late",
      change: { queueMs: 700, urgency: Urgency.Other },
      from: 613.4,
      to: 835.6,
    },
    {
      name: "a round that outlasts the callers' patience",
      change: { obstacleMs: 1900 },
      from: 752,
      to: 835.6,
    },
    {
      name: "a retry whose objective has passed",
      change: { elapsedMs: 900, remainingMs: 1632 },
      from: 130.6,
      to: 538.6,
    },
    {
      name: "work that takes longer than the objective",
      change: { processingMs: 900 },
      from: 202.6,
      to: 835.6,
    },
    { name: "no time left", change: { remainingMs: 0 }, from: 0, to: 0 },
  ];
  test.each(cases)("after $name: $from to $to ms", ({ change, from, to }) => {
    const choose = (value: number) => chooseReturnMs({ ...lookUp, ...change, random: () => value });
    expect(choose(0)).toBeCloseTo(from, 0);
    expect(choose(1)).toBeCloseTo(to, 0);
  });
});

describe("which retry times apply", () => {
  const inputs = { server: "s1", assignmentVersion: 0, expectedWaitMs: 400, loadAgeMs: 1 };
  const cases: readonly {
    readonly name: string;
    readonly obstacle: Obstacle;
    readonly objectiveMs?: null;
    readonly from: number;
    readonly to: number;
  }[] = [
    {
      name: "no owner yet",
      obstacle: { reason: RejectionReason.NoOwner, waitMs: 0 },
      from: 202.6,
      to: 607.7,
    },
    {
      name: "unreachable",
      obstacle: { reason: RejectionReason.Unreachable, waitMs: 0 },
      from: 202.6,
      to: 607.7,
    },
    {
      name: "backing off",
      obstacle: { reason: RejectionReason.BackingOff, waitMs: 700 },
      from: 700,
      to: 700,
    },
    {
      name: "overloaded",
      obstacle: { reason: RejectionReason.Overloaded, waitMs: 400 },
      from: 91.2,
      to: 308.8,
    },
    {
      name: "overloaded, with a shorter queue elsewhere",
      obstacle: { reason: RejectionReason.Overloaded, waitMs: 900, shortestQueueMs: 400 },
      from: 91.2,
      to: 308.8,
    },
    { name: "shed", obstacle: { reason: RejectionReason.Shed, waitMs: 0 }, from: 91.2, to: 308.8 },
    { name: "priority", obstacle: { reason: RejectionReason.Priority, waitMs: 250 }, from: 250, to: 308.8 },
    {
      name: "overloaded, on a route without an objective",
      obstacle: { reason: RejectionReason.Overloaded, waitMs: 400 },
      objectiveMs: null,
      from: 400,
      to: 607.7,
    },
  ];
  test.each(cases)("$name: $from to $to ms", ({ obstacle, objectiveMs = 608, from, to }) => {
    const clock = createFakeClock();
    const route = createRoute({ objectiveMs });
    const times = { arrivedAt: clock.now(), deadlineAt: clock.now() + 2532 };
    const choose = (value: number) =>
      createRetryTimes({
        directory: { getUsable: () => [] },
        loads: { getProcessingMs: () => 160 },
        costs: { getWeight: () => 1 },
        priorities: { getUrgency: () => Urgency.Equal },
        clock,
        random: () => value,
      }).choose(createRequest(RouteKind.Safe, { route, ...times }), obstacle, inputs);
    expect(choose(0)).toBeCloseTo(from, 0);
    expect(choose(1)).toBeCloseTo(to, 0);
  });

  test("the shortest queue of all overloaded candidates counts, and the last obstacle's reason as before", () => {
    const { Overloaded, Leaving, NoServer } = RejectionReason;
    const joined = [
      { reason: Overloaded, waitMs: 300 },
      undefined,
      { reason: Overloaded, waitMs: 200 },
      { reason: Overloaded, waitMs: 500 },
      { reason: Leaving, waitMs: 0 },
    ].reduce<Obstacle>(joinObstacles, { reason: NoServer, waitMs: 0 });
    expect(joined).toEqual({ reason: Leaving, waitMs: 0, shortestQueueMs: 200 });
  });
});
