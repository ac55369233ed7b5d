/**
 * Records until when a backend server may hold keys, by the latest grant that may have reached it. Processes
 * of one server name are not distinguished, because a process restarted under the same name may have received
 * a grant that was meant for its predecessor.
 */
import type { Clock, ServerName } from "../types";
import { type KeyRange, overlaps } from "./types";

/** A server's clock, which measures the duration of a grant, may run slow by up to this fraction. */
const MAX_CLOCK_DRIFT = 0.02;
/** Covers the transit time of a grant to the server. */
const ARRIVAL_MARGIN_MS = 250;

interface Entry extends KeyRange {
  readonly server: ServerName;
  until: number;
}

/** The latest times until which grants may let backend servers hold keys. */
export interface GrantLedger {
  /**
   * Records a grant that is being sent. The returned function reverts the record; call it only if the grant
   * was certainly not sent.
   */
  record(range: KeyRange, server: ServerName, durationMs: number): () => void;
  /** Records that a server has provably stopped work on keys. */
  clear(range: KeyRange, server: ServerName): void;
  /**
   * Returns the local time from which no server other than the given one can hold any key of the range; if
   * none is given, no server at all.
   */
  getFreeAt(range: KeyRange, server: ServerName | undefined): number;
}

/**
 * Creates an empty ledger.
 *
 * @param clock - Clock that measures the durations of grants.
 * @returns The ledger.
 */
export function createGrantLedger(clock: Clock): GrantLedger {
  let entries: Entry[] = [];

  return {
    record: (range, server, durationMs) => {
      const until = clock.now() + durationMs * (1 + MAX_CLOCK_DRIFT) + ARRIVAL_MARGIN_MS;
      const known = entries.find(
        (entry) => entry.server === server && entry.from === range.from && entry.to === range.to,
      );
      const entry = known ?? { from: range.from, to: range.to, server, until: 0 };
      const before = entry.until;
      entry.until = Math.max(before, until);
      entries = [...entries.filter((each) => each !== entry && each.until > clock.now()), entry];
      return () => {
        entry.until = before;
      };
    },
    clear: (range, server) => {
      entries = entries.flatMap((entry) => (entry.server === server ? subtract(entry, range) : [entry]));
    },
    getFreeAt: (range, server) => {
      let at = Number.NEGATIVE_INFINITY;
      for (const entry of entries) {
        if (entry.server !== server && overlaps(entry, range)) {
          at = Math.max(at, entry.until);
        }
      }
      return at;
    },
  };
}

/** Returns the parts of an entry that lie outside a range. */
function subtract(entry: Entry, range: KeyRange): Entry[] {
  if (!overlaps(entry, range)) {
    return [entry];
  }
  const left = entry.from < range.from ? [{ ...entry, to: range.from - 1 }] : [];
  const right = entry.to > range.to ? [{ ...entry, from: range.to + 1 }] : [];
  return [...left, ...right];
}
