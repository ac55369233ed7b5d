/** Daemons with the admission by priority, in front of simulated servers, on a fake clock and an in-memory network. */
import {
  type PriorityAdmission,
  PROCESSING_TIME_MARGIN,
  OBJECTIVE_SHARE,
  RejectionReason,
  RouteKind,
  type ServicePolicy,
  createPriorityAdmission,
  createPriorityDemands,
  createPriorityExchange,
  createRetryTimes,
  createStateExchange,
} from "../../src/gateway";
import { createDatagramChannel } from "../../src/membership";
import { Event, createCounters, silentLogger } from "../../src/observability";
import { createRandom } from "../../standins/scenarios/callers";
import { createFakeClock, createProcessClock } from "./fakeClock";
import { createFakeNetwork } from "./fakeNetwork";
import { createRequest, createRoute, policy, presentCaller } from "./gateway";

const STEP_MS = 10;
/** Requests that a server queues beyond its slots before it refuses. */
const SERVER_QUEUE = 12;

/** Requests of one priority. */
export interface SimulatedKind {
  readonly priority: number;
  readonly objectiveMs: number;
  readonly timeoutMs: number;
  /** Requests per second at a time since the start in milliseconds. */
  readonly rate: (timeMs: number) => number;
  /** Key of the next request, for a keyed service. */
  readonly chooseKey?: (random: () => number, timeMs: number) => number;
  /** Callers that ignore the retry-after time and retry at once, this many times; the others retry once, as told. */
  readonly immediateRetries?: number;
}

/** A load pattern. */
export interface PriorityLoad {
  readonly kinds: readonly SimulatedKind[];
  readonly durationMs: number;
  readonly seed: number;
  readonly daemons?: number;
  /** Probability of each daemon to be chosen by a caller, relative to the others. */
  readonly daemonWeight?: (index: number) => number;
  readonly servers?: number;
  readonly slots?: number;
  readonly processingMs?: number;
  /** Estimated capacity relative to the true one. */
  readonly estimateError?: number;
  readonly isKeyed?: boolean;
  /** Whether daemons admit by priority; without it they only count. */
  readonly isOn?: boolean;
  /** Called before each step. */
  readonly onStep?: (timeMs: number, cluster: SimulatedCluster) => void;
}

/** What a pattern may change while it runs. */
export interface SimulatedCluster {
  coordinator: number | undefined;
  /** Daemons that have no contact to the coordinator. */
  readonly cutOff: Set<number>;
  /** Work that a daemon reports beside its own, by daemon. */
  readonly wrongWork: Map<number, number>;
  readonly admissions: readonly PriorityAdmission[];
}

/** How a request ended. */
export interface SimulatedOutcome {
  readonly priority: number;
  readonly arrivedAtMs: number;
  /** Undefined when it was never served. */
  readonly servedAfterMs: number | undefined;
  readonly isOnTime: boolean;
  readonly isImmediate: boolean;
}

/** Record of a run. */
export interface SimulatedRun {
  readonly outcomes: readonly SimulatedOutcome[];
  /** Announced shares at each daemon after each step. */
  readonly samples: readonly {
    readonly timeMs: number;
    readonly shares: readonly Readonly<Record<string, number>>[];
  }[];
  /** Starts and ends of shortages that the coordinators saw, in milliseconds since the start. */
  readonly transitions: readonly { readonly timeMs: number; readonly isStart: boolean }[];
}

/**
 * Plays a load pattern.
 *
 * @param load - The pattern.
 * @returns What happened.
 */
export async function playPriorityLoad(load: PriorityLoad): Promise<SimulatedRun> {
  const { daemons = 8, servers: serverCount = 10, slots = 3, processingMs = 160, isOn = true } = load;
  const random = createRandom(load.seed);
  const clock = createFakeClock();
  const startedAt = clock.now();
  const network = createFakeNetwork(clock);
  const stop = new AbortController();
  const service: ServicePolicy = { ...policy, isKeyed: load.isKeyed ?? false };
  const transitions: { timeMs: number; isStart: boolean }[] = [];
  const logger: typeof silentLogger = {
    ...silentLogger,
    log: (kind) => {
      if (kind === Event.PriorityShortageStarted || kind === Event.PriorityShortageEnded) {
        transitions.push({
          timeMs: clock.now() - startedAt,
          isStart: kind === Event.PriorityShortageStarted,
        });
      }
    },
  };
  const addresses = Array.from({ length: daemons }, (_, index) => ({ host: "d", port: index + 1 }));
  const nodes = addresses.map((address, index) => startDaemon(address, index));
  const cluster: SimulatedCluster = {
    coordinator: 0,
    cutOff: new Set(),
    wrongWork: new Map(),
    admissions: nodes.map(({ admission }) => admission),
  };
  const servers = Array.from({ length: serverCount }, () => Array.from({ length: slots }, () => 0));
  const weights = addresses.map((_, index) => load.daemonWeight?.(index) ?? 1);
  const totalWeight = weights.reduce((total, weight) => total + weight, 0);
  const outcomes: SimulatedOutcome[] = [];
  const samples: { timeMs: number; shares: readonly Readonly<Record<string, number>>[] }[] = [];
  let lastId = 0;

  for (let timeMs = 0; timeMs < load.durationMs; timeMs += STEP_MS) {
    load.onStep?.(timeMs, cluster);
    for (const kind of load.kinds) {
      const expected = (kind.rate(timeMs) * STEP_MS) / 1000;
      const count = Math.floor(expected) + (random() < expected % 1 ? 1 : 0);
      for (let each = 0; each < count; each += 1) {
        const isImmediate = kind.immediateRetries !== undefined && random() < 0.5;
        lastId += 1;
        const key = kind.chooseKey?.(random, timeMs);
        attempt(kind, { path: `/${lastId}`, key, arrivedAt: clock.now(), isImmediate, tries: 0 });
      }
    }
    await clock.advance(STEP_MS);
    samples.push({ timeMs, shares: nodes.map(({ admission }) => admission.listShares()) });
  }
  await clock.advance(3000);
  stop.abort();
  return { outcomes, samples, transitions };

  interface Try {
    readonly path: string;
    readonly key: number | undefined;
    readonly arrivedAt: number;
    readonly isImmediate: boolean;
    readonly tries: number;
  }

  function attempt(kind: SimulatedKind, current: Try): void {
    const node = nodes[chooseDaemon()];
    if (node === undefined) {
      return;
    }
    const request = createRequest(RouteKind.Safe, {
      service,
      route: createRoute({ objectiveMs: kind.objectiveMs, priority: kind.priority }),
      priority: kind.priority,
      path: current.path,
      key: current.key,
      arrivedAt: clock.now(),
      deadlineAt: current.arrivedAt + kind.timeoutMs,
      caller: presentCaller,
    });
    const shortage = node.admission.findObstacle(request);
    const usefulMs = OBJECTIVE_SHARE * kind.objectiveMs - PROCESSING_TIME_MARGIN * processingMs;
    const waitMs = shortage !== undefined && isOn ? undefined : takeSlot(current.key, usefulMs);
    const elapsedMs = clock.now() - current.arrivedAt;
    if (waitMs?.kind === "served") {
      record(kind, current, elapsedMs + waitMs.ms);
      return;
    }
    const obstacle =
      waitMs === undefined && shortage !== undefined
        ? shortage
        : { reason: RejectionReason.Overloaded, waitMs: waitMs?.ms ?? 0 };
    node.admission.recordRefusal(request, obstacle.reason);
    const maxTries = current.isImmediate ? (kind.immediateRetries ?? 1) : 1;
    if (current.tries >= maxTries) {
      record(kind, current, undefined);
      return;
    }
    const inputs = { server: "s", assignmentVersion: 0, expectedWaitMs: undefined, loadAgeMs: undefined };
    const retryMs = current.isImmediate ? 1 : node.retryTimes.choose(request, obstacle, inputs);
    clock.schedule(retryMs, () => {
      attempt(kind, { ...current, tries: current.tries + 1 });
    });
  }

  function record(kind: SimulatedKind, current: Try, servedAfterMs: number | undefined): void {
    outcomes.push({
      priority: kind.priority,
      arrivedAtMs: current.arrivedAt - startedAt,
      servedAfterMs,
      isOnTime: servedAfterMs !== undefined && servedAfterMs <= kind.objectiveMs,
      isImmediate: current.isImmediate,
    });
  }

  /** The better of two random servers, or the owner of the key, runs the request unless the queue is too long. */
  function takeSlot(
    key: number | undefined,
    usefulMs: number,
  ): { readonly kind: "served" | "refused"; readonly ms: number } {
    const choose = () => servers[Math.floor(random() * serverCount)] ?? [];
    const candidates = key === undefined ? [choose(), choose()] : [servers[key % serverCount] ?? []];
    const waits = candidates.map((busyUntil) => {
      const at = Math.min(...busyUntil);
      return { busyUntil, at, waitMs: Math.max(0, at - clock.now()) };
    });
    const [best] = waits.sort((one, other) => one.waitMs - other.waitMs);
    if (best === undefined) {
      return { kind: "refused", ms: 0 };
    }
    const { busyUntil, at, waitMs } = best;
    if (waitMs > 0 && waitMs > Math.min(usefulMs, (SERVER_QUEUE / slots) * processingMs)) {
      return { kind: "refused", ms: waitMs };
    }
    const workMs = processingMs * (0.5 + random());
    busyUntil[busyUntil.indexOf(at)] = clock.now() + waitMs + workMs;
    return { kind: "served", ms: waitMs + workMs };
  }

  function chooseDaemon(): number {
    let left = random() * totalWeight;
    return Math.max(
      0,
      weights.findIndex((weight) => {
        left -= weight;
        return left < 0;
      }),
    );
  }

  function startDaemon(address: { host: string; port: number }, index: number) {
    const demands = createPriorityDemands(clock);
    const costs = { getWeight: () => 1 };
    const counters = createCounters("test");
    const timeOfDay = () => 1_700_000_000_000 + clock.now();
    const admission = createPriorityAdmission({
      demands,
      costs,
      isInContact: () => cluster.coordinator !== undefined && !cluster.cutOff.has(index),
      clock,
      timeOfDay,
      logger,
      counters,
    });
    const findCoordinator = () =>
      cluster.coordinator === undefined || cluster.cutOff.has(index)
        ? undefined
        : addresses[cluster.coordinator];
    const exchange = createStateExchange({
      daemon: `d${index}`,
      channel: createDatagramChannel(
        network.createTransport(address, createProcessClock(clock)),
        createCounters("test"),
      ),
      isCoordinator: () => cluster.coordinator === index,
      findCoordinator,
      getPeers: () => addresses.filter((other, at) => other !== address && !cluster.cutOff.has(at)),
      states: [
        createPriorityExchange({
          daemon: `d${index}`,
          demands: {
            ...demands,
            takeReport: () => {
              const extra = cluster.wrongWork.get(index) ?? 0;
              const own = demands.takeReport();
              return own.map((row) => ({
                ...row,
                offered: row.offered + extra,
                refused: row.refused + extra,
              }));
            },
          },
          admission,
          isConfiguredMixed: () => true,
          isKeyed: () => service.isKeyed,
          getCapacity: () => ((serverCount * slots) / processingMs) * 1000 * (load.estimateError ?? 1),
          clock,
          timeOfDay,
          logger,
        }),
      ],
      clock,
      logger,
    });
    // Daemons do not start at the same moment.
    clock.schedule(index * 37, () => void exchange.run(stop.signal));
    const retryTimes = createRetryTimes({
      directory: { getUsable: () => [] },
      loads: { getProcessingMs: () => processingMs },
      costs,
      priorities: admission,
      clock,
      random,
    });
    return { admission, retryTimes };
  }
}

/** Fractions of the requests that arrived within a time span. */
export function measureServed(
  run: SimulatedRun,
  fromMs: number,
  toMs: number,
  select: (outcome: SimulatedOutcome) => boolean = () => true,
): { readonly served: number; readonly onTime: number; readonly count: number } {
  const chosen = run.outcomes.filter(
    (each) => each.arrivedAtMs >= fromMs && each.arrivedAtMs < toMs && select(each),
  );
  const count = Math.max(1, chosen.length);
  return {
    served: chosen.filter((each) => each.servedAfterMs !== undefined).length / count,
    onTime: chosen.filter((each) => each.isOnTime).length / count,
    count: chosen.length,
  };
}
