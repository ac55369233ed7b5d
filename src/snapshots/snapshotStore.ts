/** Keeps the newest valid version of each object; a version never decreases. */
import Emittery from "emittery";
import murmurhash from "murmurhash";
import { CONFIGURATION_PATH, type ConfigurationDocument, parseConfigurationDocument } from "../configuration";
import { describeError } from "../errors";
import { type Counters, Event, type Logger } from "../observability";
import {
  type Assignment,
  STOP_NOTICE_PATH,
  type StopNotice,
  getAssignmentPath,
  isAssignmentPath,
  parseAssignment,
  parseStopNotice,
} from "../assignments";
import type { ServiceName } from "../types";
import type { RawSnapshot, Snapshot, SnapshotVersions } from "./types";

type Document =
  | { readonly kind: "configuration"; readonly content: ConfigurationDocument }
  | { readonly kind: "assignment"; readonly content: Assignment }
  | { readonly kind: "stopNotice"; readonly content: StopNotice };

interface Entry {
  readonly raw: RawSnapshot;
  readonly document: Document;
}

/** Store of the newest known version of each object. */
export interface SnapshotStore {
  /** Emits `changed` after a newer version was accepted. */
  readonly events: Emittery<{ changed: RawSnapshot }>;
  /** Stores an object if it is valid and newer than the known version. Returns whether it was stored. */
  apply(raw: RawSnapshot): boolean;
  /** Returns the configuration in force; undefined when none is known. */
  findConfiguration(): Snapshot<ConfigurationDocument> | undefined;
  /** Returns the assignment of a service; undefined when none is known. */
  findAssignment(service: ServiceName): Snapshot<Assignment> | undefined;
  /** Returns the assignments of all services. */
  getAssignments(): readonly Snapshot<Assignment>[];
  /** Returns the daemons and backend servers that operators declared stopped. */
  getStopNotice(): StopNotice;
  /** Returns a digest of the known versions; stores with different versions almost certainly differ in it. */
  computeDigest(): number;
  /** Returns the version of each object. */
  getVersions(): SnapshotVersions;
  /** Returns the objects that are newer here than in `versions`. */
  listNewerThan(versions: SnapshotVersions): readonly RawSnapshot[];
}

const emptyNotice: StopNotice = { daemons: [], servers: [] };

/**
 * Creates an empty store.
 *
 * @param logger - Logger of accepted and rejected objects.
 * @param counters - Counters of rejected objects.
 * @returns The store.
 */
export function createSnapshotStore(logger: Logger, counters: Counters): SnapshotStore {
  const events = new Emittery<{ changed: RawSnapshot }>();
  const entries = new Map<string, Entry>();
  let digest = 0;

  return {
    events,
    apply: (raw) => {
      if (raw.version <= (entries.get(raw.path)?.raw.version ?? 0)) {
        return false;
      }
      const document = parseDocument(raw);
      if (document === undefined) {
        return false;
      }
      entries.set(raw.path, { raw, document });
      digest = computeDigest();
      logger.log(Event.SnapshotAccepted, { path: raw.path, version: raw.version });
      void events.emit("changed", raw);
      return true;
    },
    findConfiguration: () => {
      const entry = entries.get(CONFIGURATION_PATH);
      return entry?.document.kind === "configuration" ? toSnapshot(entry, entry.document.content) : undefined;
    },
    findAssignment: (service) => toAssignmentSnapshot(entries.get(getAssignmentPath(service))),
    getAssignments: () => [...entries.values()].flatMap((entry) => toAssignmentSnapshot(entry) ?? []),
    getStopNotice: () => {
      const document = entries.get(STOP_NOTICE_PATH)?.document;
      return document?.kind === "stopNotice" ? document.content : emptyNotice;
    },
    computeDigest: () => digest,
    getVersions: () => Object.fromEntries([...entries].map(([path, entry]) => [path, entry.raw.version])),
    listNewerThan: (versions) =>
      [...entries.values()]
        .map((entry) => entry.raw)
        .filter((raw) => raw.version > (versions[raw.path] ?? 0)),
  };

  function computeDigest(): number {
    const versions = [...entries].map(([path, entry]) => `${path}=${entry.raw.version}`);
    return murmurhash.v3(versions.sort().join("\n"));
  }

  function parseDocument(raw: RawSnapshot): Document | undefined {
    try {
      return parseByPath(raw);
    } catch (error) {
      counters.increment("snapshots.refused", "invalid");
      logger.log(Event.SnapshotInvalid, {
        path: raw.path,
        version: raw.version,
        error: describeError(error),
      });
      return undefined;
    }
  }
}

function parseByPath(raw: RawSnapshot): Document | undefined {
  if (raw.path === CONFIGURATION_PATH) {
    return { kind: "configuration", content: parseConfigurationDocument(raw.value) };
  }
  if (raw.path === STOP_NOTICE_PATH) {
    return { kind: "stopNotice", content: parseStopNotice(raw.value) };
  }
  if (isAssignmentPath(raw.path)) {
    return { kind: "assignment", content: parseAssignment(raw.value) };
  }
  return undefined;
}

function toAssignmentSnapshot(entry: Entry | undefined): Snapshot<Assignment> | undefined {
  return entry?.document.kind === "assignment" ? toSnapshot(entry, entry.document.content) : undefined;
}

function toSnapshot<Value>(entry: Entry, value: Value): Snapshot<Value> {
  return { version: entry.raw.version, value };
}
