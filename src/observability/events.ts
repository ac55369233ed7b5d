/** Catalogue of log events. docs/LOGS.md lists the same events; a test checks that both agree. */

/** Severity of a log event. */
export const Severity = { Debug: "debug", Info: "info", Warn: "warn", Error: "error" } as const;
export type Severity = (typeof Severity)[keyof typeof Severity];

/** Number, severity and message of a log event. */
export interface EventKind {
  readonly number: number;
  readonly severity: Severity;
  readonly message: string;
}

function defineEvent(number: number, severity: Severity, message: string): EventKind {
  return { number, severity, message };
}

/** All log events, by name. Numbers are never reused. */
export const Event = {
  DaemonStarted: defineEvent(1001, Severity.Info, "daemon started"),
  DaemonReady: defineEvent(1002, Severity.Info, "daemon ready for callers"),
  ShutdownStarted: defineEvent(1003, Severity.Info, "graceful shutdown started"),
  ShutdownFinished: defineEvent(1004, Severity.Info, "graceful shutdown finished"),
  ShutdownDeadlineExceeded: defineEvent(1005, Severity.Warn, "graceful shutdown exceeded its deadline"),
  UnexpectedError: defineEvent(1006, Severity.Error, "unexpected error; the daemon continues"),
  ProcessPaused: defineEvent(1007, Severity.Warn, "process was paused"),
  ShutdownListenerClosed: defineEvent(
    1008,
    Severity.Info,
    "caller listener closed for the graceful shutdown",
  ),
  StopSignalRepeated: defineEvent(1009, Severity.Info, "stop signal received again; the shutdown goes on"),
  PlatformUnavailable: defineEvent(1101, Severity.Warn, "platform unavailable"),
  PlatformAvailable: defineEvent(1102, Severity.Info, "platform available again"),
  HistoryLost: defineEvent(
    1103,
    Severity.Warn,
    "change history no longer available; listing the objects again",
  ),
  StateRead: defineEvent(1104, Severity.Info, "changed objects read from the platform"),
  StateReadFailed: defineEvent(1105, Severity.Warn, "objects could not be read from the platform"),
  StoreRestored: defineEvent(
    1106,
    Severity.Warn,
    "object store was restored from a copy; objects that it lacks are removed unless they return soon",
  ),
  CoordinatorFollowed: defineEvent(
    1107,
    Severity.Info,
    "changes come from the coordinator; the object store is not watched",
  ),
  CoordinatorNotFollowed: defineEvent(
    1108,
    Severity.Info,
    "coordinator does not confirm the known state; it is read from the object store",
  ),
  SnapshotAccepted: defineEvent(1201, Severity.Info, "newer snapshot accepted"),
  SnapshotInvalid: defineEvent(1202, Severity.Error, "snapshot rejected: invalid content"),
  MemberAlive: defineEvent(1301, Severity.Info, "member alive"),
  MemberSuspect: defineEvent(1302, Severity.Info, "member suspected"),
  MemberDead: defineEvent(1303, Severity.Warn, "member dead or left"),
  PeerConnected: defineEvent(1401, Severity.Info, "peer connected"),
  PeerDisconnected: defineEvent(1402, Severity.Info, "peer disconnected"),
  PeerRefused: defineEvent(1403, Severity.Warn, "incoming peer connection rejected"),
  LeaseClaimed: defineEvent(1501, Severity.Info, "lease for backend server claimed"),
  LeaseLost: defineEvent(1502, Severity.Warn, "lease for backend server lost"),
  LeaseHandedOver: defineEvent(1503, Severity.Info, "lease for backend server handed over"),
  ServerUp: defineEvent(1504, Severity.Info, "backend server up"),
  ServerUnreachable: defineEvent(1505, Severity.Warn, "backend server unreachable"),
  ServerRestarted: defineEvent(1506, Severity.Warn, "backend server restarted without grants"),
  ServerLost: defineEvent(1507, Severity.Warn, "backend server confirmed stopped"),
  StopUnconfirmed: defineEvent(
    1508,
    Severity.Warn,
    "backend server may still be processing requests; its slots are not reassigned",
  ),
  SlotsMoved: defineEvent(1509, Severity.Info, "slots moved"),
  LeaseholdersPlaced: defineEvent(1510, Severity.Info, "leaseholders assigned"),
  PlanFailed: defineEvent(1511, Severity.Warn, "plan could not be written; it will be recomputed"),
  ServerCold: defineEvent(
    1601,
    Severity.Info,
    "backend server in cold start; admission ramps up from one request",
  ),
  ServerEntryChanged: defineEvent(1801, Severity.Info, "backend server entry added or its phase changed"),
  ServerEntryRemoved: defineEvent(
    1802,
    Severity.Info,
    "backend server entry removed; no new requests are sent to it",
  ),
  ServerEntryInvalid: defineEvent(
    1803,
    Severity.Warn,
    "backend server entry cannot be parsed; it is ignored",
  ),
  ServerRateLimitChanged: defineEvent(
    1804,
    Severity.Info,
    "backend server named, changed or withdrew its rate limit",
  ),
  ServerRateLimitInvalid: defineEvent(
    1805,
    Severity.Warn,
    "rate limit of a backend server cannot be read; the previous statement holds",
  ),
  PermitReplyMissing: defineEvent(
    1806,
    Severity.Info,
    "coordinator did not answer a request for a permit; this daemon keeps to its own share for a moment",
  ),
  ServerLeaving: defineEvent(
    1807,
    Severity.Info,
    "backend server said in an answer that it is leaving; no new requests are sent to it",
  ),
  ServerBackOff: defineEvent(
    1808,
    Severity.Info,
    "backend server refused a request and asked this daemon to send nothing for a time",
  ),
  ConfigurationAccepted: defineEvent(1811, Severity.Info, "routing configuration in force"),
  ConfigurationRefused: defineEvent(
    1812,
    Severity.Error,
    "routing configuration cannot be parsed; the previous one stays in force",
  ),
  ExclusionsChanged: defineEvent(1813, Severity.Info, "data centre exclusions changed"),
  ExclusionsInForce: defineEvent(
    1814,
    Severity.Info,
    "exclusions that the object store lists, or another daemon knows, are in force",
  ),
  CoordinatorElected: defineEvent(1821, Severity.Info, "this daemon became coordinator of key ownership"),
  CoordinatorResigned: defineEvent(
    1822,
    Severity.Info,
    "this daemon is no longer coordinator of key ownership",
  ),
  CoordinatorLeaseFailed: defineEvent(1823, Severity.Warn, "coordinator lease could not be renewed"),
  RangesPlaced: defineEvent(1824, Severity.Info, "key ranges assigned to new owners"),
  RangesReleased: defineEvent(1825, Severity.Info, "backend server released key ranges"),
  GrantFailed: defineEvent(1826, Severity.Warn, "grant or release failed or got no answer"),
  GrantFenced: defineEvent(1827, Severity.Warn, "backend server has seen a higher fencing token"),
  AssignmentRefused: defineEvent(1828, Severity.Error, "stored key assignment cannot be parsed"),
  AssignmentRestored: defineEvent(
    1829,
    Severity.Warn,
    "stored key assignment could not be relied on, since the object store was restored or keys had two owners; it has been replaced",
  ),
  GrantSlow: defineEvent(1830, Severity.Warn, "grant took long; it may have reached its server late"),
  RequestRefused: defineEvent(1831, Severity.Info, "request refused; it has not run"),
  RequestOutcomeUnknown: defineEvent(1832, Severity.Warn, "request ended without an answer; it may have run"),
  RequestRetried: defineEvent(1833, Severity.Info, "request retried"),
  AnswerBrokenOff: defineEvent(1834, Severity.Warn, "answer broken off; the caller got a part of it"),
  RequestCut: defineEvent(1835, Severity.Warn, "request cut off by the exit of the daemon; it may have run"),
  AllowanceExceeded: defineEvent(
    1836,
    Severity.Info,
    "organisation is beyond its allowance; its further requests get 429",
  ),
  ApiKeyRefused: defineEvent(
    1837,
    Severity.Info,
    "request without an API key of the configuration in force; it got 401",
  ),
  CallersClosed: defineEvent(
    1838,
    Severity.Warn,
    "too much was held for callers; the largest and slowest connections were refused or closed",
  ),
  LinesSuppressed: defineEvent(1841, Severity.Info, "log lines suppressed to limit the volume"),
  AssignmentOverlapping: defineEvent(
    1842,
    Severity.Error,
    "stored key assignment gives keys to two servers; all servers must release keys that are not their own",
  ),
  SettingsReloaded: defineEvent(1851, Severity.Info, "settings reloaded"),
  PerformanceReportDropped: defineEvent(
    1871,
    Severity.Warn,
    "report of server performance states impossible numbers; nothing of it counts",
  ),
  EffectiveSlotsChanged: defineEvent(
    1872,
    Severity.Info,
    "number of concurrent requests above which a backend server does little more work has changed",
  ),
  PriorityShortageStarted: defineEvent(
    1881,
    Severity.Warn,
    "service is short of capacity; less urgent requests are refused",
  ),
  PriorityShortageEnded: defineEvent(1882, Severity.Info, "service is no longer short of capacity"),
  PrioritySharesLocal: defineEvent(
    1883,
    Severity.Warn,
    "daemon decides on its own, without the coordinator, which priorities it refuses, or no longer refuses any",
  ),
  RequestFailed: defineEvent(1701, Severity.Debug, "request ended without an answer"),
} as const;
