/**
 * What all daemons together know of the servers' performance, on the side of one daemon: it sums up what the answers
 * show for its next report, and holds the estimates that the coordinator has announced. A daemon of 75 meets each of
 * 232 servers about once in 15 s, too rarely to know its speed.
 */
import type { DiscoveredServer } from "../../discovery";
import type { Clock, ServerName, ServiceName } from "../../types";
import type { ServerLoad } from "../protocols";
import type { ProcessNumbers } from "./processNumbers";

/** An estimate holds for this time without an announcement; each is announced every 5 s, so two may be lost. */
const VALIDITY_MS = 12_000;
/** A single answer counts with at most this multiple of its service's usual time: one hung request is no speed. */
const MAX_RELATIVE_TIME = 5;
/** Weight of an answer in the usual processing time of its service. */
const USUAL_TIME_WEIGHT = 0.05;
/** Bounds of a stated slowness; others are taken for as usual. */
const MIN_SLOWNESS = 0.1;
const MAX_SLOWNESS = 20;
/** Answers with more running requests are counted with these; servers with more slots keep their stated slots. */
export const MAX_COUNTED_RUNNING = 32;
/** Maximum servers whose answers wait for a report; only reports that are too long let them wait. */
const MAX_PENDING = 1000;

/** Sums over the answers that were given while a server ran the same number of requests. */
export interface RunningSums {
  readonly running: number;
  readonly answers: number;
  /** Sum of the work of the requests; 1 is the mean of the service. */
  readonly work: number;
  /** Sum of the processing times, without queues and without momentary slowness, in milliseconds. */
  readonly timeMs: number;
}

/** Load that a process reported, and the age of the report in milliseconds. */
export interface AgedLoad {
  readonly load: Omit<ServerLoad, "slots">;
  readonly ageMs: number;
}

/** What a daemon has seen of one process since its last report. */
export interface ProcessObservation {
  /** Number of the process, see {@link ProcessNumbers}. */
  readonly process: number;
  readonly byRunning: readonly RunningSums[];
  /** Sum of the processing times with momentary slowness, in milliseconds. */
  readonly slowedMs: number;
  readonly load: AgedLoad | undefined;
}

/** Estimate of the performance of a process. */
export interface ProcessEstimate {
  readonly process: number;
  /** Mean time for a unit of work without a queue, at no more than the effective slots, in milliseconds. */
  readonly processingMs: number;
  /** Mean of the slowness that the process states, which the processing time contains. */
  readonly slowness: number;
  /** Answers that the estimate is made of. */
  readonly answers: number;
  /** Number of concurrent requests above which the server does little more work; at most its slots. */
  readonly effectiveSlots: number;
}

/** Shared estimates, as the load balancing of a daemon uses them. */
export interface SharedPerformance {
  /** Returns the estimate for the present process of a server; undefined while there is none. */
  find(server: ServerName): ProcessEstimate | undefined;
  /** Records the load that an answer or a refusal reported. */
  recordLoad(server: ServerName, load: ServerLoad): void;
  /** Records an answer, its latency in milliseconds, its request's work and the load that it reported. */
  recordAnswer(server: ServerName, latencyMs: number, work: number, load: ServerLoad): void;
}

/** Shared estimates and observations of one daemon. */
export interface ServerPerformance extends SharedPerformance {
  /** Returns and forgets the observations of as many processes as fit, the oldest first. */
  takeObservations(fits: (taken: readonly ProcessObservation[]) => boolean): readonly ProcessObservation[];
  /** Applies announced estimates. */
  apply(estimates: readonly ProcessEstimate[]): void;
  /** Returns the announced estimate of a process; undefined when none is valid. */
  findProcess(process: number): ProcessEstimate | undefined;
  /** Removes estimates that no longer hold. */
  evict(): void;
}

/** Options for {@link createServerPerformance}. */
export interface ServerPerformanceOptions {
  readonly clock: Clock;
  readonly numbers: Pick<ProcessNumbers, "get">;
  /** Returns a server; undefined when it is not known. */
  readonly findServer: (server: ServerName) => DiscoveredServer | undefined;
  /** Returns whether the service has more servers than a daemon can know by itself. */
  readonly isShared: (service: ServiceName) => boolean;
}

interface Pending {
  readonly byRunning: Map<number, RunningSums>;
  slowedMs: number;
  load: ServerLoad | undefined;
  loadAt: number;
}

/**
 * Creates the shared estimates of one daemon, without any estimate yet.
 *
 * @param options - Clock and directory.
 * @returns The estimates.
 */
export function createServerPerformance(options: ServerPerformanceOptions): ServerPerformance {
  const { clock, numbers } = options;
  const pending = new Map<number, Pending>();
  const usualMs = new Map<ServiceName, number>();
  const announced = new Map<number, { readonly estimate: ProcessEstimate; readonly at: number }>();

  return {
    find: (name) => {
      const server = announced.size === 0 ? undefined : options.findServer(name);
      return server === undefined ? undefined : findProcess(numbers.get(server));
    },
    recordLoad: (name, load) => {
      const server = findShared(name);
      const entry = server === undefined ? undefined : getPending(numbers.get(server));
      if (entry !== undefined) {
        entry.load = load;
        entry.loadAt = clock.now();
      }
    },
    recordAnswer: (name, latencyMs, work, load) => {
      const server = findShared(name);
      const entry = server === undefined ? undefined : getPending(numbers.get(server));
      if (server !== undefined && entry !== undefined && load.slots >= 1) {
        addAnswer(entry, server, latencyMs, work, load);
      }
    },
    takeObservations: (fits) => {
      const taken: ProcessObservation[] = [];
      for (const [process, entry] of pending) {
        const next = createObservation(process, entry);
        if (!fits([...taken, next])) {
          break;
        }
        taken.push(next);
        pending.delete(process);
      }
      return taken;
    },
    apply: (estimates) => {
      for (const estimate of estimates) {
        announced.set(estimate.process, { estimate, at: clock.now() });
      }
    },
    findProcess,
    evict: () => {
      for (const [process, { at }] of announced) {
        if (clock.now() - at >= VALIDITY_MS) {
          announced.delete(process);
        }
      }
    },
  };

  function findProcess(process: number): ProcessEstimate | undefined {
    const known = announced.get(process);
    return known === undefined || clock.now() - known.at >= VALIDITY_MS ? undefined : known.estimate;
  }

  function findShared(name: ServerName): DiscoveredServer | undefined {
    const server = options.findServer(name);
    return server !== undefined && options.isShared(server.service) ? server : undefined;
  }

  function getPending(process: number): Pending | undefined {
    let entry = pending.get(process);
    if (entry === undefined && pending.size < MAX_PENDING) {
      entry = { byRunning: new Map(), slowedMs: 0, load: undefined, loadAt: 0 };
      pending.set(process, entry);
    }
    return entry;
  }

  function addAnswer(
    entry: Pending,
    server: DiscoveredServer,
    latencyMs: number,
    work: number,
    load: ServerLoad,
  ): void {
    const isPlausible = load.slowness >= MIN_SLOWNESS && load.slowness <= MAX_SLOWNESS;
    const slowness = isPlausible ? load.slowness : 1;
    // A request that shares the server with `present` others waits for its slot in proportion to them.
    const present = load.running + load.waiting + 1;
    const slowedMs = Math.max(1, latencyMs) * (load.slots / Math.max(load.slots, present));
    const unitMs = limitTime(server.service, slowedMs / slowness / work);
    // The coordinator takes more running requests than the entry states slots for impossible.
    const slots = Math.min(MAX_COUNTED_RUNNING, load.slots, Math.max(1, server.slots));
    const running = Math.floor(Math.min(slots, load.running + 1));
    const sums = entry.byRunning.get(running) ?? { running, answers: 0, work: 0, timeMs: 0 };
    entry.byRunning.set(running, {
      running,
      answers: sums.answers + 1,
      work: sums.work + work,
      timeMs: sums.timeMs + unitMs * work,
    });
    entry.slowedMs += unitMs * work * slowness;
  }

  function limitTime(service: ServiceName, unitMs: number): number {
    const usual = usualMs.get(service) ?? unitMs;
    const limited = Math.min(unitMs, usual * MAX_RELATIVE_TIME);
    usualMs.set(service, usual + (limited - usual) * USUAL_TIME_WEIGHT);
    return limited;
  }

  function createObservation(process: number, entry: Pending): ProcessObservation {
    const { load, loadAt, slowedMs } = entry;
    const aged = load === undefined ? undefined : { load, ageMs: clock.now() - loadAt };
    return { process, byRunning: [...entry.byRunning.values()], slowedMs, load: aged };
  }
}
