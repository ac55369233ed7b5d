/** Retries, hedges and the outcome over all attempts. */
import { describe, expect, test } from "vitest";
import { createLoadView, createRetryBudget } from "../src/balancing";
import { configurationSchema } from "../src/configuration";
import { createCounters } from "../src/observability";
import { type RouteTable, createRouter } from "../src/routing";
import { type Failure, type WorkResult, emptyBody } from "../src/types";
import { createFakeClock } from "./support/fakeClock";

const DEADLINE_MS = 1000;

type Scripted = "answer" | "hang" | Failure;

const unknown: Failure = { outcome: "unknown", reason: "server-connection-lost", step: "send" };
const moving: Failure = { outcome: "not-run", reason: "ownership-moving", step: "dispatch" };
const shed: Failure = { outcome: "not-run", reason: "server-shed", step: "send" };
const full: Failure = { outcome: "not-run", reason: "queue-full", step: "dispatch" };

interface RouterCase {
  readonly name: string;
  readonly method: string;
  readonly hasKey: boolean;
  /** What each attempt meets; the last one repeats. */
  readonly script: readonly Scripted[];
  readonly attempts: number;
  readonly end: "answer" | "not-run" | "unknown";
}

const routerCases: readonly RouterCase[] = [
  {
    name: "booking that may have run is not sent again",
    method: "POST",
    hasKey: true,
    script: [unknown, "answer"],
    attempts: 1,
    end: "unknown",
  },
  {
    name: "booking that did not run is sent again",
    method: "POST",
    hasKey: true,
    script: [moving, moving, "answer"],
    attempts: 3,
    end: "answer",
  },
  {
    name: "lookup that may have run is sent again",
    method: "GET",
    hasKey: true,
    script: [unknown, "answer"],
    attempts: 2,
    end: "answer",
  },
  {
    name: "lookup without a key goes to another server when one sheds",
    method: "GET",
    hasKey: false,
    script: [shed, "answer"],
    attempts: 2,
    end: "answer",
  },
  { name: "a full service sheds", method: "GET", hasKey: false, script: [full], attempts: 2, end: "not-run" },
  {
    name: "a full owner sheds at once",
    method: "GET",
    hasKey: true,
    script: [full, "answer"],
    attempts: 1,
    end: "not-run",
  },
  {
    name: "a refusal after an unknown attempt stays unknown",
    method: "GET",
    hasKey: true,
    script: [unknown, full],
    attempts: 2,
    end: "unknown",
  },
];

describe("router", () => {
  test.each(routerCases)("$name", async ({ method, hasKey, script, attempts, end }) => {
    const { route, clock, count } = createSubject(script);
    const result = route(method, hasKey);
    await clock.advance(DEADLINE_MS + 100);
    const ended = await result;
    expect(ended.kind === "answer" ? "answer" : ended.failure.outcome).toBe(end);
    expect(count()).toBe(attempts);
  });

  test("waiting for an owner ends with the deadline", async () => {
    const { route, clock, count } = createSubject([moving]);
    const result = route("POST", true);
    await clock.advance(DEADLINE_MS + 100);
    expect(await result).toMatchObject({ kind: "failure", failure: moving });
    expect(count()).toBeGreaterThan(10);
  });

  test("a late lookup is hedged, the first answer wins and the loser is cancelled", async () => {
    const { route, clock, count, cancelled } = createSubject(["hang", "answer"], "50ms");
    const result = route("GET", false);
    await clock.advance(49);
    expect(count()).toBe(1);
    await clock.advance(2);
    expect((await result).kind).toBe("answer");
    expect(count()).toBe(2);
    expect(cancelled()).toBe(1);
  });

  test("a booking is never hedged", async () => {
    const { route, clock, count } = createSubject(["hang", "answer"], "50ms");
    void route("POST", false);
    await clock.advance(500);
    expect(count()).toBe(1);
  });

  test("retries stop when the budget is spent", async () => {
    const { route, clock, count } = createSubject([unknown]);
    const result = route("GET", true);
    await clock.advance(DEADLINE_MS + 100);
    expect(await result).toMatchObject({ kind: "failure", failure: unknown });
    expect(count()).toBeLessThanOrEqual(1 + 5);
  });
});

function createSubject(script: readonly Scripted[], hedgeAfter?: string) {
  const clock = createFakeClock();
  let attempts = 0;
  let cancelled = 0;
  const table: RouteTable = {
    routeByKey: () => routeTo("one"),
    routeWithoutKey: (_service, avoided) => routeTo(avoided.has("one") ? "two" : "one"),
  };
  const router = createRouter({
    table,
    forward: (_leaseholder, _work, _body, signal) => {
      const step = script[Math.min(attempts, script.length - 1)] ?? "hang";
      attempts += 1;
      signal.addEventListener("abort", () => {
        cancelled += step === "hang" ? 1 : 0;
      });
      return play(step);
    },
    loads: createLoadView(clock, () => 0),
    retryBudget: createRetryBudget(0.1, 10),
    clock,
    counters: createCounters("test"),
  });
  const route = (method: string, hasKey: boolean) =>
    router(
      {
        service: "desk",
        settings: createSettings(hasKey, hedgeAfter),
        key: hasKey ? "k" : undefined,
        method,
        target: "/k",
        headers: {},
        isIdempotent: method === "GET",
        idempotencyKey: null,
        deadlineAt: clock.now() + DEADLINE_MS,
      },
      emptyBody,
      new AbortController().signal,
    );
  return { route, clock, count: () => attempts, cancelled: () => cancelled };
}

function routeTo(server: string) {
  const leaseholder = { daemon: "d", incarnation: 1, address: { host: "10.0.0.1", port: 1 } };
  return { kind: "found", server, leaseholder } as const;
}

function play(step: Scripted): Promise<WorkResult> {
  if (step === "hang") {
    return new Promise(() => undefined);
  }
  if (step === "answer") {
    const load = { inFlight: 0, queued: 0, limit: 1, latencyMs: 1 };
    return Promise.resolve({ kind: "answer", answer: { status: 200, headers: {}, body: emptyBody, load } });
  }
  return Promise.resolve({ kind: "failure", failure: step });
}

function createSettings(hasKey: boolean, hedgeAfter: string | undefined) {
  const service = {
    divided_by_key: hasKey,
    ...(hedgeAfter === undefined ? {} : { hedge_after: hedgeAfter }),
  };
  const settings = configurationSchema.parse({ data_centres: {}, services: { desk: service }, servers: {} });
  const desk = settings.services.desk;
  if (desk === undefined) {
    throw new Error("no service");
  }
  return desk;
}
