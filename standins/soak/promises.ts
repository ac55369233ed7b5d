/** Checks the records of callers and backend servers against the promises. */
import type { BackOffRecord, RunRecord } from "../edge/backendServer";
import type { BoundedRecord } from "./boundedCallers";
import { findExcess, findForeign, findUnauthorized } from "./organisationPromises";
import type { SeriesRecord } from "./pipeliningCallers";

/** Time after which the rate limit that a backend server names holds. */
const RATE_LIMIT_DELAY_MS = 3000;
/** In any window of this length, a server may get this multiple of its rate limit, and some requests more. */
const RATE_LIMIT_WINDOW_MS = 4000;
const RATE_LIMIT_RATIO = 1.5;
const RATE_LIMIT_SLACK = 5;
const MILLISECONDS_PER_SECOND = 1000;
/** Longest time for which a backend server may get new work after it has announced that it drains. */
const DRAIN_LIMIT_MS = 2000;
/** Longest time after a caller's departure in which its request may still reach a backend server. */
const DEPARTURE_LIMIT_MS = 500;
/** Callers that leave early do so within this time; the others wait longer for an answer. */
const MIN_PATIENCE_MS = 1000;
/** After a refusal that asks for no requests, those on their way may still arrive for this time. */
const BACK_OFF_DELAY_MS = 500;
/** Requests that may reach a server from one daemon in the rest of the time that it asked for. */
const MAX_BACK_OFF_REQUESTS = 2;
/** Tolerance for delays of the soak's own clock and event loop. */
const TOLERANCE_MS = 250;

/** Result of one attempt as its caller saw it. */
export interface AttemptRecord {
  readonly requestId: string;
  readonly daemon: string;
  /** An `added` request uses a route that was added to the configuration some time ago. */
  readonly kind: "lookup" | "order" | "bundle" | "added";
  readonly sentAt: number;
  readonly endedAt: number;
  /** When the caller closed its connection without an answer; undefined when it did not. */
  readonly leftAt: number | undefined;
  /** HTTP status; undefined when the connection broke or no complete answer arrived in time. */
  readonly status: number | undefined;
  /** Whether the answer was the backend server's, complete and with its signature. */
  readonly isWhole: boolean;
  /**
   * Whether the daemon, its store endpoint, the links and the backend servers were undisturbed from some
   * seconds before the attempt until its end.
   */
  readonly isUndisturbed: boolean;
  /**
   * Whether the daemon and its store endpoint were undisturbed from some seconds before the attempt until its
   * end.
   */
  readonly isDaemonUndisturbed: boolean;
  /** Local time of the daemon's latest disturbance, as of the end of the attempt. */
  readonly daemonDisturbedAt: number;
  /** Whether the daemon was stopping at some time during the attempt. */
  readonly wasStopping: boolean;
  /**
   * Whether from some seconds before the attempt until its end nothing but planned stops, reloads and changes of the
   * configuration affected the daemon, its store endpoint, the links and the backend servers.
   */
  readonly isOrderly: boolean;
  /**
   * Whether the daemon and its access to the store were undisturbed from some seconds before the attempt until its
   * end. It must then know all routes that were added, and all servers that announced their end, two seconds before.
   */
  readonly isInTouch: boolean;
}

/** A promise, named by its violation, and the cases that broke it. */
type Check = readonly [what: string, cases: readonly string[]];

/** Everything that a soak has recorded. */
export interface SoakFacts {
  readonly attempts: readonly AttemptRecord[];
  readonly runs: readonly RunRecord[];
  /** Refusals with which servers asked for no requests for a time. */
  readonly backOffs: readonly BackOffRecord[];
  /** Series of requests that were sent ahead. */
  readonly series: readonly SeriesRecord[];
  /** Requests of the organisation with an allowance, and such without a valid API key. */
  readonly bounded: readonly BoundedRecord[];
  /** Descriptions of keys that two backend servers owned at once. */
  readonly ownershipConflicts: readonly string[];
  /** Returns whether no fault disturbed links or backend servers while the request could be on its way. */
  readonly wereLinksUndisturbed: (attempt: AttemptRecord, run: RunRecord) => boolean;
  /** Time from which on all requests must be served again. */
  readonly recoveredAt: number;
  /** Whether promises with a time bound are checked. */
  readonly checksTimeBounds: boolean;
}

/** HTTP statuses that state that the request has not run. */
const notRunStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);
/** Minimum share of the requests sent after recovery that must be served. */
const MIN_SERVED_SHARE = 0.95;

/**
 * Finds broken promises.
 *
 * @param facts - Records of the soak.
 * @returns One line for each kind of broken promise; empty when all held.
 */
export function findBrokenPromises(facts: SoakFacts): readonly string[] {
  const runsById = new Map<string, RunRecord[]>();
  for (const run of facts.runs) {
    runsById.set(run.requestId, [...(runsById.get(run.requestId) ?? []), run]);
  }
  const getRuns = (requestId: string) => runsById.get(requestId) ?? [];
  const attemptsById = new Map(facts.attempts.map((attempt) => [attempt.requestId, attempt]));
  const boundedIds = new Set(facts.bounded.map(({ requestId }) => requestId));
  const askedIds = new Set([
    ...attemptsById.keys(),
    ...facts.series.flatMap(({ requestIds }) => requestIds),
    ...boundedIds,
  ]);
  const attemptsAfterRecovery = facts.attempts.filter(
    (attempt) => attempt.sentAt >= facts.recoveredAt && !hasLeftEarly(attempt),
  );
  const servedAfterRecovery = attemptsAfterRecovery.filter((attempt) => attempt.status === 200);
  const untimedChecks: readonly Check[] = [
    ["a key had two owners", facts.ownershipConflicts],
    [
      "an order ran twice",
      [...runsById].filter(([, runs]) => runs.filter((run) => run.isUnsafe).length > 1).map(([id]) => id),
    ],
    [
      "an order was called not run, but ran",
      listIds(
        facts.attempts,
        (attempt) => isOrderReportedNotRun(attempt) && getRuns(attempt.requestId).length > 0,
      ),
    ],
    ["an answer was not the server's whole answer", listIds(facts.attempts, isCorruptAnswer)],
    [
      "an answer came though nothing ran",
      listIds(facts.attempts, (each) => each.status === 200 && getRuns(each.requestId).length === 0),
    ],
    ["a request reached a server with an API key, or under another organisation", findForeign(facts)],
    ["a request without a valid API key ran or was served", findUnauthorized(facts)],
    ["a server ran what nobody asked", [...runsById.keys()].filter((id) => !askedIds.has(id))],
    [
      "answers to requests sent ahead came in another order",
      facts.series
        .filter(({ requestIds, answeredIds }) => answeredIds.some((id, index) => id !== requestIds[index]))
        .map(({ requestIds }) => requestIds[0] ?? ""),
    ],
    [
      "a request behind an answer that closed the connection ran",
      facts.series
        .filter(({ isClosedByAnswer }) => isClosedByAnswer)
        .flatMap(({ requestIds, answeredIds }) => requestIds.slice(answeredIds.length))
        .filter((id) => getRuns(id).length > 0),
    ],
  ];
  const timedChecks: readonly Check[] = [
    ["an organisation exceeded its allowance", findExcess(facts.runs)],
    [
      "a leaving server got new work",
      facts.runs
        .filter((run) => isAfterDrainLimit(run) && attemptsById.get(run.requestId)?.isInTouch === true)
        .map((run) => run.requestId),
    ],
    [
      "a server that said that it leaves got new work from the same daemon",
      findWorkAfterDeparture(facts.runs, attemptsById),
    ],
    [
      "a server that asked for no requests got more than two from the same daemon",
      findWorkDuringBackOff(facts, attemptsById),
    ],
    ["a server got more than its rate limit", findExceededRateLimits(facts.runs, attemptsById)],
    [
      "an undisturbed request was broken off",
      listIds(facts.attempts, (each) => {
        // A daemon that stops refuses connections in the end, and closes one that a request may be crossing.
        const wasTaken = !each.wasStopping || getRuns(each.requestId).length > 0;
        return each.isUndisturbed && !hasLeftEarly(each) && isBrokenOff(each) && wasTaken;
      }),
    ],
    [
      "a planned stop cut a request that a server had taken",
      listIds(
        facts.attempts,
        (each) =>
          each.wasStopping &&
          each.isOrderly &&
          !hasLeftEarly(each) &&
          isBrokenOff(each) &&
          getRuns(each.requestId).length > 0,
      ),
    ],
    [
      "an added route was not served",
      listIds(facts.attempts, (each) => each.isInTouch && isRouteMissing(each)),
    ],
    [
      "a request reached a server long after its caller had left",
      facts.runs
        .filter((run) => {
          const attempt = attemptsById.get(run.requestId);
          return (
            attempt !== undefined &&
            isAfterDeparture(attempt, run) &&
            facts.wereLinksUndisturbed(attempt, run)
          );
        })
        .map((run) => run.requestId),
    ],
    [
      `less than ${MIN_SERVED_SHARE} of the requests were served after the faults`,
      attemptsAfterRecovery.length > 0 &&
      servedAfterRecovery.length < attemptsAfterRecovery.length * MIN_SERVED_SHARE
        ? [`${servedAfterRecovery.length} of ${attemptsAfterRecovery.length}`]
        : [],
    ],
  ];
  return [...untimedChecks, ...(facts.checksTimeBounds ? timedChecks : [])]
    .filter(([, cases]) => cases.length > 0)
    .map(([what, cases]) => `${what}: ${cases.length} (${cases.slice(0, 3).join(", ")})`);
}

/** Finds the requests with which a server got more than its rate limit in one window, from undisturbed daemons. */
function findExceededRateLimits(
  runs: readonly RunRecord[],
  attemptsById: ReadonlyMap<string, AttemptRecord>,
): readonly string[] {
  const limited = runs.filter(
    ({ requestId, rateLimit, arrivedAt }) =>
      rateLimit !== undefined &&
      arrivedAt - rateLimit.since > RATE_LIMIT_DELAY_MS &&
      attemptsById.get(requestId)?.isDaemonUndisturbed === true,
  );
  return limited
    .filter((run) => {
      const perSecond = run.rateLimit?.requestsPerSecond ?? 0;
      const allowed =
        (RATE_LIMIT_WINDOW_MS / MILLISECONDS_PER_SECOND) * perSecond * RATE_LIMIT_RATIO + RATE_LIMIT_SLACK;
      const inWindow = limited.filter(
        ({ server, rateLimit, arrivedAt }) =>
          server === run.server &&
          rateLimit?.since === run.rateLimit?.since &&
          arrivedAt <= run.arrivedAt &&
          arrivedAt > run.arrivedAt - RATE_LIMIT_WINDOW_MS,
      );
      return inWindow.length > allowed;
    })
    .map((run) => run.requestId);
}

/** Finds runs at a server long after the same daemon passed on an answer in which it said that it leaves. */
function findWorkAfterDeparture(
  runs: readonly RunRecord[],
  attemptsById: ReadonlyMap<string, AttemptRecord>,
): readonly string[] {
  const firstPassedOn = new Map<string, number>();
  const withAttempts = runs.flatMap((run) => {
    const attempt = attemptsById.get(run.requestId);
    return attempt === undefined
      ? []
      : [{ run, attempt, pair: `${attempt.daemon}/${run.server}/${run.bornAt}` }];
  });
  for (const { run, attempt, pair } of withAttempts) {
    if (run.saysLeaving && attempt.status === 200) {
      firstPassedOn.set(pair, Math.min(attempt.endedAt, firstPassedOn.get(pair) ?? attempt.endedAt));
    }
  }
  return withAttempts
    .filter(({ attempt, pair }) => {
      const passedOnAt = firstPassedOn.get(pair) ?? Number.POSITIVE_INFINITY;
      const isLate = attempt.sentAt > passedOnAt + DRAIN_LIMIT_MS + TOLERANCE_MS;
      return isLate && attempt.daemonDisturbedAt < passedOnAt;
    })
    .map(({ run }) => run.requestId);
}

/** Finds refusals after which the same daemon sent more than two requests in the time that the server asked for. */
function findWorkDuringBackOff(
  { runs, backOffs }: Pick<SoakFacts, "runs" | "backOffs">,
  attemptsById: ReadonlyMap<string, AttemptRecord>,
): readonly string[] {
  const arrivals = [...runs.map((run) => ({ ...run, at: run.arrivedAt })), ...backOffs];
  return backOffs
    .filter((backOff) => {
      const daemon = attemptsById.get(backOff.requestId)?.daemon;
      const later = arrivals.filter(({ requestId, server, at }) => {
        const attempt = attemptsById.get(requestId);
        const isInTime = at > backOff.at + BACK_OFF_DELAY_MS && at < backOff.at + backOff.durationMs;
        const isSame = server === backOff.server && attempt?.daemon === daemon;
        return isInTime && isSame && (attempt?.daemonDisturbedAt ?? at) < backOff.at;
      });
      return daemon !== undefined && later.length > MAX_BACK_OFF_REQUESTS;
    })
    .map(({ requestId }) => requestId);
}

function listIds(
  attempts: readonly AttemptRecord[],
  isBrokenPromise: (attempt: AttemptRecord) => boolean,
): readonly string[] {
  return attempts.filter(isBrokenPromise).map((attempt) => attempt.requestId);
}

function isOrderReportedNotRun({ kind, status }: AttemptRecord): boolean {
  return kind === "order" && status !== undefined && notRunStatuses.has(status);
}

function isCorruptAnswer({ status, isWhole }: AttemptRecord): boolean {
  return status === 200 && !isWhole;
}

function isAfterDrainLimit({ at, drainingSince }: RunRecord): boolean {
  return drainingSince !== undefined && at - drainingSince > DRAIN_LIMIT_MS + TOLERANCE_MS;
}

/** Returns whether the caller left by its own choice, before its timeout. */
function hasLeftEarly({ leftAt, sentAt }: AttemptRecord): boolean {
  return leftAt !== undefined && leftAt - sentAt < MIN_PATIENCE_MS;
}

function isAfterDeparture({ leftAt }: AttemptRecord, { arrivedAt }: RunRecord): boolean {
  return leftAt !== undefined && arrivedAt - leftAt > DEPARTURE_LIMIT_MS + TOLERANCE_MS;
}

function isRouteMissing({ kind, status }: AttemptRecord): boolean {
  return kind === "added" && status === 404;
}

/** Returns whether a request got no answer, or the daemon had no route for it (404). */
function isBrokenOff({ status }: AttemptRecord): boolean {
  return status === undefined || status === 404;
}
