/** Estimates the load and failures of backend servers from the answers that pass through this daemon. */
import type { Clock, ServerName, ServiceName } from "../../types";
import type { ServerLoad } from "../protocols";
import type { AgedLoad, SharedPerformance } from "./serverPerformance";

/**
 * A full queue stays full for about this time, and a busy server's report must remain in use until the next
 * one.
 */
const QUEUE_HALF_LIFE_MS = 400;
/** Other workloads on a server's machine slow it down for periods of about this length. */
const SLOWNESS_HALF_LIFE_MS = 150;
const PROCESSING_TIME_WEIGHT = 0.15;
const FAILURE_WEIGHT = 0.25;
/** Failures lose their weight at this rate, so that a server that has recovered gets requests again. */
const FAILURE_HALF_LIFE_MS = 1500;
/** An unreachable server is tried again by one request after this time, doubled up to the maximum. */
const INITIAL_UNREACHABLE_PAUSE_MS = 400;
const MAX_UNREACHABLE_PAUSE_MS = 2000;
/** Processing time that is assumed until the first answer of a service. */
const DEFAULT_PROCESSING_MS = 100;
/** Weight of an answer in the usual processing time of its service, which counts for servers without answers. */
const USUAL_TIME_WEIGHT = 0.05;
/** A server that has not answered for this multiple of its processing time is taken to have a queue, or to be hung. */
const SILENCE_RATIO = 2;
/** With fewer requests in flight, one that takes long explains the silence. */
const MIN_SILENT_REQUESTS = 3;
/** A report of this age came with the latest answer; the rest is processor time of this daemon. */
const CURRENT_REPORT_MS = 50;
/** Share of busy slots that is assumed without a recent report. */
const DEFAULT_UTILISATION = 0.4;

interface ServerView {
  readonly server: ServerName;
  /** Start times of this daemon's requests in flight, in order. */
  readonly startTimes: number[];
  answeredAt: number;
  load: ServerLoad | undefined;
  loadAt: number;
  processingMs: number | undefined;
  answers: number;
  failureShare: number;
  failureAt: number;
  unreachableCount: number;
  unreachableUntil: number;
}

/** Load and failures of backend servers. */
export interface ServerLoads {
  /** Counts a request of this daemon as in flight until the returned function is called. */
  startRequest(server: ServerName): () => void;
  /** Records the load that an answer reported. */
  recordLoad(server: ServerName, load: ServerLoad): void;
  /** Applies a load that another daemon was told, unless this daemon knows a newer one. */
  mergeLoad(server: ServerName, slots: number, shared: AgedLoad): void;
  /** Records an answer, its latency in milliseconds, and the work of its request relative to the service's others. */
  recordAnswer(server: ServerName, latencyMs: number, weight: number): void;
  /** Records that an answer was a failure, incomplete or missing. */
  recordFailure(server: ServerName): void;
  /** Records that no connection could be made. */
  recordUnreachable(server: ServerName): void;
  /** Records that another server answers at the server's address, so that the server's process has ended. */
  recordReplaced(server: ServerName): void;
  /** Returns whether a request may be sent; an unreachable server is tried by one request at a time. */
  isReachable(server: ServerName): boolean;
  /** Returns the expected time until an answer, in milliseconds. */
  estimateLatencyMs(server: ServerName, slots: number): number;
  /** Returns the expected time in the server's queue, in milliseconds. */
  estimateWaitMs(server: ServerName, slots: number): number;
  /** Returns whether the server has just reported that not all of its slots are busy. */
  hasReportedRoom(server: ServerName): boolean;
  /** Returns the age of the last load report, in whole milliseconds; undefined without one. */
  findLoadAgeMs(server: ServerName): number | undefined;
  /** Returns the mean processing time of a request at the server, without its queue, in milliseconds. */
  getProcessingMs(server: ServerName): number;
  /** Returns the requests per millisecond that a server can take, as all daemons measured it; undefined when unknown. */
  findSharedCapacity(server: ServerName, slots: number): number | undefined;
  /** Returns the number of answers that the processing time is estimated from. */
  countAnswers(server: ServerName): number;
  /** Returns the share of recent requests that failed, from 0 to 1. */
  getFailureShare(server: ServerName): number;
  /** Removes the state of servers that no longer exist. */
  retain(isPresent: (server: ServerName) => boolean): void;
}

/**
 * Creates the estimates, without any report yet.
 *
 * @param clock - Clock that the age of reports is measured by.
 * @param findService - Returns the service of a server; undefined when it is not known.
 * @param shared - Estimates that all daemons share; without them a daemon uses its own measurements alone.
 * @returns The estimates.
 */
export function createServerLoads(
  clock: Clock,
  findService: (server: ServerName) => ServiceName | undefined,
  shared?: SharedPerformance,
): ServerLoads {
  const views = new Map<ServerName, ServerView>();
  const usualMs = new Map<ServiceName, number>();

  return {
    startRequest: (server) => {
      const { startTimes } = getView(server);
      const startedAt = clock.now();
      startTimes.push(startedAt);
      return () => {
        startTimes.splice(startTimes.indexOf(startedAt), 1);
      };
    },
    recordLoad: (server, load) => {
      const view = getView(server);
      view.load = load;
      view.loadAt = clock.now();
      view.answeredAt = clock.now();
      view.unreachableCount = 0;
      shared?.recordLoad(server, load);
    },
    mergeLoad: (server, slots, { load, ageMs }) => {
      const view = getView(server);
      const loadAt = clock.now() - ageMs;
      if (loadAt > view.loadAt) {
        view.load = { ...load, slots };
        view.loadAt = loadAt;
      }
    },
    recordAnswer: (server, latencyMs, weight) => {
      const view = getView(server);
      if (view.load !== undefined) {
        shared?.recordAnswer(server, latencyMs, weight, view.load);
      }
      const waitMs = view.load === undefined ? 0 : estimateWaitMs(view, view.load.slots);
      const processingMs = Math.max(1, latencyMs - waitMs) / weight;
      view.processingMs =
        view.processingMs === undefined
          ? processingMs
          : view.processingMs + (processingMs - view.processingMs) * PROCESSING_TIME_WEIGHT;
      recordUsual(server, processingMs);
      view.answers += 1;
      view.answeredAt = clock.now();
      view.failureShare = getFailureShare(view) * (1 - FAILURE_WEIGHT);
      view.failureAt = clock.now();
      view.unreachableCount = 0;
    },
    recordFailure: (server) => {
      const view = getView(server);
      const share = getFailureShare(view);
      view.failureShare = share + (1 - share) * FAILURE_WEIGHT;
      view.failureAt = clock.now();
    },
    recordUnreachable: (server) => {
      const view = getView(server);
      view.unreachableCount += 1;
      const pauseMs = INITIAL_UNREACHABLE_PAUSE_MS * 2 ** Math.min(view.unreachableCount - 1, 4);
      view.unreachableUntil = clock.now() + Math.min(MAX_UNREACHABLE_PAUSE_MS, pauseMs);
    },
    recordReplaced: (server) => {
      const view = getView(server);
      view.unreachableCount += 1;
      view.unreachableUntil = clock.now() + MAX_UNREACHABLE_PAUSE_MS;
    },
    isReachable: (server) => {
      const view = getView(server);
      return (
        view.unreachableCount === 0 || (clock.now() >= view.unreachableUntil && view.startTimes.length === 0)
      );
    },
    estimateLatencyMs: (server, slots) => {
      const view = getView(server);
      return Math.max(estimateWaitMs(view, slots), getExcessSilenceMs(view)) + estimateProcessingMs(view);
    },
    estimateWaitMs: (server, slots) => estimateWaitMs(getView(server), slots),
    hasReportedRoom: (server) => {
      const { load, loadAt } = getView(server);
      const isCurrent = load !== undefined && clock.now() - loadAt <= CURRENT_REPORT_MS;
      return isCurrent && load.running + load.waiting < load.slots;
    },
    findLoadAgeMs: (server) => {
      const view = getView(server);
      return view.load === undefined ? undefined : Math.round(clock.now() - view.loadAt);
    },
    getProcessingMs: (server) => getProcessingMs(getView(server)),
    findSharedCapacity: (server, slots) => {
      const estimate = shared?.find(server);
      return estimate && Math.min(slots, estimate.effectiveSlots) / Math.max(1, estimate.processingMs);
    },
    countAnswers: (server) => views.get(server)?.answers ?? 0,
    getFailureShare: (server) => getFailureShare(getView(server)),
    retain: (isPresent) => {
      for (const [name, view] of views) {
        if (!isPresent(name) && view.startTimes.length === 0) {
          views.delete(name);
        }
      }
    },
  };

  function getView(server: ServerName): ServerView {
    let view = views.get(server);
    if (view === undefined) {
      view = {
        server,
        startTimes: [],
        answeredAt: Number.NEGATIVE_INFINITY,
        load: undefined,
        loadAt: Number.NEGATIVE_INFINITY,
        processingMs: undefined,
        answers: 0,
        failureShare: 0,
        failureAt: Number.NEGATIVE_INFINITY,
        unreachableCount: 0,
        unreachableUntil: 0,
      };
      views.set(server, view);
    }
    return view;
  }

  /** Returns the weight of the last report against the defaults, from 1 for a new report down to 0. */
  function getReportWeight(view: ServerView, halfLifeMs: number): number {
    return view.load === undefined ? 0 : 0.5 ** ((clock.now() - view.loadAt) / halfLifeMs);
  }

  function estimateProcessingMs(view: ServerView): number {
    // A shared processing time contains the slowness that the server states on average.
    const usualSlowness = shared?.find(view.server)?.slowness ?? 1;
    const slowness = (view.load?.slowness ?? usualSlowness) / usualSlowness;
    const weight = getReportWeight(view, SLOWNESS_HALF_LIFE_MS);
    return getProcessingMs(view) * (weight * slowness + (1 - weight));
  }

  /** A server without answers is expected to be like the others: if it seemed faster, all daemons would choose it. */
  function getProcessingMs(view: ServerView): number {
    const sharedMs = shared?.find(view.server)?.processingMs;
    if (sharedMs !== undefined) {
      return sharedMs;
    }
    const service = findService(view.server);
    const usual = service === undefined ? undefined : usualMs.get(service);
    return view.processingMs ?? usual ?? DEFAULT_PROCESSING_MS;
  }

  function recordUsual(server: ServerName, processingMs: number): void {
    const service = findService(server);
    if (service !== undefined) {
      const known = usualMs.get(service) ?? processingMs;
      usualMs.set(service, known + (processingMs - known) * USUAL_TIME_WEIGHT);
    }
  }

  function estimateWaitMs(view: ServerView, statedSlots: number): number {
    const slots = Math.min(statedSlots, shared?.find(view.server)?.effectiveSlots ?? statedSlots);
    const weight = getReportWeight(view, QUEUE_HALF_LIFE_MS);
    const reported = view.load === undefined ? 0 : view.load.running + view.load.waiting;
    const occupied = weight * reported + (1 - weight) * slots * DEFAULT_UTILISATION;
    const ahead = Math.max(occupied, view.startTimes.length);
    const queueMs = (Math.max(0, ahead + 1 - slots) / slots) * estimateProcessingMs(view);
    return view.startTimes.length < MIN_SILENT_REQUESTS
      ? queueMs
      : Math.max(queueMs, getExcessSilenceMs(view));
  }

  /** Returns by how much a request of this daemon is in flight for longer than usual while nothing is answered. */
  function getExcessSilenceMs(view: ServerView): number {
    const [oldest] = view.startTimes;
    const silenceMs = oldest === undefined ? 0 : clock.now() - Math.max(oldest, view.answeredAt);
    return Math.max(0, silenceMs - SILENCE_RATIO * getProcessingMs(view));
  }

  function getFailureShare(view: ServerView): number {
    if (view.failureShare === 0) {
      return 0;
    }
    return view.failureShare * 0.5 ** ((clock.now() - view.failureAt) / FAILURE_HALF_LIFE_MS);
  }
}
