/**
 * A daemon's view of the load of all servers, from the load reports in the answers that it forwards.
 */
import type { Clock, DataCentreName, LoadReport, ServerName } from "../types";

/** Load reports older than this are outdated; only this daemon's own requests in flight count then. */
const MAX_REPORT_AGE_MS = 1000;
const DEFAULT_LATENCY_MS = 10;
const LATENCY_HALF_LIFE_MS = 2000;
/**
 * Comparing two random candidates balances load nearly as well as comparing all of them, and keeps daemons
 * from sending to the same least-loaded server all at once.
 */
const SAMPLE_SIZE = 2;
/** Cost factor of a server in another data centre. */
const REMOTE_COST_FACTOR = 1.5;

interface ServerView {
  report: LoadReport;
  reportedAt: number;
  ownInFlight: number;
}

/** A server that a request may be sent to. */
export interface ServerCandidate {
  readonly name: ServerName;
  readonly dataCentre: DataCentreName;
  readonly slots: number;
}

/** Selects servers for requests without keys by their load. */
export interface LoadView {
  /** Records a load report. */
  record(server: ServerName, load: LoadReport): void;
  /** Counts a request that this daemon sends. Call the returned function when the request has ended. */
  startRequest(server: ServerName): () => void;
  /** Returns the candidate with the lower estimated cost of two random ones; undefined without candidates. */
  choose(candidates: readonly ServerCandidate[], dataCentre: DataCentreName): ServerCandidate | undefined;
}

/**
 * Creates a load view.
 *
 * @param clock - Clock that measures the age of load reports.
 * @param random - Source of uniform random numbers in [0, 1).
 * @returns The view.
 */
export function createLoadView(clock: Clock, random: () => number): LoadView {
  const views = new Map<ServerName, ServerView>();

  return {
    record: (server, load) => {
      const view = getServerView(server);
      view.report = load;
      view.reportedAt = clock.now();
    },
    startRequest: (server) => {
      const view = getServerView(server);
      view.ownInFlight += 1;
      return () => {
        view.ownInFlight -= 1;
      };
    },
    choose: (candidates, dataCentre) => {
      const remaining = [...candidates];
      let best: ServerCandidate | undefined;
      let bestCost = Number.POSITIVE_INFINITY;
      for (let draw = 0; draw < SAMPLE_SIZE && remaining.length > 0; draw += 1) {
        const [drawn] = remaining.splice(Math.floor(random() * remaining.length), 1);
        const drawnCost = drawn === undefined ? bestCost : estimateCost(drawn, dataCentre);
        if (drawnCost < bestCost) {
          best = drawn;
          bestCost = drawnCost;
        }
      }
      return best;
    },
  };

  function getServerView(server: ServerName): ServerView {
    let view = views.get(server);
    if (view === undefined) {
      const report = { inFlight: 0, queued: 0, limit: 0, latencyMs: DEFAULT_LATENCY_MS };
      view = { report, reportedAt: Number.NEGATIVE_INFINITY, ownInFlight: 0 };
      views.set(server, view);
    }
    return view;
  }

  /**
   * Estimates the time until an answer: requests up to and including this one, divided by the capacity, times
   * the latency, and more for a remote data centre.
   */
  function estimateCost(candidate: ServerCandidate, dataCentre: DataCentreName): number {
    const view = getServerView(candidate.name);
    const isFresh = clock.now() - view.reportedAt < MAX_REPORT_AGE_MS;
    const reported = isFresh ? view.report.inFlight + view.report.queued : 0;
    const requestsAhead = Math.max(reported, view.ownInFlight);
    const capacity = isFresh && view.report.limit > 0 ? view.report.limit : candidate.slots;
    const distanceFactor = candidate.dataCentre === dataCentre ? 1 : REMOTE_COST_FACTOR;
    return ((requestsAhead + 1) / capacity) * estimateLatencyMs(view) * distanceFactor;
  }

  /**
   * Decays the latency of an old report towards the default, so that a server that was slow is selected
   * again.
   */
  function estimateLatencyMs(view: ServerView): number {
    const ageMs = Math.max(0, clock.now() - view.reportedAt - MAX_REPORT_AGE_MS);
    const weight = 0.5 ** (ageMs / LATENCY_HALF_LIFE_MS);
    return Math.max(1, DEFAULT_LATENCY_MS + (view.report.latencyMs - DEFAULT_LATENCY_MS) * weight);
  }
}
