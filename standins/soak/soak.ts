/** One randomised run: a deployment under load and overlapping faults, then a check of the promises. */
import { monitorEventLoopDelay } from "node:perf_hooks";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { sleep, systemClock } from "../../src/types";
import { startDeployment } from "./deployment";
import { MAX_FAULT_MS, createFaultInjector } from "./faults";
import { createBoundedCallers } from "./boundedCallers";
import { createPipeliningCallers } from "./pipeliningCallers";
import { findBrokenPromises } from "./promises";
import { createSoakCallers } from "./soakCallers";

const WARM_UP_MS = 2500;
/** Time after the last fault within which all requests must be served again. */
const RECOVERY_LIMIT_MS = 6000;
const LOAD_AFTER_RECOVERY_MS = 3000;
const NANOSECONDS_PER_MILLISECOND = 1_000_000;

/** Options for {@link runSoak}. */
export interface SoakOptions {
  readonly seed: number;
  /** Duration of the fault injection in milliseconds. */
  readonly faultsMs: number;
  /** Whether promises with a time bound are checked; a busy machine alone can break these. */
  readonly checksTimeBounds: boolean;
}

/** Result of a run. */
export interface SoakResult {
  readonly seed: number;
  readonly requests: number;
  readonly served: number;
  readonly faults: readonly string[];
  readonly brokenPromises: readonly string[];
  /** Longest delay of the soak's own event loop, which the servers and callers share. */
  readonly longestDelayMs: number;
  /** Folder with the daemons' logs. */
  readonly folder: string;
}

/**
 * Runs a soak on a deployment of its own.
 *
 * @param options - Seed, duration and which promises to check.
 * @returns Numbers of requests, the injected faults and the broken promises.
 * @throws Error when the deployment does not start.
 */
export async function runSoak({ seed, faultsMs, checksTimeBounds }: SoakOptions): Promise<SoakResult> {
  const randomInt = createRandomInt(seed);
  const deployment = await startDeployment(seed, randomInt);
  const injector = createFaultInjector(
    deployment,
    randomInt,
    createRandomInt(seed + 3),
    createRandomInt(seed + 4),
  );
  const callers = createSoakCallers({
    seed,
    // A generator of its own: the number of requests must not change which faults a seed injects.
    randomInt: createRandomInt(seed + 1),
    daemons: deployment.daemons,
    areLinksUndisturbedFor: (ms) => injector.areLinksUndisturbedFor(ms),
    findAddedRoute: (ms) => deployment.findAddedRoute(ms),
  });
  const stopLoad = new AbortController();
  const pipelining = createPipeliningCallers({
    seed,
    randomInt: createRandomInt(seed + 2),
    daemons: deployment.daemons,
  });
  const bounded = createBoundedCallers({
    seed,
    randomInt: createRandomInt(seed + 5),
    daemons: deployment.daemons,
  });
  const load = Promise.all([
    callers.run(stopLoad.signal),
    pipelining.run(stopLoad.signal),
    bounded.run(stopLoad.signal),
  ]);
  const delays = monitorEventLoopDelay();
  delays.enable();
  try {
    await sleep(systemClock, WARM_UP_MS);
    await injector.run(faultsMs);
    const recoveredAt = performance.now() + RECOVERY_LIMIT_MS;
    await sleep(systemClock, RECOVERY_LIMIT_MS + LOAD_AFTER_RECOVERY_MS);
    stopLoad.abort();
    await load;
    const { attempts } = callers;
    const { runs, backOffs, ownershipConflicts, folder } = deployment;
    return {
      seed,
      requests: attempts.length,
      served: attempts.filter((attempt) => attempt.status === 200).length,
      faults: injector.injectedFaults,
      longestDelayMs: Math.round(delays.max / NANOSECONDS_PER_MILLISECOND),
      brokenPromises: findBrokenPromises({
        attempts,
        runs,
        backOffs,
        series: pipelining.series,
        bounded: bounded.records,
        ownershipConflicts,
        // A fault that disturbs a link may have started before the request and ended after it.
        wereLinksUndisturbed: (attempt, run) =>
          injector.wereLinksUndisturbed(attempt.sentAt - MAX_FAULT_MS, run.arrivedAt),
        recoveredAt,
        checksTimeBounds,
      }),
      folder,
    };
  } finally {
    delays.disable();
    stopLoad.abort();
    await load;
    await deployment.close();
  }
}

function createRandomInt(seed: number): (limit: number) => number {
  const generator = xoroshiro128plus(seed);
  return (limit) => uniformInt(generator, 0, limit - 1);
}
