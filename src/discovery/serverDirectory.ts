/** Directory of the backend servers in the object store, and of whether they may get new work. */
import Emittery from "emittery";
import { describeError } from "../errors";
import { type Logger, Event } from "../observability";
import { type StoredObject, getObjectName, getTimeline } from "../objectStore";
import type { CancelTimer, Clock, DataCentreName, ServerName, ServiceName, Version } from "../types";
import { createColdServers } from "./coldServers";
import { type ServerProcess, createLeavingServers } from "./leavingServers";
import { type ServerEntry, createRemovedServers } from "./removedServers";
import {
  type DiscoveredServer,
  type ServerDecoder,
  ServerPhase,
  type StatedColdness,
  type StatedDeparture,
} from "./types";

/** Delays removals after an outage of the store: entries that expired during it return within this time. */
const OUTAGE_GRACE_MS = 2000;
/**
 * The entry of a server that has ended expires within this time: three heartbeats of a second at most, and the
 * delay of the report.
 */
const ENTRY_EXPIRY_MS = 4000;

/** Options for {@link createServerDirectory}. */
export interface ServerDirectoryOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly decode: ServerDecoder;
  /** Returns how long a backend server of the service is cold after its start, in milliseconds. */
  readonly getColdMs: (service: ServiceName) => number;
}

/** Directory of the known backend servers. */
export interface ServerDirectory {
  /** Emits `changed` after servers were added, changed or removed, or the exclusions were set. */
  readonly events: Emittery<{ changed: undefined }>;
  /** Replaces all entries with a complete list. */
  replaceAll(objects: readonly StoredObject[]): void;
  /** Applies changed and removed entries. */
  applyChanges(objects: readonly StoredObject[], removed: readonly string[]): void;
  /** Records that the object store answers again after an outage, during which entries may have expired. */
  recordStoreRecovery(): void;
  /** Sets the data centres that operators have taken out of service. */
  setExcluded(dataCentres: ReadonlySet<DataCentreName>): void;
  /** Returns a server in any phase; undefined when it is not known. */
  get(name: ServerName): DiscoveredServer | undefined;
  /** Returns a server as it was last listed, also if it has left the directory lately. */
  findLast(name: ServerName): DiscoveredServer | undefined;
  /** Returns the servers of a service as they were last listed, with those that have left the directory lately. */
  getLastByService(service: ServiceName): readonly DiscoveredServer[];
  /** Returns all servers of a service, in any phase. */
  getByService(service: ServiceName): readonly DiscoveredServer[];
  /** Returns the servers of a service that may get new work. */
  getUsable(service: ServiceName): readonly DiscoveredServer[];
  /** Returns whether a server may get new work. */
  isUsable(server: DiscoveredServer): boolean;
  /** Returns whether a server may get new work by its entry and the exclusions, whatever it says in answers. */
  isListedUsable(server: DiscoveredServer): boolean;
  /** Returns whether a server is cold now. */
  isCold(server: DiscoveredServer): boolean;
  /** Records how long a server stays cold according to its own answer; never shortens the known time. */
  recordCold(name: ServerName, coldForMs: number): void;
  /** Returns what servers have told this daemon of being cold, for the coordinator. */
  shareColdAnswers(): StatedColdness;
  /** Returns all that this daemon knows of cold servers, for other daemons. */
  shareCold(): StatedColdness;
  /** Applies what another daemon knows of cold servers. */
  mergeCold(stated: StatedColdness): void;
  /** Records that a process has said in an answer that it is leaving. It gets no new work from now on. */
  recordLeaving(server: ServerProcess): void;
  /** Returns how long ago a process first said that it is leaving, in milliseconds; undefined when it has not. */
  findLeavingMs(server: ServerProcess): number | undefined;
  /** Returns what this daemon knows of leaving processes, for other daemons. */
  shareLeaving(): readonly StatedDeparture[];
  /** Applies what another daemon knows of leaving processes. */
  mergeLeaving(shared: readonly StatedDeparture[]): void;
  /** Returns whether a complete list has arrived. */
  hasList(): boolean;
}

/**
 * Creates an empty directory.
 *
 * @param options - Clock, logger and decoder.
 * @returns The directory.
 */
export function createServerDirectory(options: ServerDirectoryOptions): ServerDirectory {
  const { clock, logger } = options;
  const events = new Emittery<{ changed: undefined }>();
  const entries = new Map<ServerName, ServerEntry>();
  const removedServers = createRemovedServers(clock);
  /** Cancels the acceptance of an entry that may be older than the server's removal. */
  const pendingEntries = new Map<ServerName, CancelTimer>();
  const cold = createColdServers(clock);
  const leaving = createLeavingServers(clock);
  let byService = new Map<ServiceName, readonly DiscoveredServer[]>();
  let usableByService = new Map<ServiceName, readonly DiscoveredServer[]>();
  let excluded: ReadonlySet<DataCentreName> = new Set();
  let hasList = false;
  let graceUntil = Number.NEGATIVE_INFINITY;

  return {
    events,
    replaceAll: (objects) => {
      hasList = true;
      const present = new Set(objects.map((object) => getObjectName(object.path)));
      objects.forEach(applyEntry);
      [...pendingEntries.keys()].filter((name) => !present.has(name)).forEach(cancelPending);
      removeAll([...entries.keys()].filter((name) => !present.has(name)));
      publish();
    },
    recordStoreRecovery: () => {
      graceUntil = clock.now() + OUTAGE_GRACE_MS;
    },
    applyChanges: (objects, removed) => {
      removeAll(removed.map(getObjectName));
      objects.forEach(applyEntry);
      publish();
    },
    setExcluded: (dataCentres) => {
      for (const dataCentre of excluded) {
        if (!dataCentres.has(dataCentre)) {
          cold.recordReturn(dataCentre, 0);
        }
      }
      excluded = dataCentres;
      publish();
    },
    get: (name) => entries.get(name)?.server,
    findLast: (name) => (entries.get(name) ?? removedServers.find(name))?.server,
    getLastByService: (service) => [
      ...(byService.get(service) ?? []),
      ...removedServers.getByService(service),
    ],
    getByService: (service) => byService.get(service) ?? [],
    getUsable: (service) => usableByService.get(service) ?? [],
    isUsable,
    isListedUsable,
    isCold: (server) => clock.now() < getColdUntil(server),
    recordCold: (name, coldForMs) => {
      if (entries.has(name)) {
        cold.extend(name, coldForMs, "answer");
      }
    },
    shareColdAnswers: () => cold.shareAnswers(),
    shareCold: () => cold.shareAll(),
    mergeCold: ({ servers, returned }) => {
      for (const [name, coldForMs] of Object.entries(servers)) {
        if (entries.has(name)) {
          cold.extend(name, coldForMs, "daemon");
        }
      }
      for (const [dataCentre, agoMs] of Object.entries(returned)) {
        cold.recordReturn(dataCentre, agoMs);
      }
    },
    recordLeaving: (server) => {
      if (addLeaving(server, 0, "answer")) {
        publish();
      }
    },
    findLeavingMs: (server) => leaving.findLeavingMs(server),
    shareLeaving: () => leaving.share(),
    mergeLeaving: (shared) => {
      const added = shared.filter(({ server, bornAt, ageMs }) =>
        addLeaving({ name: server, bornAt }, ageMs, "daemon"),
      );
      if (added.length > 0) {
        publish();
      }
    },
    hasList: () => hasList,
  };

  function isUsable(server: DiscoveredServer): boolean {
    return isListedUsable(server) && leaving.findLeavingMs(server) === undefined;
  }

  function isListedUsable(server: DiscoveredServer): boolean {
    return server.phase === ServerPhase.Ready && !excluded.has(server.dataCentre);
  }

  /** Returns whether the statement is the first one of the process. */
  function addLeaving({ name, bornAt }: ServerProcess, ageMs: number, source: "answer" | "daemon"): boolean {
    const isFirst = leaving.record({ name, bornAt }, ageMs);
    if (isFirst) {
      logger.log(Event.ServerLeaving, { server: name, bornAt, source, ageMs: Math.round(ageMs) });
    }
    return isFirst;
  }

  /**
   * Returns when a server stops being cold. Servers may go cold while their data centre is excluded, so they
   * count as cold when it returns.
   */
  function getColdUntil(server: DiscoveredServer): number {
    const warmAfterReturnAt = cold.getReturnedAt(server.dataCentre) + options.getColdMs(server.service);
    return Math.max(cold.getUntil(server.name), warmAfterReturnAt);
  }

  function applyEntry(object: StoredObject): void {
    const name = getObjectName(object.path);
    const server = decode(name, object);
    const known = entries.get(name);
    cancelPending(name);
    if (server === undefined) {
      logger.log(Event.ServerEntryInvalid, { server: name, version: object.version });
      if (known !== undefined) {
        entries.delete(name);
        removedServers.add(known);
      }
      return;
    }
    if (known !== undefined && isRestored(object.version, known) && isNewer(known.server, server)) {
      return;
    }
    const removed = removedServers.find(name);
    if (removed !== undefined && isRestored(object.version, removed) && !isNewer(server, removed.server)) {
      acceptUnlessRemoved(server, object.version);
      return;
    }
    setEntry(server, object.version);
  }

  /** An entry on which the decoder itself fails names no server, and must not keep the others from being read. */
  function decode(name: ServerName, object: StoredObject): DiscoveredServer | undefined {
    try {
      return options.decode(name, object.value);
    } catch (error) {
      logger.log(Event.UnexpectedError, {
        step: "decode server entry",
        server: name,
        error: describeError(error),
      });
      return undefined;
    }
  }

  /** Returns whether a version is on a later timeline than an entry, so that its object may be the older one. */
  function isRestored(version: Version, entry: ServerEntry): boolean {
    return getTimeline(version) > getTimeline(entry.version);
  }

  /** A server that has left does not keep its restored entry, so that the entry expires; a live server's stays. */
  function acceptUnlessRemoved(server: DiscoveredServer, version: Version): void {
    const cancel = clock.schedule(ENTRY_EXPIRY_MS, () => {
      pendingEntries.delete(server.name);
      setEntry(server, version);
      publish();
    });
    pendingEntries.set(server.name, cancel);
  }

  function cancelPending(name: ServerName): void {
    pendingEntries.get(name)?.();
    pendingEntries.delete(name);
  }

  function setEntry(server: DiscoveredServer, version: Version): void {
    const { name } = server;
    const known = entries.get(name);
    const isSameProcess = known?.server.bornAt === server.bornAt;
    removedServers.delete(name);
    entries.set(name, { server, version });
    if (!isSameProcess) {
      cold.replace(name, server.coldForMs);
    } else if (known.version !== version) {
      // The time counts from the entry's last change, not from another list that repeats it.
      cold.extend(name, server.coldForMs, "entry");
    }
    if (!isSameProcess || known.server.phase !== server.phase) {
      logger.log(Event.ServerEntryChanged, {
        server: name,
        service: server.service,
        phase: server.phase,
        bornAt: server.bornAt,
        version,
      });
    }
  }

  function remove(name: ServerName): void {
    const entry = entries.get(name);
    if (entry !== undefined) {
      entries.delete(name);
      removedServers.add(entry);
      logger.log(Event.ServerEntryRemoved, { server: name });
    }
  }

  function removeAll(names: readonly ServerName[]): void {
    names.forEach(cancelPending);
    const graceMs = graceUntil - clock.now();
    if (graceMs > 0) {
      removeAfterGrace(names, graceMs);
      return;
    }
    names.forEach(remove);
  }

  /** Removes entries once the grace period is over, except those that have been replaced by then. */
  function removeAfterGrace(names: readonly ServerName[], graceMs: number): void {
    const expired = new Map(names.map((name) => [name, entries.get(name)]));
    clock.schedule(graceMs, () => {
      for (const [name, entry] of expired) {
        if (entries.get(name) === entry) {
          remove(name);
        }
      }
      publish();
    });
  }

  function publish(): void {
    byService = groupByService([...entries.values()].map((entry) => entry.server));
    usableByService = new Map(
      [...byService].map(([service, servers]) => [service, servers.filter(isUsable)]),
    );
    void events.emit("changed", undefined);
  }
}

/** Returns whether a statement of a server about itself is newer than another one. */
function isNewer(statement: DiscoveredServer, other: DiscoveredServer): boolean {
  return statement.bornAt === other.bornAt
    ? statement.sequence > other.sequence
    : statement.bornAt > other.bornAt;
}

function groupByService(servers: readonly DiscoveredServer[]): Map<ServiceName, readonly DiscoveredServer[]> {
  const groups = new Map<ServiceName, DiscoveredServer[]>();
  for (const server of servers) {
    const group = groups.get(server.service) ?? [];
    group.push(server);
    groups.set(server.service, group);
  }
  return groups;
}
