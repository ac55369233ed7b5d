/** The outage that the demo reports is that of one loss, not of the next. */
import { describe, expect, test } from "vitest";
import type { CallerResult } from "../standins/scenarios/callers";
import { measureOutage } from "../standins/scenarios/outage";

const window = { from: 4000, until: 9000 };

function createResult(startedAt: number, latencyMs: number, end = "whole"): CallerResult {
  return { callerId: "c", method: "GET", end, outcome: "", startedAt, latencyMs };
}

describe("outage", () => {
  const cases: readonly (readonly [name: string, results: readonly CallerResult[], outageMs: number])[] = [
    ["no request asked", [], Number.POSITIVE_INFINITY],
    ["all were served in time", [createResult(4100, 20)], 0],
    ["the last late answer ends it", [createResult(4100, 600), createResult(4300, 500)], 800],
    ["a refusal counts, however quick", [createResult(4500, 5, "no-owner")], 505],
    ["requests before the loss do not count", [createResult(3990, 2000), createResult(4100, 20)], 0],
    [
      "a request that the next loss struck is not of this one",
      [createResult(8900, 1312), createResult(4100, 20)],
      0,
    ],
    ["a request that was late already when the next loss came counts", [createResult(8700, 1500)], 6200],
  ];
  test.each(cases)("%s", (_name, results, outageMs) => {
    expect(measureOutage(results, () => true, window)).toBe(outageMs);
  });
});
