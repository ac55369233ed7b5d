/** The outage that is reported for a failure must not include requests that the next failure disturbed. */
import { describe, expect, test } from "vitest";
import type { CallerResult } from "../standins/scenarios/callers";
import { measureOutage } from "../standins/scenarios/outage";

const window = { from: 4000, until: 9000 };

function createResult(startedAt: number, latencyMs: number, end = "whole"): CallerResult {
  return { callerId: "c", method: "GET", end, outcome: "", startedAt, latencyMs };
}

describe("outage", () => {
  const cases: readonly (readonly [name: string, results: readonly CallerResult[], outageMs: number])[] = [
    ["the outage is infinite without requests for the affected keys", [], Number.POSITIVE_INFINITY],
    ["there is no outage if all requests were answered in time", [createResult(4100, 20)], 0],
    ["the outage ends with the last late answer", [createResult(4100, 600), createResult(4300, 500)], 800],
    ["a refused request counts, however quick the refusal", [createResult(4500, 5, "no-owner")], 505],
    ["requests before the failure do not count", [createResult(3990, 2000), createResult(4100, 20)], 0],
    [
      "a request that was not late yet at the next failure does not count",
      [createResult(8900, 1312), createResult(4100, 20)],
      0,
    ],
    ["a request that was already late at the next failure counts", [createResult(8700, 1500)], 6200],
  ];
  test.each(cases)("%s", (_name, results, outageMs) => {
    expect(measureOutage(results, () => true, window)).toBe(outageMs);
  });
});
