/** The newest state of each server, as reported by its leaseholder. */
import Emittery from "emittery";
import type { ServerName } from "../types";
import { ServerState, type ServerStatus } from "./types";

/** The newest status report on each server. */
export interface StatusView {
  /** `changed` is emitted after a newer report was applied. */
  readonly events: Emittery<{ changed: ServerStatus }>;
  /**
   * Applies a report if its generation, or its sequence in the same generation, is newer. Returns true when
   * applied.
   */
  apply(status: ServerStatus): boolean;
  /** Returns the state of a server; `unknown` without a report. */
  getState(server: ServerName): ServerState;
  /** Returns the newest report on every server. */
  all(): readonly ServerStatus[];
}

function isNewer(next: ServerStatus, known: ServerStatus): boolean {
  return next.generation === known.generation
    ? next.sequence > known.sequence
    : next.generation > known.generation;
}

/**
 * Creates a view without reports.
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
