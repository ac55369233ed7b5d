/** Types of discovered backend servers. */
import type { Address, DataCentreName, ServerName, ServiceName } from "../types";

/** Whether a backend server takes new work. */
export const ServerPhase = { Ready: "ready", Draining: "draining" } as const;
export type ServerPhase = (typeof ServerPhase)[keyof typeof ServerPhase];

/** A backend server as it describes itself in the object API. */
export interface DiscoveredServer {
  readonly name: ServerName;
  /** Start of its process in Unix milliseconds: another value is another process, which holds no keys. */
  readonly bornAt: number;
  readonly service: ServiceName;
  readonly address: Address;
  readonly dataCentre: DataCentreName;
  /** Requests that it runs at once. */
  readonly slots: number;
  readonly phase: ServerPhase;
  /** How long it stays cold, in milliseconds, as of the entry's last change. */
  readonly coldForMs: number;
}

/** Reads a stored entry; undefined when it describes no backend server that can be used. */
export type ServerDecoder = (name: string, value: unknown) => DiscoveredServer | undefined;
