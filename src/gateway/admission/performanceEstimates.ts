/** The coordinator's estimates of the performance of all processes, from the reports of all daemons. */
import type { DiscoveredServer } from "../../discovery";
import { Event, type Logger } from "../../observability";
import type { Clock, DaemonName, ServiceName } from "../../types";
import { type PerformanceSums, createPerformanceSums } from "./performanceSums";
import type { ProcessNumbers } from "./processNumbers";
import type { AgedLoad, ProcessEstimate, ProcessObservation, RunningSums } from "./serverPerformance";

/** Weight of the service's median against a process's own answers, in answers. */
const PRIOR_ANSWERS = 8;
/**
 * Weight of the service's mean slowness against that of a process, in answers. The slowness that a process states is
 * also how its speed shows, so a few answers must suffice; momentary slowness has averaged out after some ten.
 */
const SLOWNESS_PRIOR_ANSWERS = 10;
/** A smaller change of an estimate counts for nothing: capacities that wobble would move keys all the time. */
const MIN_CHANGE = 0.15;
/** Estimates lie within this factor of the service's median. */
const MAX_RELATIVE_TIME = 4;
/** Means of a report count with at most this factor of the median, which bounds what one wrong daemon can do. */
const MAX_COUNTED_RELATIVE_TIME = 6;
/** A median of fewer answers says nothing of a report. */
const MIN_MEDIAN_ANSWERS = 50;
/** A report with means beyond this factor of the median is taken for nonsense and dropped. */
const MAX_STATED_RELATIVE_TIME = 50;
/** Answers that a process can have given since a daemon's last report, as the time for which its slots worked. */
const MAX_REPORTED_MS = 5000;
/** Another number of effective slots counts once it has followed from the answers for this time. */
const SLOTS_CONFIRMATION_MS = 10_000;
/** Estimates are announced again after this time: with the interval of the exchange each within 5 s. */
const REFRESH_MS = 4000;
/** A queue that was reported longer ago is no longer announced. */
const MAX_LOAD_AGE_MS = 1000;
/** Without announcements for this time another daemon was the coordinator, and its announcements count. */
const MAX_ANNOUNCEMENT_GAP_MS = 2000;
/** Answers that an announced estimate counts as at a new coordinator, at most. */
const MAX_CONTINUED_ANSWERS = 100;

/** Estimates and loads to announce. */
export interface PerformanceAnnouncement {
  readonly estimates: readonly ProcessEstimate[];
  /** Newest loads of processes that have a queue. */
  readonly loads: readonly { readonly process: number; readonly load: AgedLoad }[];
}

/** Estimates of the coordinator. */
export interface PerformanceEstimates {
  /** Records a daemon's report. Returns whether its numbers are possible; if not, nothing of it counts. */
  record(daemon: DaemonName, observations: readonly ProcessObservation[]): boolean;
  /** Returns what is to be announced: changed estimates first, then those not announced recently. */
  announce(limits: { readonly estimates: number; readonly loads: number }): PerformanceAnnouncement;
}

/** Options for {@link createPerformanceEstimates}. */
export interface PerformanceEstimateOptions {
  readonly clock: Clock;
  readonly numbers: Pick<ProcessNumbers, "find">;
  /** Returns whether the service has more servers than a daemon can know by itself. */
  readonly isShared: (service: ServiceName) => boolean;
  /** Returns what was last announced for a process; undefined when nothing that is still valid. */
  readonly findAnnounced: (process: number) => ProcessEstimate | undefined;
  readonly logger: Logger;
}

interface ProcessState {
  readonly sums: PerformanceSums;
  server: DiscoveredServer;
  estimate: ProcessEstimate | undefined;
  /** Undefined when the estimate has changed since. */
  announcedAt: number | undefined;
  /** Another number of effective slots, and since when it follows from the answers. */
  candidate: { readonly slots: number; readonly since: number } | undefined;
  load: AgedLoad["load"] | undefined;
  loadAt: number;
}

/**
 * Creates the coordinator's estimates; it continues from what was announced.
 *
 * @param options - Clock, directory and announced estimates.
 * @returns The estimates.
 */
export function createPerformanceEstimates(options: PerformanceEstimateOptions): PerformanceEstimates {
  const { clock, numbers, logger } = options;
  const states = new Map<number, ProcessState>();
  const medians = new Map<ServiceName, number>();
  let usedAt = Number.NEGATIVE_INFINITY;

  return {
    record: (daemon, observations) => {
      startAfterGap();
      const known = observations.flatMap((observation) => {
        const server = numbers.find(observation.process);
        return server !== undefined && options.isShared(server.service) ? [{ observation, server }] : [];
      });
      const impossible = known.find(({ observation, server }) => !isPossible(observation, server));
      if (impossible !== undefined) {
        logger.log(Event.PerformanceReportDropped, { daemon, server: impossible.server.name });
        return false;
      }
      known.forEach(({ observation, server }) => {
        recordObservation(observation, server);
      });
      return true;
    },
    announce: (limits) => {
      startAfterGap();
      usedAt = clock.now();
      update();
      const due = [...states]
        .filter(
          ([, { announcedAt, estimate }]) =>
            estimate !== undefined && clock.now() - (announcedAt ?? Number.NEGATIVE_INFINITY) >= REFRESH_MS,
        )
        .sort(
          ([, left], [, right]) =>
            (left.announcedAt ?? Number.MIN_SAFE_INTEGER) - (right.announcedAt ?? Number.MIN_SAFE_INTEGER),
        )
        .slice(0, limits.estimates);
      const estimates = due.flatMap(([, state]) => {
        state.announcedAt = clock.now();
        return state.estimate ?? [];
      });
      return { estimates, loads: findQueues(limits.loads) };
    },
  };

  function startAfterGap(): void {
    if (clock.now() - usedAt > MAX_ANNOUNCEMENT_GAP_MS) {
      states.clear();
      medians.clear();
      usedAt = clock.now();
    }
  }

  function isPossible({ byRunning, slowedMs }: ProcessObservation, server: DiscoveredServer): boolean {
    const answers = sum(byRunning, (each) => each.answers);
    const work = sum(byRunning, (each) => each.work);
    const timeMs = sum(byRunning, (each) => each.timeMs);
    if (answers === 0) {
      return work === 0 && timeMs === 0 && slowedMs === 0;
    }
    const median = medians.get(server.service);
    const ratio = median === undefined ? 1 : timeMs / work / median;
    return (
      work > 0 &&
      timeMs > 0 &&
      timeMs <= server.slots * (MAX_REPORTED_MS + (2 * timeMs) / answers) &&
      ratio < MAX_STATED_RELATIVE_TIME &&
      byRunning.every((each) => each.running <= Math.max(1, server.slots))
    );
  }

  function recordObservation(observation: ProcessObservation, server: DiscoveredServer): void {
    const state = getState(observation.process, server);
    state.server = server;
    const { load } = observation;
    const loadAt = load === undefined ? state.loadAt : clock.now() - load.ageMs;
    if (load !== undefined && loadAt >= state.loadAt) {
      state.load = load.load;
      state.loadAt = loadAt;
    }
    const limited = observation.byRunning.map((sums) => limitTimes(sums, medians.get(server.service)));
    if (limited.length > 0) {
      const statedMs = sum(observation.byRunning, (each) => each.timeMs);
      const slowness = Math.min(MAX_STATED_RELATIVE_TIME, observation.slowedMs / statedMs);
      state.sums.add(limited, sum(limited, (each) => each.timeMs) * slowness);
    }
  }

  function getState(process: number, server: DiscoveredServer): ProcessState {
    let state = states.get(process);
    if (state === undefined) {
      state = {
        sums: createPerformanceSums(() => clock.now()),
        server,
        estimate: undefined,
        announcedAt: undefined,
        candidate: undefined,
        load: undefined,
        loadAt: Number.NEGATIVE_INFINITY,
      };
      continueAnnounced(state, process);
      states.set(process, state);
    }
    return state;
  }

  function continueAnnounced(state: ProcessState, process: number): void {
    const announced = options.findAnnounced(process);
    if (announced !== undefined) {
      const { processingMs, slowness, effectiveSlots } = announced;
      const answers = Math.min(MAX_CONTINUED_ANSWERS, announced.answers);
      state.estimate = announced;
      state.sums.start(effectiveSlots, answers, processingMs / slowness, slowness);
    }
  }

  function update(): void {
    const byService = new Map<ServiceName, [number, ProcessState][]>();
    for (const [process, state] of states) {
      const server = numbers.find(process);
      if (server === undefined || !options.isShared(server.service)) {
        states.delete(process);
      } else {
        state.server = server;
        const processes = byService.get(server.service) ?? [];
        processes.push([process, state]);
        byService.set(server.service, processes);
      }
    }
    for (const [service, processes] of byService) {
      updateService(service, processes);
    }
  }

  function updateService(service: ServiceName, processes: readonly [number, ProcessState][]): void {
    const means = processes
      .flatMap(([, state]) => findOwnMean(state) ?? [])
      .sort((left, right) => left - right);
    const median = means[Math.floor(means.length / 2)];
    if (median === undefined) {
      return;
    }
    if (sum(processes, ([, state]) => state.sums.countAnswers()) >= MIN_MEDIAN_ANSWERS) {
      medians.set(service, median);
    }
    const times = processes.map(([, state]) => state.sums.getTimes());
    const usualSlowness =
      sum(times, (each) => each.slowedMs) /
      Math.max(
        1,
        sum(times, (each) => each.timeMs),
      );
    for (const [process, state] of processes) {
      updateProcess(process, state, median, usualSlowness);
    }
  }

  function findOwnMean(state: ProcessState): number | undefined {
    return state.sums.findMeanMs(state.estimate?.effectiveSlots ?? state.server.slots);
  }

  function updateProcess(process: number, state: ProcessState, median: number, usualSlowness: number): void {
    const answers = state.sums.countAnswers();
    const own = findOwnMean(state) ?? median;
    const blended = (answers * own + PRIOR_ANSWERS * median) / (answers + PRIOR_ANSWERS);
    const limited = Math.min(MAX_RELATIVE_TIME * median, Math.max(median / MAX_RELATIVE_TIME, blended));
    const { slowedMs, timeMs } = state.sums.getTimes();
    const prior = SLOWNESS_PRIOR_ANSWERS * median;
    const slowness = (slowedMs + prior * usualSlowness) / (timeMs + prior);
    const processingMs = limited * slowness;
    const previous = state.estimate;
    const effectiveSlots = chooseEffectiveSlots(state);
    const hasNewSlots = previous !== undefined && effectiveSlots !== previous.effectiveSlots;
    const change = previous === undefined ? Infinity : Math.abs(processingMs / previous.processingMs - 1);
    const isChanged = hasNewSlots || change > MIN_CHANGE;
    state.estimate = {
      process,
      processingMs: isChanged ? processingMs : (previous?.processingMs ?? processingMs),
      slowness: isChanged ? slowness : (previous?.slowness ?? slowness),
      answers: Math.round(answers),
      effectiveSlots,
    };
    state.announcedAt = isChanged ? undefined : state.announcedAt;
    if (hasNewSlots) {
      const { name, slots } = state.server;
      logger.log(Event.EffectiveSlotsChanged, { server: name, slots, effectiveSlots });
    }
  }

  function chooseEffectiveSlots(state: ProcessState): number {
    const slots = Math.max(1, state.server.slots);
    const present = Math.min(slots, state.estimate?.effectiveSlots ?? slots);
    const found = state.sums.findEffectiveSlots(slots) ?? present;
    if (found === present) {
      state.candidate = undefined;
      return present;
    }
    if (state.candidate?.slots !== found) {
      state.candidate = { slots: found, since: clock.now() };
    }
    return clock.now() - state.candidate.since >= SLOTS_CONFIRMATION_MS ? found : present;
  }

  function findQueues(maxLoads: number): PerformanceAnnouncement["loads"] {
    return [...states]
      .flatMap(([process, { load, loadAt, server, estimate }]) => {
        const ageMs = clock.now() - loadAt;
        const slots = estimate?.effectiveSlots ?? server.slots;
        const hasQueue = load !== undefined && load.running + load.waiting > slots;
        return hasQueue && ageMs <= MAX_LOAD_AGE_MS ? [{ process, load: { load, ageMs } }] : [];
      })
      .sort((left, right) => right.load.load.waiting - left.load.load.waiting)
      .slice(0, maxLoads);
  }
}

function limitTimes(sums: RunningSums, median: number | undefined): RunningSums {
  if (median === undefined || sums.work <= 0) {
    return sums;
  }
  const meanMs = sums.timeMs / sums.work;
  const limitedMs = Math.min(median * MAX_COUNTED_RELATIVE_TIME, meanMs);
  return { ...sums, timeMs: limitedMs * sums.work };
}

function sum<Value>(values: readonly Value[], read: (value: Value) => number): number {
  return values.reduce((total, value) => total + read(value), 0);
}
