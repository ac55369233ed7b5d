/** What this daemon knows of the load and failures of backend servers, from the answers that pass through it. */
import type { Clock, ServerName } from "../types";
import type { ServerLoad } from "./protocols";

/** A queue that was full stays so for about this time; a busy server's report must outlast the pause until the next. */
const QUEUE_HALF_LIFE_MS = 400;
/** Neighbours on a server's machine slow it down for moments of this length. */
const SLOWNESS_HALF_LIFE_MS = 150;
const PROCESSING_TIME_WEIGHT = 0.15;
const FAILURE_WEIGHT = 0.25;
/** Failures older than this no longer count, so that a server that has recovered gets work again. */
const FAILURE_HALF_LIFE_MS = 1500;
/** A server that cannot be reached is tried again after this time, by one request. */
const INITIAL_UNREACHABLE_PAUSE_MS = 400;
const MAX_UNREACHABLE_PAUSE_MS = 2000;
/** Assumed until the first answer of a server. */
const DEFAULT_PROCESSING_MS = 100;
/** Assumed share of busy slots where no recent report says otherwise. */
const DEFAULT_UTILISATION = 0.4;

interface ServerView {
  ownInFlight: number;
  load: ServerLoad | undefined;
  loadAt: number;
  processingMs: number | undefined;
  answers: number;
  failureRate: number;
  failureAt: number;
  unreachableCount: number;
  unreachableUntil: number;
}

/** Load and failures of backend servers. */
export interface ServerLoads {
  /** Counts a request that this daemon sends. Call the result when it has ended. */
  startRequest(server: ServerName): () => void;
  /** Takes the load that an answer told. */
  recordLoad(server: ServerName, load: ServerLoad): void;
  /** Takes the time that an answer took. */
  recordAnswer(server: ServerName, latencyMs: number): void;
  /** Takes note of an answer that was a failure, or broke. */
  recordFailure(server: ServerName): void;
  /** Takes note that no connection could be made. */
  recordUnreachable(server: ServerName): void;
  /** Takes note that another server answers at its address, so that its process has ended. */
  recordReplaced(server: ServerName): void;
  /** Whether a request may be sent; a server that cannot be reached is tried by one request at a time. */
  isReachable(server: ServerName): boolean;
  /** Expected time until an answer, in milliseconds. */
  estimateLatencyMs(server: ServerName, slots: number): number;
  /** Expected time in the server's queue, in milliseconds. */
  estimateWaitMs(server: ServerName, slots: number): number;
  /** Age of the last load report, in whole milliseconds; undefined without one. */
  findLoadAgeMs(server: ServerName): number | undefined;
  /** Usual time of a request at the server, without its queue, in milliseconds. */
  getProcessingMs(server: ServerName): number;
  /** Answers that the usual time was learnt from. */
  countAnswers(server: ServerName): number;
  /** Share of recent requests that failed, from 0 to 1. */
  getFailureShare(server: ServerName): number;
  /** Forgets servers that are gone. */
  retain(isPresent: (server: ServerName) => boolean): void;
}

/**
 * Creates an empty view.
 *
 * @param clock - Clock of the reports' age.
 * @returns The view.
 */
export function createServerLoads(clock: Clock): ServerLoads {
  const views = new Map<ServerName, ServerView>();

  return {
    startRequest: (server) => {
      const view = getView(server);
      view.ownInFlight += 1;
      return () => {
        view.ownInFlight -= 1;
      };
    },
    recordLoad: (server, load) => {
      const view = getView(server);
      view.load = load;
      view.loadAt = clock.now();
      view.unreachableCount = 0;
    },
    recordAnswer: (server, latencyMs) => {
      const view = getView(server);
      const waitMs = view.load === undefined ? 0 : estimateWaitMs(view, view.load.slots);
      const processingMs = Math.max(1, latencyMs - waitMs);
      view.processingMs =
        view.processingMs === undefined
          ? processingMs
          : view.processingMs + (processingMs - view.processingMs) * PROCESSING_TIME_WEIGHT;
      view.answers += 1;
      view.failureRate = getFailureShare(view) * (1 - FAILURE_WEIGHT);
      view.failureAt = clock.now();
      view.unreachableCount = 0;
    },
    recordFailure: (server) => {
      const view = getView(server);
      const share = getFailureShare(view);
      view.failureRate = share + (1 - share) * FAILURE_WEIGHT;
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
      return view.unreachableCount === 0 || (clock.now() >= view.unreachableUntil && view.ownInFlight === 0);
    },
    estimateLatencyMs: (server, slots) => {
      const view = getView(server);
      return estimateWaitMs(view, slots) + estimateProcessingMs(view);
    },
    estimateWaitMs: (server, slots) => estimateWaitMs(getView(server), slots),
    findLoadAgeMs: (server) => {
      const view = getView(server);
      return view.load === undefined ? undefined : Math.round(clock.now() - view.loadAt);
    },
    getProcessingMs: (server) => views.get(server)?.processingMs ?? DEFAULT_PROCESSING_MS,
    countAnswers: (server) => views.get(server)?.answers ?? 0,
    getFailureShare: (server) => getFailureShare(getView(server)),
    retain: (isPresent) => {
      for (const [name, view] of views) {
        if (!isPresent(name) && view.ownInFlight === 0) {
          views.delete(name);
        }
      }
    },
  };

  function getView(server: ServerName): ServerView {
    let view = views.get(server);
    if (view === undefined) {
      view = {
        ownInFlight: 0,
        load: undefined,
        loadAt: Number.NEGATIVE_INFINITY,
        processingMs: undefined,
        answers: 0,
        failureRate: 0,
        failureAt: Number.NEGATIVE_INFINITY,
        unreachableCount: 0,
        unreachableUntil: 0,
      };
      views.set(server, view);
    }
    return view;
  }

  /** Weight of the last report against what is usual, from 1 down to 0. */
  function getReportWeight(view: ServerView, halfLifeMs: number): number {
    return view.load === undefined ? 0 : 0.5 ** ((clock.now() - view.loadAt) / halfLifeMs);
  }

  function estimateProcessingMs(view: ServerView): number {
    const slowness = view.load?.slowness ?? 1;
    const weight = getReportWeight(view, SLOWNESS_HALF_LIFE_MS);
    return (view.processingMs ?? DEFAULT_PROCESSING_MS) * (weight * slowness + (1 - weight));
  }

  function estimateWaitMs(view: ServerView, slots: number): number {
    const weight = getReportWeight(view, QUEUE_HALF_LIFE_MS);
    const reported = view.load === undefined ? 0 : view.load.running + view.load.waiting;
    const occupied = weight * reported + (1 - weight) * slots * DEFAULT_UTILISATION;
    const ahead = Math.max(occupied, view.ownInFlight);
    return (Math.max(0, ahead + 1 - slots) / slots) * estimateProcessingMs(view);
  }

  function getFailureShare(view: ServerView): number {
    if (view.failureRate === 0) {
      return 0;
    }
    return view.failureRate * 0.5 ** ((clock.now() - view.failureAt) / FAILURE_HALF_LIFE_MS);
  }
}
