/** Choice among many servers of uneven speed by daemons that each send a few requests a second, without a network. */
import { describe, expect, test } from "vitest";
import { chooseServer, createServerSubsets } from "../src/gateway";
import { type FleetOptions, createPerformanceFleet } from "./support/performanceFleet";

const DAEMONS = 75;
const OBJECTIVE_MS = 605;
const SPEEDS = [0.6, 1, 1.4];
const SEEDS = [5, 6, 7];
const PLAYED_MS = 20_000;

interface Played {
  /** Share of the requests that were refused or answered after the objective. */
  readonly missed: number;
  /** Requests in progress at the fast servers, relative to the mean of all. */
  readonly fastLoad: number;
}

/** Lets the daemons send orders of 208 ms of work to 72 servers, from the start of all of them. */
function play(seed: number, requestsPerSecond: number, isShared: boolean): Played {
  const subsets = Array.from({ length: DAEMONS }, (_, index) => createServerSubsets(`d${index}`, "a"));
  let route: FleetOptions["route"] = () => 0;
  const fleet = createPerformanceFleet({
    seed,
    daemons: DAEMONS,
    servers: 72,
    slots: 3,
    workMs: 208,
    requestsPerSecond,
    isNoisy: true,
    getSpeed: (index) => SPEEDS[index % 3] ?? 1,
    route: (...call) => route(...call),
  });
  const entries = fleet.servers.map(({ entry }) => entry);
  route = (daemon, random) => {
    const chosen = chooseServer({
      candidates: subsets[daemon]?.choose("stock", entries) ?? [],
      loads: fleet.getDaemon(daemon).loads,
      dataCentre: "a",
      remoteCostMs: 0,
      tried: new Set(),
      isAdmitted: () => true,
      random,
    });
    return entries.findIndex(({ name }) => name === chosen?.name);
  };
  fleet.isConnected = isShared;
  fleet.run(PLAYED_MS);
  const busy = fleet.servers.map(({ busyMs }) => busyMs);
  const fast = busy.filter((_, index) => index % 3 === 2);
  const late = fleet.latencies.filter((latencyMs) => latencyMs > OBJECTIVE_MS).length;
  return {
    missed: (late + fleet.refused) / (fleet.latencies.length + fleet.refused),
    fastLoad: mean(fast) / mean(busy),
  };
}

function mean(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0) / values.length;
}

describe("requests without keys, 75 daemons and 72 servers of speeds 0.6, 1 and 1.4", () => {
  // Guards against all daemons choosing the same fast servers, once they know the same speeds.
  test.each([{ rate: 193 }, { rate: 288 }])(
    "at $rate requests/s fewer miss their objective with shared estimates, and no server is left idle",
    ({ rate }) => {
      const own = SEEDS.map((seed) => play(seed, rate, false));
      const shared = SEEDS.map((seed) => play(seed, rate, true));
      expect(mean(shared.map(({ missed }) => missed))).toBeLessThan(
        0.9 * mean(own.map(({ missed }) => missed)),
      );
      // In proportion to their speed the fast servers would have 1.4 times the mean of the work, in the same time.
      expect(mean(shared.map(({ fastLoad }) => fastLoad))).toBeLessThan(1.7);
    },
  );
});
