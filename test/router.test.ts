/**
 * Retries, hedged requests and the outcome over all attempts. Guards against sending a non-idempotent
 * request again after an attempt that may have run, and against reporting not-run after such an attempt.
 */
import { describe, expect, test } from "vitest";
import { createLoadView, createRetryBudget } from "../src/balancing";
import { configurationSchema } from "../src/configuration";
import { createCounters } from "../src/observability";
import { type RouteTable, createRouter } from "../src/routing";
import { type Failure, type WorkResult, emptyBody } from "../src/types";
import { createFakeClock } from "./support/fakeClock";

const DEADLINE_MS = 1000;

type ScriptedResult = "answer" | "hang" | Failure;

const connectionLost: Failure = { outcome: "unknown", reason: "server-connection-lost", step: "send" };
const ownershipMoving: Failure = { outcome: "not-run", reason: "ownership-moving", step: "dispatch" };
const serverShed: Failure = { outcome: "not-run", reason: "server-shed", step: "send" };
const queueFull: Failure = { outcome: "not-run", reason: "queue-full", step: "dispatch" };

interface RouterCase {
  readonly name: string;
  readonly method: string;
  readonly hasKey: boolean;
  /** Result of each attempt; the last one repeats. */
  readonly script: readonly ScriptedResult[];
  readonly attempts: number;
  readonly expected: "answer" | "not-run" | "unknown";
}

const routerCases: readonly RouterCase[] = [
  {
    name: "non-idempotent request that may have run is not sent again",
    method: "POST",
    hasKey: true,
    script: [connectionLost, "answer"],
    attempts: 1,
    expected: "unknown",
  },
  {
    name: "non-idempotent request that did not run is sent again",
    method: "POST",
    hasKey: true,
    script: [ownershipMoving, ownershipMoving, "answer"],
    attempts: 3,
    expected: "answer",
  },
  {
    name: "idempotent request that may have run is sent again",
    method: "GET",
    hasKey: true,
    script: [connectionLost, "answer"],
    attempts: 2,
    expected: "answer",
  },
  {
    name: "request without a key is sent to another server when one sheds it",
    method: "GET",
    hasKey: false,
    script: [serverShed, "answer"],
    attempts: 2,
    expected: "answer",
  },
  {
    name: "request without a key is refused when two servers are full",
    method: "GET",
    hasKey: false,
    script: [queueFull],
    attempts: 2,
    expected: "not-run",
  },
  {
    name: "request with a key is refused at once when its owner is full",
    method: "GET",
    hasKey: true,
    script: [queueFull, "answer"],
    attempts: 1,
    expected: "not-run",
  },
  {
    name: "outcome stays unknown when a refusal follows an attempt that may have run",
    method: "GET",
    hasKey: true,
    script: [connectionLost, queueFull],
    attempts: 2,
    expected: "unknown",
  },
];

describe("router", () => {
  test.each(routerCases)("$name", async ({ method, hasKey, script, attempts, expected }) => {
    const { route, clock, countAttempts } = createScriptedRouter(script);
    const result = route(method, hasKey);
    await clock.advance(DEADLINE_MS + 100);
    const finalResult = await result;
    expect(finalResult.kind === "answer" ? "answer" : finalResult.failure.outcome).toBe(expected);
    expect(countAttempts()).toBe(attempts);
  });

  test("retries while ownership moves end at the deadline", async () => {
    const { route, clock, countAttempts } = createScriptedRouter([ownershipMoving]);
    const result = route("POST", true);
    await clock.advance(DEADLINE_MS + 100);
    expect(await result).toMatchObject({ kind: "failure", failure: ownershipMoving });
    expect(countAttempts()).toBeGreaterThan(10);
  });

  test("an idempotent request with a late answer is hedged: the first answer wins, the other is cancelled", async () => {
    const { route, clock, countAttempts, countCancelled } = createScriptedRouter(["hang", "answer"], "50ms");
    const result = route("GET", false);
    await clock.advance(49);
    expect(countAttempts()).toBe(1);
    await clock.advance(2);
    expect((await result).kind).toBe("answer");
    expect(countAttempts()).toBe(2);
    expect(countCancelled()).toBe(1);
  });

  test("a non-idempotent request is never hedged", async () => {
    const { route, clock, countAttempts } = createScriptedRouter(["hang", "answer"], "50ms");
    void route("POST", false);
    await clock.advance(500);
    expect(countAttempts()).toBe(1);
  });

  test("retries stop when the retry budget is exhausted", async () => {
    const { route, clock, countAttempts } = createScriptedRouter([connectionLost]);
    const result = route("GET", true);
    await clock.advance(DEADLINE_MS + 100);
    expect(await result).toMatchObject({ kind: "failure", failure: connectionLost });
    expect(countAttempts()).toBeLessThanOrEqual(1 + 5);
  });
});

function createScriptedRouter(script: readonly ScriptedResult[], hedgeAfter?: string) {
  const clock = createFakeClock();
  let attempts = 0;
  let cancelled = 0;
  const table: RouteTable = {
    routeByKey: () => createFoundRoute("one"),
    routeWithoutKey: (_service, avoided) => createFoundRoute(avoided.has("one") ? "two" : "one"),
  };
  const router = createRouter({
    table,
    forward: (_leaseholder, _work, _body, signal) => {
      const scripted = script[Math.min(attempts, script.length - 1)] ?? "hang";
      attempts += 1;
      signal.addEventListener("abort", () => {
        cancelled += scripted === "hang" ? 1 : 0;
      });
      return createResult(scripted);
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
  return { route, clock, countAttempts: () => attempts, countCancelled: () => cancelled };
}

function createFoundRoute(server: string) {
  const leaseholder = { daemon: "d", incarnation: 1, address: { host: "10.0.0.1", port: 1 } };
  return { kind: "found", server, leaseholder } as const;
}

function createResult(scripted: ScriptedResult): Promise<WorkResult> {
  if (scripted === "hang") {
    return new Promise(() => undefined);
  }
  if (scripted === "answer") {
    const load = { inFlight: 0, queued: 0, limit: 1, latencyMs: 1 };
    return Promise.resolve({ kind: "answer", answer: { status: 200, headers: {}, body: emptyBody, load } });
  }
  return Promise.resolve({ kind: "failure", failure: scripted });
}

function createSettings(hasKey: boolean, hedgeAfter: string | undefined) {
  const service = {
    divided_by_key: hasKey,
    ...(hedgeAfter === undefined ? {} : { hedge_after: hedgeAfter }),
  };
  const settings = configurationSchema.parse({ data_centres: {}, services: { desk: service }, servers: {} });
  const desk = settings.services.desk;
  if (desk === undefined) {
    throw new Error('service "desk" is missing from the configuration');
  }
  return desk;
}
