/** Catalogue of log events. docs/LOGS.md lists the same numbers; a test holds both equal. */

/** Severity of a log event. */
export const Severity = { Debug: "debug", Info: "info", Warn: "warn", Error: "error" } as const;
export type Severity = (typeof Severity)[keyof typeof Severity];

/** One kind of log event. */
export interface EventKind {
  readonly number: number;
  readonly severity: Severity;
  readonly message: string;
}

function event(number: number, severity: Severity, message: string): EventKind {
  return { number, severity, message };
}

/** All log events, by name. Numbers are never reused. */
export const Event = {
  DaemonStarted: event(1001, Severity.Info, "daemon started"),
  DaemonReady: event(1002, Severity.Info, "daemon ready for callers"),
  ShutdownStarted: event(1003, Severity.Info, "graceful shutdown started"),
  ShutdownFinished: event(1004, Severity.Info, "graceful shutdown finished"),
  ShutdownDeadline: event(1005, Severity.Warn, "graceful shutdown passed its deadline"),
  UnexpectedError: event(1006, Severity.Error, "unexpected error; the daemon continues"),
  ProcessPaused: event(1007, Severity.Warn, "process was paused"),
  PlatformUnavailable: event(1101, Severity.Warn, "platform unavailable"),
  PlatformAvailable: event(1102, Severity.Info, "platform available again"),
  HistoryLost: event(1103, Severity.Warn, "history of changes is gone; objects are listed again"),
  SnapshotAccepted: event(1201, Severity.Info, "newer snapshot accepted"),
  SnapshotInvalid: event(1202, Severity.Error, "snapshot refused because its content is invalid"),
  MemberAlive: event(1301, Severity.Info, "member alive"),
  MemberSuspect: event(1302, Severity.Info, "member suspected"),
  MemberDead: event(1303, Severity.Warn, "member dead"),
  PeerConnected: event(1401, Severity.Info, "peer connected"),
  PeerDisconnected: event(1402, Severity.Info, "peer disconnected"),
  PeerRefused: event(1403, Severity.Warn, "peer refused"),
  LeaseClaimed: event(1501, Severity.Info, "lease for backend server claimed"),
  LeaseLost: event(1502, Severity.Warn, "lease for backend server lost"),
  LeaseHandedOver: event(1503, Severity.Info, "lease for backend server handed over"),
  ServerUp: event(1504, Severity.Info, "backend server up"),
  ServerUnreachable: event(1505, Severity.Warn, "backend server unreachable"),
  ServerRestarted: event(1506, Severity.Warn, "backend server restarted with empty grants"),
  ServerLost: event(1507, Severity.Warn, "backend server proved stopped"),
  StopNotProved: event(1508, Severity.Warn, "backend server may still run work; its slots stay in place"),
  SlotsMoved: event(1509, Severity.Info, "slots moved"),
  LeaseholdersPlaced: event(1510, Severity.Info, "leaseholders placed"),
  PlanFailed: event(1511, Severity.Warn, "plan could not be written; it is made again"),
  ServerCold: event(1601, Severity.Info, "backend server cold; admission ramps from one request"),
  ServerEntry: event(1801, Severity.Info, "backend server entry is new or has another phase"),
  ServerGone: event(1802, Severity.Info, "backend server entry is gone; it gets no new work"),
  ServerEntryInvalid: event(1803, Severity.Warn, "backend server entry cannot be read; it is ignored"),
  ConfigurationAccepted: event(1811, Severity.Info, "routing configuration in force"),
  ConfigurationRefused: event(
    1812,
    Severity.Error,
    "routing configuration cannot be read; the last one stays in force",
  ),
  ExclusionsChanged: event(1813, Severity.Info, "data centres that operators have taken out changed"),
  CoordinatorElected: event(1821, Severity.Info, "this daemon coordinates key ownership"),
  CoordinatorResigned: event(1822, Severity.Info, "this daemon no longer coordinates key ownership"),
  CoordinatorLeaseFailed: event(1823, Severity.Warn, "coordinator lease could not be renewed"),
  RangesPlaced: event(1824, Severity.Info, "key ranges have new owners"),
  RangesReleased: event(1825, Severity.Info, "backend server released key ranges"),
  GrantFailed: event(1826, Severity.Warn, "grant or release got no answer"),
  GrantFenced: event(1827, Severity.Warn, "backend server has seen a higher fencing token"),
  AssignmentRefused: event(1828, Severity.Error, "stored key assignment cannot be read"),
  RequestRefused: event(1831, Severity.Info, "request refused; it has not run"),
  RequestUnknown: event(1832, Severity.Warn, "request ended without an answer; it may have run"),
  RequestRetried: event(1833, Severity.Info, "request sent again"),
  LinesSuppressed: event(1841, Severity.Info, "log lines left out to bound the volume"),
  SettingsReloaded: event(1851, Severity.Info, "settings read again"),
  RequestFailed: event(1701, Severity.Debug, "request ended without an answer"),
} as const;
