/** The checks of the soak test: each kind of broken promise is found, and no other is reported with it. */
import { describe, expect, test } from "vitest";
import type { RunRecord } from "../standins/edge/backendServer";
import { type AttemptRecord, type SoakFacts, findBrokenPromises } from "../standins/soak/promises";

const attempt: AttemptRecord = {
  requestId: "r1",
  daemon: "d0",
  kind: "order",
  sentAt: 1000,
  endedAt: 1100,
  leftAt: undefined,
  status: 200,
  isWhole: true,
  isUndisturbed: true,
  isDaemonUndisturbed: true,
  daemonDisturbedAt: 0,
  wasStopping: false,
  isOrderly: true,
  isInTouch: true,
};
const run: RunRecord = {
  requestId: "r1",
  server: "ledger-0",
  bornAt: 1,
  saysLeaving: false,
  service: "ledger",
  isUnsafe: true,
  arrivedAt: 1040,
  at: 1050,
  drainingSince: undefined,
  rateLimit: undefined,
  organisation: "regular",
  hasApiKey: false,
};
const boundedRuns = Array.from({ length: 54 }, (_, index) => ({
  ...run,
  requestId: `b${index}`,
  isUnsafe: false,
  organisation: "bounded",
  arrivedAt: 1000 + index * 90,
}));
const limitedRuns = Array.from({ length: 10 }, (_, index) => ({
  ...run,
  requestId: `r${index}`,
  arrivedAt: 5000 + index * 100,
  rateLimit: { requestsPerSecond: 0.5, since: 1000 },
}));
const facts: SoakFacts = {
  attempts: [attempt],
  runs: [run],
  backOffs: [],
  series: [],
  bounded: [],
  ownershipConflicts: [],
  wereLinksUndisturbed: () => true,
  recoveredAt: 0,
  checksTimeBounds: true,
};

interface PromiseCase {
  readonly name: string;
  /**
   * Differences from facts that break no promise. A later `recoveredAt` leaves the attempt out of the
   * requests that must be served again.
   */
  readonly change: Partial<SoakFacts>;
  readonly expected: readonly RegExp[];
}

const cases: readonly PromiseCase[] = [
  { name: "no broken promise", change: {}, expected: [] },
  { name: "an order that ran twice", change: { runs: [run, run] }, expected: [/ran twice/] },
  {
    name: "a key with two owners",
    change: { ownershipConflicts: ["key 7"] },
    expected: [/two owners: 1 \(key 7\)/],
  },
  {
    name: "an order that ran although it was reported as not run",
    change: { attempts: [{ ...attempt, status: 503 }], recoveredAt: 2000 },
    expected: [/called not run, but ran/],
  },
  {
    name: "a truncated answer",
    change: { attempts: [{ ...attempt, isWhole: false }] },
    expected: [/not the server's whole answer/],
  },
  {
    name: "an answer to a request that no server ran",
    change: { runs: [] },
    expected: [/though nothing ran/],
  },
  {
    name: "a run of a request that no caller sent",
    change: { runs: [run, { ...run, requestId: "r2", isUnsafe: false }] },
    expected: [/what nobody asked/],
  },
  {
    name: "more requests than a server's rate limit allows",
    change: {
      attempts: limitedRuns.map(({ requestId }) => ({ ...attempt, requestId })),
      runs: limitedRuns,
    },
    expected: [/more than its rate limit: 2 /],
  },
  {
    name: "no more requests than a server's rate limit allows",
    change: {
      attempts: limitedRuns.slice(2).map(({ requestId }) => ({ ...attempt, requestId })),
      runs: limitedRuns.slice(2),
    },
    expected: [],
  },
  {
    name: "new work for a draining server",
    change: { runs: [{ ...run, at: 5000, drainingSince: 2000 }] },
    expected: [/leaving server got new work/],
  },
  {
    name: "new work for a draining server from a daemon under faults is allowed",
    change: {
      attempts: [{ ...attempt, isInTouch: false }],
      runs: [{ ...run, at: 5000, drainingSince: 2000 }],
    },
    expected: [],
  },
  {
    name: "a broken connection without faults",
    change: { attempts: [{ ...attempt, status: undefined, isWhole: false }], recoveredAt: 2000 },
    expected: [/broken off/],
  },
  {
    name: "a broken connection to a daemon that stops, of a request that it had passed on",
    change: {
      attempts: [{ ...attempt, status: undefined, isWhole: false, wasStopping: true, isOrderly: false }],
      recoveredAt: 2000,
    },
    expected: [/broken off/],
  },
  {
    name: "a request cut by a planned stop, the only thing that happened to its daemon",
    change: {
      attempts: [{ ...attempt, status: undefined, isWhole: false, wasStopping: true, isUndisturbed: false }],
      recoveredAt: 2000,
    },
    expected: [/planned stop cut/],
  },
  {
    name: "a connection that a stopping daemon refuses is allowed",
    change: {
      attempts: [{ ...attempt, status: undefined, isWhole: false, wasStopping: true }],
      runs: [],
      recoveredAt: 2000,
    },
    expected: [],
  },
  {
    name: "requests that fail after the faults are over",
    change: { attempts: [{ ...attempt, status: 504, isWhole: false }] },
    expected: [/served after the faults/],
  },
  {
    name: "an added route that an undisturbed daemon does not know",
    change: {
      attempts: [{ ...attempt, kind: "added", status: 404, isUndisturbed: false }],
      recoveredAt: 2000,
    },
    expected: [/added route was not served/],
  },
  {
    name: "an added route that a daemon without its store does not know is allowed",
    change: {
      attempts: [{ ...attempt, kind: "added", status: 404, isUndisturbed: false, isInTouch: false }],
      recoveredAt: 2000,
    },
    expected: [],
  },
  {
    name: "a request that reaches a server a second after its caller has left",
    change: {
      attempts: [{ ...attempt, status: undefined, isWhole: false, leftAt: 1100 }],
      runs: [{ ...run, arrivedAt: 2100 }],
    },
    expected: [/after its caller had left/],
  },
  {
    name: "new work for a server that said in an answer that it leaves",
    change: {
      attempts: [attempt, { ...attempt, requestId: "r2", sentAt: 4000, endedAt: 4100 }],
      runs: [
        { ...run, saysLeaving: true },
        { ...run, requestId: "r2", arrivedAt: 4040, at: 4050 },
      ],
    },
    expected: [/said that it leaves/],
  },
  {
    name: "new work for such a server after a disturbance of the daemon is allowed",
    change: {
      attempts: [
        attempt,
        { ...attempt, requestId: "r2", sentAt: 4000, endedAt: 4100, daemonDisturbedAt: 2000 },
      ],
      runs: [
        { ...run, saysLeaving: true },
        { ...run, requestId: "r2", arrivedAt: 4040, at: 4050 },
      ],
    },
    expected: [],
  },
  {
    name: "three requests to a server that asked for none",
    change: {
      attempts: limitedRuns
        .slice(0, 4)
        .map(({ requestId }) => ({ ...attempt, requestId, isUndisturbed: false })),
      runs: limitedRuns.slice(1, 4).map((each) => ({ ...each, rateLimit: undefined })),
      backOffs: [{ requestId: "r0", server: "ledger-0", at: 4500, durationMs: 3000 }],
      recoveredAt: 2000,
    },
    expected: [/though nothing ran/, /asked for no requests/],
  },
  {
    name: "two requests to a server that asked for none are allowed",
    change: {
      attempts: limitedRuns.slice(0, 3).map(({ requestId }) => ({ ...attempt, requestId })),
      runs: limitedRuns.slice(1, 3).map((each) => ({ ...each, rateLimit: undefined })),
      backOffs: [{ requestId: "r0", server: "ledger-0", at: 4500, durationMs: 3000 }],
    },
    expected: [/though nothing ran/],
  },
  {
    name: "answers in another order than the requests",
    change: {
      series: [{ requestIds: ["p1", "p2"], answeredIds: ["p2", "p1"], isClosedByAnswer: false }],
    },
    expected: [/another order/],
  },
  {
    name: "a request that reached a server under an organisation that its caller claimed",
    change: { runs: [{ ...run, organisation: "claimed" }] },
    expected: [/under another organisation/],
  },
  {
    name: "an API key that reached a server",
    change: { runs: [{ ...run, hasApiKey: true }] },
    expected: [/with an API key/],
  },
  {
    name: "a request without a valid API key that ran",
    change: {
      runs: [run, { ...run, requestId: "b1", isUnsafe: false, organisation: "bounded" }],
      bounded: [{ requestId: "b1", hasValidKey: false, status: 401 }],
    },
    expected: [/without a valid API key ran/],
  },
  {
    name: "more requests of an organisation than its allowance, the slack and the excess in five seconds",
    change: {
      runs: [run, ...boundedRuns],
      bounded: boundedRuns.map(({ requestId }) => ({ requestId, hasValidKey: true, status: 200 })),
    },
    expected: [/exceeded its allowance/],
  },
  {
    name: "a run of a request behind an answer that closed the connection",
    change: {
      runs: [run, { ...run, requestId: "p2", isUnsafe: false }],
      series: [{ requestIds: ["p1", "p2"], answeredIds: ["p1"], isClosedByAnswer: true }],
    },
    expected: [/closed the connection ran/],
  },
  {
    name: "a request whose caller leaves early counts neither as broken off nor as not served",
    change: { attempts: [{ ...attempt, status: undefined, isWhole: false, leftAt: 1100 }] },
    expected: [],
  },
  {
    name: "a request that waits for its timeout counts as broken off",
    change: {
      attempts: [{ ...attempt, status: undefined, isWhole: false, endedAt: 4000, leftAt: 4000 }],
      recoveredAt: 5000,
    },
    expected: [/broken off/],
  },
];

describe("promises of a soak", () => {
  test.each(cases)("$name", ({ change, expected }) => {
    const broken = findBrokenPromises({ ...facts, ...change });
    expect(broken).toHaveLength(expected.length);
    expected.forEach((pattern, index) => {
      expect(broken[index]).toMatch(pattern);
    });
  });
});
