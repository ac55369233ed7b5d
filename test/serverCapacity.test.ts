/** Estimates of the capacity of backend servers from a few answers of each. */
import { describe, expect, test } from "vitest";
import { type CapacityInputs, estimateCapacities } from "../src/gateway";

const typical: CapacityInputs = { slots: 4, processingMs: 100, answers: 1, maxRequestsPerSecond: null };
/** Other servers of the service; one is an outlier, which must not affect the estimate. */
const others = [typical, typical, typical, { ...typical, processingMs: 3000 }];
/** Requests per millisecond: 4 slots at a processing time of 100 ms. */
const typicalCapacity = 0.04;

interface CapacityCase {
  readonly name: string;
  readonly change: Partial<CapacityInputs>;
  readonly minCapacity: number;
  readonly maxCapacity: number;
}

const cases: readonly CapacityCase[] = [
  {
    name: "a typical server has typical capacity",
    change: {},
    minCapacity: typicalCapacity,
    maxCapacity: typicalCapacity,
  },
  {
    name: "one fast answer adds less than a third",
    change: { processingMs: 5 },
    minCapacity: typicalCapacity,
    maxCapacity: 1.3 * typicalCapacity,
  },
  {
    name: "many fast answers count almost in full",
    change: { processingMs: 55, answers: 100 },
    minCapacity: 1.7 * typicalCapacity,
    maxCapacity: 2 * typicalCapacity,
  },
  {
    name: "the speed is at most twice the median",
    change: { processingMs: 10, answers: 100 },
    minCapacity: 2 * typicalCapacity,
    maxCapacity: 2 * typicalCapacity,
  },
  {
    name: "many slow answers count almost in full",
    change: { processingMs: 1000, answers: 100 },
    minCapacity: 0.1 * typicalCapacity,
    maxCapacity: 0.11 * typicalCapacity,
  },
  {
    name: "a server that limits its rate has no more than that rate",
    change: { maxRequestsPerSecond: 4 },
    minCapacity: 0.001,
    maxCapacity: 0.004,
  },
  {
    name: "a server that accepts nothing keeps a capacity above zero",
    change: { maxRequestsPerSecond: 0 },
    minCapacity: 0.000_01,
    maxCapacity: 0.001,
  },
];

describe("server capacity", () => {
  test.each(cases)("$name", ({ change, minCapacity, maxCapacity }) => {
    const [capacity] = estimateCapacities([{ ...typical, ...change }, ...others]);
    expect(capacity).toBeGreaterThanOrEqual(minCapacity);
    expect(capacity).toBeLessThanOrEqual(maxCapacity);
  });

  test("servers without answers have equal estimates, whatever their processing time", () => {
    const [first, second] = estimateCapacities([
      { ...typical, answers: 0, processingMs: 1 },
      { ...typical, answers: 0 },
    ]);
    expect(first).toBe(second);
  });
});
