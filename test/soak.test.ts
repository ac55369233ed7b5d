/** A short run of the soak: real daemons under faults keep the promises that have no time bound. */
import { expect, test } from "vitest";
import { runSoak } from "../standins/soak/soak";

const FAULTS_MS = 4000;
/** Bounds a run that hangs; a busy machine takes several times as long as an idle one. */
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
