/** Decisions of one daemon: announcements that cannot be used, rounds, owners of keys, and where requests are refused. */
import { describe, expect, test } from "vitest";
import {
  type PriorityAnnouncement,
  RejectionReason,
  RouteKind,
  Urgency,
  computePriorityShares,
  createPriorityDemands,
  isMixedService,
} from "../src/gateway";
import { createFakeClock } from "./support/fakeClock";
import {
  createRequest,
  createRoute,
  createTestDirectory,
  createTestDispatcher,
  createTestPriorities,
  policy,
} from "./support/gateway";

const announce = (
  shares: readonly (readonly [number, unknown])[],
  change: Partial<PriorityAnnouncement> = {},
): PriorityAnnouncement => ({
  coordinator: "d1",
  sequence: 1,
  round: 7,
  roundLeftMs: 1200,
  services: [{ service: policy.name, floor: 0.2, shares }],
  ...change,
});

function start(isInContact = true) {
  const clock = createFakeClock();
  const demands = createPriorityDemands(clock);
  const admission = createTestPriorities(clock, demands, () => isInContact);
  const find = (priority: number, path: string) =>
    admission.findObstacle(createRequest(RouteKind.Safe, { priority, path }));
  const measure = (priority: number) => {
    const paths = Array.from({ length: 1000 }, (_, index) => `/${index}`);
    return paths.filter((path) => find(priority, path) === undefined).length / paths.length;
  };
  return { clock, demands, admission, find, measure };
}

describe("admitted shares", () => {
  const cases = [
    { name: "all fit", capacity: 400, expected: [1, 1, 1] },
    { name: "the least urgent does not fit", capacity: 250, expected: [1, 1, 0.5] },
    { name: "only the bound is left for the less urgent", capacity: 150, expected: [1, 0.35, 0.15] },
    { name: "the most urgent does not fit", capacity: 60, expected: [0.48, 0.06, 0.06] },
    { name: "there is no capacity", capacity: 0, expected: [0, 0, 0] },
  ];
  test.each(cases)("when $name", ({ capacity, expected }) => {
    const demands = [2, 0, 1].map((priority) => ({ priority, offered: 100 }));
    const shares = computePriorityShares(demands, capacity);
    [0, 1, 2].forEach((priority) => {
      expect(shares.get(priority)).toBeCloseTo(expected[priority] ?? -1);
    });
  });
});

describe("announced shares", () => {
  const cases = [
    {
      name: "a share",
      shares: [
        [0, 1],
        [1, 0.5],
      ],
      urgent: 1,
      other: 0.5,
    },
    {
      name: "a share of 0",
      shares: [
        [0, 0],
        [1, 0],
      ],
      urgent: 1,
      other: 0.2,
    },
    {
      name: "not a number",
      shares: [
        [0, Number.NaN],
        [1, "x"],
      ],
      urgent: 1,
      other: 0.2,
    },
    {
      name: "a negative share and one above 1",
      shares: [
        [0, 7],
        [1, -1],
      ],
      urgent: 1,
      other: 0.2,
    },
    { name: "a priority that is not named", shares: [[0, 0.9]], urgent: 0.9, other: 0.2 },
  ] as const;
  test.each(cases)("$name is applied, or replaced by a safe one", ({ shares, urgent, other }) => {
    const { admission, measure } = start();
    admission.apply(announce(shares));
    expect(Math.abs(measure(0) - urgent)).toBeLessThan(0.05);
    expect(Math.abs(measure(1) - other)).toBeLessThan(0.05);
  });

  test("a bound that is not a number is replaced", () => {
    const { admission, measure } = start();
    const services = [{ service: policy.name, floor: "x", shares: [[0, 1]] as const }];
    admission.apply(announce([], { services }));
    expect(Math.abs(measure(3) - 0.3)).toBeLessThan(0.05);
  });

  test("an old announcement does not replace a later one of the same coordinator", () => {
    const { admission, measure } = start();
    admission.apply(announce([[0, 1]], { sequence: 5, services: [] }));
    admission.apply(
      announce(
        [
          [0, 1],
          [1, 0.1],
        ],
        { sequence: 4 },
      ),
    );
    expect(measure(1)).toBe(1);
  });

  test("hold for 1.5 s without a renewal", async () => {
    const { clock, admission, measure } = start();
    admission.apply(
      announce([
        [0, 1],
        [1, 0.5],
      ]),
    );
    await clock.advance(1400);
    expect(measure(1)).toBeLessThan(0.6);
    await clock.advance(200);
    expect(measure(1)).toBe(1);
  });

  test("refuse a request for the whole round, which is its retry time, at every daemon alike", async () => {
    const one = start();
    const other = start();
    [one, other].forEach(({ admission }) => {
      admission.apply(
        announce([
          [0, 1],
          [1, 0.5],
        ]),
      );
    });
    const paths = Array.from({ length: 200 }, (_, index) => `/${index}`);
    const refused = paths.filter((path) => one.find(1, path) !== undefined);
    expect(paths.filter((path) => other.find(1, path) !== undefined)).toEqual(refused);
    await one.clock.advance(1100);
    expect(refused.every((path) => one.find(1, path)?.waitMs === 100)).toBe(true);
    await one.clock.advance(200);
    const again = refused.filter((path) => one.find(1, path) === undefined);
    expect(again.length).toBeGreaterThan(refused.length * 0.3);
  });
});

describe("without the coordinator", () => {
  test("a daemon that finds no capacity refuses the less urgent first, and stops when it has found some", async () => {
    const { clock, admission, demands, measure } = start(false);
    const fill = async (refused: number) => {
      for (let second = 0; second < 2; second += 1) {
        [0, 1].forEach((priority) => {
          demands.record("offered", policy.name, priority, 50);
          demands.record("refused", policy.name, priority, refused);
        });
        await clock.advance(1000);
      }
    };
    await fill(25);
    expect(measure(1)).toBeLessThan(0.4);
    expect(admission.listShares()).toEqual({});
    await clock.advance(2500);
    await fill(0);
    expect(measure(1)).toBe(1);
  });
});

describe("an overloaded owner of keys", () => {
  test("serves urgent requests first; with one priority its share is as before", () => {
    const { admission, demands } = start();
    const request = (priority: number) => createRequest(RouteKind.Safe, { priority, key: 7 });
    demands.record("offered", policy.name, 1, 30);
    expect(admission.splitOwnerShare(request(1), 0.4)).toBe(0.4);
    demands.record("offered", policy.name, 0, 10);
    expect(admission.splitOwnerShare(request(0), 0.4)).toBeCloseTo(1);
    expect(admission.splitOwnerShare(request(1), 0.4)).toBeCloseTo(0.2);
    expect(admission.splitOwnerShare(request(1), 1)).toBe(1);
    expect([0, 1].map((priority) => admission.getUrgency(request(priority)))).toEqual([
      Urgency.Urgent,
      Urgency.Other,
    ]);
  });
});

describe("the dispatcher", () => {
  test("refuses by the request's own priority, not the route's, before it chooses a server", async () => {
    const { clock, admission } = start();
    admission.apply(
      announce([
        [0, 1],
        [1, 0.001],
      ]),
    );
    const dispatch = createTestDispatcher([], clock, createTestDirectory([], clock), admission);
    const send = async (priority: number) => {
      const times = { arrivedAt: clock.now(), deadlineAt: clock.now() + 6000 };
      const result = await dispatch(createRequest(RouteKind.Safe, { priority, ...times }));
      return result.kind === "notRun" ? result : undefined;
    };
    expect((await send(0))?.reason).toBe(RejectionReason.NoServer);
    const refusal = await send(1);
    expect(refusal?.reason).toBe(RejectionReason.Priority);
    expect(refusal?.retryAfterMs).toBeGreaterThanOrEqual(1200);
  });
});

test("routes of different priorities make their service mixed", () => {
  const routes = [0, 1].map((priority) => createRoute({ name: `r${priority}`, priority }));
  expect(isMixedService(routes, "desk")).toBe(true);
  expect(isMixedService(routes.slice(1), "desk")).toBe(false);
  expect(isMixedService(routes, "other")).toBe(false);
  expect(isMixedService(undefined, "desk")).toBe(false);
});
