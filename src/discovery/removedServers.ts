/** Entries of servers that have left the directory lately: their processes may run on, and a restored store lists them. */
import type { Clock, ServerName, ServiceName, Version } from "../types";
import type { DiscoveredServer } from "./types";

/** Exceeds the age of the copies that a store is restored from. */
const RETENTION_MS = 60_000;

/** Entry of a server in the object store. */
export interface ServerEntry {
  readonly server: DiscoveredServer;
  readonly version: Version;
}

/** Servers that have left the directory within the last minute. */
export interface RemovedServers {
  /** Records that a server has left the directory. */
  add(entry: ServerEntry): void;
  /** Records that a server is listed again. */
  delete(name: ServerName): void;
  /** Returns the last entry of a server; undefined when it has not left the directory lately. */
  find(name: ServerName): ServerEntry | undefined;
  /** Returns the servers of a service as they were last listed. */
  getByService(service: ServiceName): readonly DiscoveredServer[];
}

/**
 * Creates an empty record.
 *
 * @param clock - Clock that measures how long entries are kept.
 * @returns The record.
 */
export function createRemovedServers(clock: Clock): RemovedServers {
  const removed = new Map<ServerName, { readonly entry: ServerEntry; readonly removedAt: number }>();

  return {
    add: (entry) => {
      const now = clock.now();
      for (const [name, { removedAt }] of removed) {
        if (now - removedAt > RETENTION_MS) {
          removed.delete(name);
        }
      }
      removed.set(entry.server.name, { entry, removedAt: now });
    },
    delete: (name) => {
      removed.delete(name);
    },
    find: (name) => removed.get(name)?.entry,
    getByService: (service) =>
      [...removed.values()].map(({ entry }) => entry.server).filter((server) => server.service === service),
  };
}
