/** Outcomes and reasons of requests that did not get a complete answer. */

/** Whether a request was executed. `not-run`: no backend server executed it. `unknown`: one may have. */
export const Outcome = {
  NotRun: "not-run",
  Unknown: "unknown",
} as const;
export type Outcome = (typeof Outcome)[keyof typeof Outcome];

/** Reason for which a request was refused or failed. Each reason is counted separately. */
export const RefusalReason = {
  UnknownService: "unknown-service",
  MissingKey: "missing-key",
  InvalidRequest: "invalid-request",
  HeadersTooLarge: "headers-too-large",
  NotReady: "not-ready",
  DaemonStopping: "daemon-stopping",
  NoOwner: "no-owner",
  NoLeaseholder: "no-leaseholder",
  LeaseholderUnreachable: "leaseholder-unreachable",
  NotLeaseholder: "not-leaseholder",
  LeaseNotHeld: "lease-not-held",
  OwnershipMoving: "ownership-moving",
  DataCentreOut: "data-centre-out",
  ServerLeaving: "server-leaving",
  NoServer: "no-server",
  TooManyRequests: "too-many-requests",
  QueueFull: "queue-full",
  QueueTimeout: "queue-timeout",
  DeadlineExceeded: "deadline-exceeded",
  ServerShed: "server-shed",
  ServerFenced: "server-fenced",
  ServerUnreachable: "server-unreachable",
  ServerConnectionLost: "server-connection-lost",
  MismatchedAnswer: "mismatched-answer",
  UnframedAnswer: "unframed-answer",
  InvalidStatus: "invalid-status",
  PeerConnectionLost: "peer-connection-lost",
  DuplicateInProgress: "duplicate-in-progress",
  CallerGone: "caller-gone",
  RetryBudget: "retry-budget",
} as const;
export type RefusalReason = (typeof RefusalReason)[keyof typeof RefusalReason];

/** A request that ended without a complete answer. */
export interface Failure {
  readonly outcome: Outcome;
  readonly reason: RefusalReason;
  /** The step at which it ended, for example `forward` or `send`. */
  readonly step: string;
  /** The peer at that step: a daemon or backend server name. */
  readonly peer?: string | undefined;
}
