/**
 * Processes of backend servers that have said in an answer that they are leaving. Their entries in the object store
 * may say so later, never, or be older than the answer.
 */
import type { Clock, ServerName } from "../types";
import type { StatedDeparture } from "./types";

/** Exceeds the time for which a leaving server runs on, and the age of the copies that a store is restored from. */
const RETENTION_MS = 600_000;
/** Maximum number of processes that are remembered; the oldest statements are dropped first. */
const MAX_REMEMBERED = 5000;
/** How long a statement is passed on; other daemons hear of it several times within this time. */
const SHARED_FOR_MS = 15_000;
/** Maximum statements in one message, which bounds its size to that of a network packet. */
const MAX_SHARED_STATEMENTS = 20;

/** A process of a backend server. */
export interface ServerProcess {
  readonly name: ServerName;
  /** Start of the process in Unix milliseconds. */
  readonly bornAt: number;
}

/** The processes that are leaving. */
export interface LeavingServers {
  /**
   * Records a statement that is `ageMs` milliseconds old. Returns whether it is the first one of this process that
   * is known here.
   */
  record(server: ServerProcess, ageMs: number): boolean;
  /** Returns the time since a process was first known to be leaving, in milliseconds; undefined when it is not. */
  findLeavingMs(server: ServerProcess): number | undefined;
  /** Returns the statements for other daemons, the newest ones first. */
  share(): readonly StatedDeparture[];
}

/**
 * Creates an empty record.
 *
 * @param clock - Clock that the age of statements is measured by.
 * @returns The record.
 */
export function createLeavingServers(clock: Clock): LeavingServers {
  /** By process, in the order in which they were recorded. */
  const statements = new Map<string, ServerProcess & { readonly statedAt: number }>();

  return {
    record: ({ name, bornAt }, ageMs) => {
      const id = formatProcess({ name, bornAt });
      const known = statements.get(id);
      const statedAt = clock.now() - ageMs;
      if (known !== undefined && known.statedAt <= statedAt) {
        return false;
      }
      statements.set(id, { name, bornAt, statedAt });
      evict();
      return known === undefined;
    },
    findLeavingMs: (server) => {
      const known = statements.get(formatProcess(server));
      return known === undefined ? undefined : clock.now() - known.statedAt;
    },
    share: () =>
      [...statements.values()]
        .filter(({ statedAt }) => clock.now() - statedAt <= SHARED_FOR_MS)
        .sort((left, right) => right.statedAt - left.statedAt)
        .slice(0, MAX_SHARED_STATEMENTS)
        .map(({ name, bornAt, statedAt }) => ({ server: name, bornAt, ageMs: clock.now() - statedAt })),
  };

  function evict(): void {
    for (const [id, { statedAt }] of statements) {
      if (statements.size > MAX_REMEMBERED || clock.now() - statedAt > RETENTION_MS) {
        statements.delete(id);
      }
    }
  }
}

function formatProcess({ name, bornAt }: ServerProcess): string {
  return `${name}/${bornAt}`;
}
