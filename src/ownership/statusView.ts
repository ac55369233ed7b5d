/** The newest statement of each leaseholder about its server. */
import Emittery from "emittery";
import type { ServerName } from "../types";
import { ServerState, type ServerStatus } from "./types";

/** Statements about servers. */
export interface StatusView {
  /** `changed` is emitted after a new statement was taken. */
  readonly events: Emittery<{ changed: ServerStatus }>;
  /** Takes a statement unless a newer leaseholder has made one. Returns true when it was new. */
  apply(status: ServerStatus): boolean;
  /** State of a server. */
  getState(server: ServerName): ServerState;
  /** All statements. */
  all(): readonly ServerStatus[];
}

function isNewer(next: ServerStatus, known: ServerStatus): boolean {
  return next.generation === known.generation
    ? next.sequence > known.sequence
    : next.generation > known.generation;
}

/**
 * Creates an empty view.
 *
 * @returns The view.
 */
export function createStatusView(): StatusView {
  const events = new Emittery<{ changed: ServerStatus }>();
  const statuses = new Map<ServerName, ServerStatus>();
  return {
    events,
    apply: (status) => {
      const known = statuses.get(status.server);
      if (known !== undefined && !isNewer(status, known)) {
        return false;
      }
      statuses.set(status.server, status);
      void events.emit("changed", status);
      return true;
    },
    getState: (server) => statuses.get(server)?.state ?? ServerState.Unknown,
    all: () => [...statuses.values()],
  };
}
