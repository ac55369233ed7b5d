/** What is known about a request that did not get a whole answer. */

/** `not-run`: certainly not executed by a backend server. `unknown`: it may have been. */
export const Outcome = {
  NotRun: "not-run",
  Unknown: "unknown",
} as const;
export type Outcome = (typeof Outcome)[keyof typeof Outcome];

/** Why a request was refused or failed. Each reason has its own counter. */
export const RefusalReason = {
  UnknownService: "unknown-service",
  MissingKey: "missing-key",
  InvalidRequest: "invalid-request",
  HeadersTooLarge: "headers-too-large",
  NotReady: "not-ready",
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
  PeerConnectionLost: "peer-connection-lost",
  DuplicateInProgress: "duplicate-in-progress",
  CallerGone: "caller-gone",
  RetryBudget: "retry-budget",
} as const;
export type RefusalReason = (typeof RefusalReason)[keyof typeof RefusalReason];

/** A request that ended without a whole answer. */
export interface Failure {
  readonly outcome: Outcome;
  readonly reason: RefusalReason;
  /** The step at which it ended, for example `forward` or `send`. */
  readonly step: string;
  /** The peer at that step: a daemon or backend server name. */
  readonly peer?: string | undefined;
}
