/** A short soak test: daemon processes under injected faults keep the promises that have no time bound. */
import { expect, test } from "vitest";
import { runSoak } from "../standins/soak/soak";

const FAULTS_MS = 4000;
/** Ends a run that hangs. A run takes several times as long on a busy machine as on an idle one. */
const TIMEOUT_MS = 240_000;

test.each([7, 122])(
  "soak with seed %i",
  async (seed) => {
    const result = await runSoak({ seed, faultsMs: FAULTS_MS, checksTimeBounds: false });
    expect(result.brokenPromises).toEqual([]);
    expect(result.served).toBeGreaterThan(0);
  },
  TIMEOUT_MS,
);
