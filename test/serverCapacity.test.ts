/** Capacity of backend servers, estimated from few answers. */
import { describe, expect, test } from "vitest";
import { type CapacityInputs, estimateCapacities } from "../src/gateway";

const usual: CapacityInputs = { slots: 4, processingMs: 100, answers: 1, coldRequestsPerSecond: null };
/** Other servers of the service, one of them far off. */
const others = [usual, usual, usual, { ...usual, processingMs: 3000 }];
const usualCapacity = 0.04;

interface CapacityCase {
  readonly name: string;
  readonly change: Partial<CapacityInputs>;
  readonly least: number;
  readonly most: number;
}

const cases: readonly CapacityCase[] = [
  { name: "as usual", change: {}, least: usualCapacity, most: usualCapacity },
  {
    name: "one fast answer says little",
    change: { processingMs: 5 },
    least: usualCapacity,
    most: 1.3 * usualCapacity,
  },
  {
    name: "many fast answers say much",
    change: { processingMs: 55, answers: 100 },
    least: 1.7 * usualCapacity,
    most: 2 * usualCapacity,
  },
  {
    name: "no server is taken for ten times as fast",
    change: { processingMs: 10, answers: 100 },
    least: 2 * usualCapacity,
    most: 2 * usualCapacity,
  },
  {
    name: "a slow server gets little",
    change: { processingMs: 1000, answers: 100 },
    least: 0.1 * usualCapacity,
    most: 0.11 * usualCapacity,
  },
  {
    name: "a cold server bears its own rate",
    change: { coldRequestsPerSecond: 4 },
    least: 0.001,
    most: 0.004,
  },
];

describe("server capacity", () => {
  test.each(cases)("$name", ({ change, least, most }) => {
    const [capacity] = estimateCapacities([{ ...usual, ...change }, ...others]);
    expect(capacity).toBeGreaterThanOrEqual(least);
    expect(capacity).toBeLessThanOrEqual(most);
  });

  test("servers that have not answered yet count as usual", () => {
    const [first, second] = estimateCapacities([
      { ...usual, answers: 0, processingMs: 1 },
      { ...usual, answers: 0 },
    ]);
    expect(first).toBe(second);
  });
});
