/** Checks the records of callers and backend servers against the promises. */
import type { RunRecord } from "../edge/backendServer";

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
  /** Whether the daemon must know all routes that were added two seconds before the attempt. */
  readonly isConfigurationDue: boolean;
}

/** A promise, named by its violation, and the cases that broke it. */
type Check = readonly [what: string, cases: readonly string[]];

/** Everything that a soak has recorded. */
export interface SoakFacts {
  readonly attempts: readonly AttemptRecord[];
  readonly runs: readonly RunRecord[];
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
    ["a server ran what nobody asked", [...runsById.keys()].filter((id) => !attemptsById.has(id))],
  ];
  const timedChecks: readonly Check[] = [
    [
      "a leaving server got new work",
      facts.runs
        .filter(
          (run) => isAfterDrainLimit(run) && attemptsById.get(run.requestId)?.isDaemonUndisturbed === true,
        )
        .map((run) => run.requestId),
    ],
    ["a server got more than its rate limit", findExceededRateLimits(facts.runs, attemptsById)],
    [
      "an undisturbed request was broken off",
      listIds(facts.attempts, (each) => each.isUndisturbed && !hasLeftEarly(each) && isBrokenOff(each)),
    ],
    [
      "an added route was not served",
      listIds(facts.attempts, (each) => each.isConfigurationDue && isRouteMissing(each)),
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
