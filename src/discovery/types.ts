/** Types of discovered backend servers. */
import type { Address, DataCentreName, ServerName, ServiceName, Version } from "../types";

/** Whether a backend server accepts new work. */
export const ServerPhase = { Ready: "ready", Draining: "draining" } as const;
export type ServerPhase = (typeof ServerPhase)[keyof typeof ServerPhase];

/** A backend server as described by its own entry in the object store. */
export interface DiscoveredServer {
  readonly name: ServerName;
  /** Start of its process in Unix milliseconds; another value means another process, which holds no keys. */
  readonly bornAt: number;
  readonly service: ServiceName;
  readonly address: Address;
  readonly dataCentre: DataCentreName;
  /** Number of requests that it can run concurrently. */
  readonly slots: number;
  readonly phase: ServerPhase;
  /** Number of the process's latest statement about itself; later ones have higher numbers. */
  readonly sequence: number;
  /** How long it stays cold, in milliseconds, counted from the entry's last change. */
  readonly coldForMs: number;
}

/** What a daemon knows of the rate limit that a backend server named. */
export interface StatedRateLimit {
  readonly server: ServerName;
  readonly bornAt: number;
  /** Requests per second from all daemons together; null when the server named no limit. */
  readonly requestsPerSecond: number | null;
  /** Age of the server's statement in milliseconds. */
  readonly ageMs: number;
}

/** What a daemon knows of a backend server that said in an answer that it is leaving. */
export interface StatedDeparture {
  readonly server: ServerName;
  readonly bornAt: number;
  /** Time since the server's first known statement, in milliseconds. */
  readonly ageMs: number;
}

/** What a daemon knows of backend servers that are cold. */
export interface StatedColdness {
  /** Remaining time of each cold server, in milliseconds. */
  readonly servers: Readonly<Record<ServerName, number>>;
  /** Time since data centres returned to service, whose servers count as cold then, in milliseconds. */
  readonly returned: Readonly<Record<DataCentreName, number>>;
}

/** What a daemon knows of the data centres that operators have taken out of service. */
export interface StatedExclusions {
  /** Version of the object store that the exclusions come from. */
  readonly version: Version;
  readonly dataCentres: readonly DataCentreName[];
}

/** Share of the requests for its keys that an overloaded owner can take. */
export interface StatedOwnerShare {
  readonly server: ServerName;
  /** From 0 to 1. */
  readonly share: number;
}

/** Decodes a stored entry; returns undefined when it does not describe a usable backend server. */
export type ServerDecoder = (name: string, value: unknown) => DiscoveredServer | undefined;
