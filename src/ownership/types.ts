/** Types of key ownership: states of backend servers, and control calls to them. */
import type { SlotEpoch } from "../assignments";
import type { DaemonName, Generation, ServerName, ServiceName, Slot } from "../types";

/** State of a backend server as its leaseholder sees it. */
export const ServerState = {
  /** Not reached yet by this leaseholder, or unreachable without proof that its work has stopped. */
  Unknown: "unknown",
  Up: "up",
  Cold: "cold",
  /** The server reports that it is draining. */
  Draining: "draining",
  /** Unreachable, and all its work has provably stopped. */
  Lost: "lost",
} as const;
export type ServerState = (typeof ServerState)[keyof typeof ServerState];

/** A leaseholder's report on the state of its server. */
export interface ServerStatus {
  readonly service: ServiceName;
  readonly server: ServerName;
  readonly generation: Generation;
  /** Rises with each report of one generation, since reports may arrive out of order. */
  readonly sequence: number;
  readonly state: ServerState;
  readonly reporter: DaemonName;
}

/** A backend server's report on its own state. */
export interface ServerReport {
  /** Changes with each start of the server's process. */
  readonly bootId: string;
  /** The server's monotonic clock in milliseconds. */
  readonly clockMs: number;
  /** Number of requests running now, as counted by the server. */
  readonly running: number;
  readonly isCold: boolean;
  readonly isDraining: boolean;
}

/** A control call to a fenced server. */
export interface LeaseCall {
  readonly generation: Generation;
  /** Rises with each call of one generation; a server ignores calls that arrive out of order. */
  readonly sequence: number;
  /** Boot id of the process that the call is meant for; a process with another boot id changes no grants. */
  readonly bootId: string | null;
  /** Time on the server's clock until which grants are valid; 0 keeps the current value. */
  readonly validUntilMs: number;
  readonly grant: readonly SlotEpoch[];
  readonly revoke: readonly Slot[];
}

/** A fenced server's answer to a control call. */
export type LeaseAnswer =
  | {
      readonly kind: "accepted";
      readonly report: ServerReport;
      /** Revoked slots whose earlier requests are still running. */
      readonly stillRunning: readonly Slot[];
      /** Number of times that the server dropped all grants because the lease had expired. */
      readonly lapses: number;
    }
  /** A newer generation holds the lease. */
  | { readonly kind: "fenced"; readonly generation: Generation };

/** Control calls to backend servers. They throw ServerUnreachableError when no answer arrives. */
export interface ServerControl {
  /** Renews the lease, grants and revokes slots at a fenced server. */
  lease(call: LeaseCall): Promise<LeaseAnswer>;
  /** Reads the report of an unfenced server. */
  health(): Promise<ServerReport>;
  /**
   * Returns whether the server's address refuses connections, which happens only when the process has
   * stopped.
   */
  refusesConnections(): Promise<boolean>;
  /** Closes the connections for control calls. */
  close(): void;
}
