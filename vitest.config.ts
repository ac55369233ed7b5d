import { defineConfig } from "vitest/config";

/** Tests that measure the memory of a real process: one at a time, after all others. */
const MEASURING = ["test/hostileCallers.test.ts", "test/hostileCallersAtFaults.test.ts"];

export default defineConfig({
  test: {
    testTimeout: 30_000,
    projects: [
      {
        extends: true,
        test: {
          name: "parallel",
          include: ["test/**/*.test.ts"],
          exclude: MEASURING,
          sequence: { groupOrder: 0 },
        },
      },
      {
        extends: true,
        test: {
          name: "measuring",
          include: MEASURING,
          fileParallelism: false,
          sequence: { groupOrder: 1 },
        },
      },
    ],
  },
});
