/**
 * Records until when a backend server may hold keys, by the latest grant that may have reached it. Processes
 * of one server name are not distinguished, because a process restarted under the same name may have received
 * a grant that was meant for its predecessor.
 */
import type { Clock, ServerName } from "../types";
import { type KeyRange, MAX_GRANT_CALL_MS, overlaps } from "./types";

/** A server's clock, which measures the duration of a grant, may run slow by up to this fraction. */
const MAX_CLOCK_DRIFT = 0.02;
/** Covers the transit of a grant that was still on its way to the server when its call ended. */
const ARRIVAL_MARGIN_MS = 250;
/** Entries that have expired have no effect; they are removed at this interval. */
const EXPIRY_INTERVAL_MS = 1000;

interface Entry extends KeyRange {
  readonly server: ServerName;
  /** Shared by the parts of an entry from which keys were cleared. */
  readonly grant: { until: number };
}

/** The record of a grant call in progress. While it is, the server may hold the keys for an unlimited time. */
export interface GrantRecord {
  /** Records that the call has ended, so the grant has reached the server by now, or will at once or never. */
  end(): void;
  /** Removes the record of a grant that was certainly not sent. */
  cancel(): void;
}

/** The latest times until which grants may let backend servers hold keys. */
export interface GrantLedger {
  /** Records a grant call that starts now. */
  begin(range: KeyRange, server: ServerName, durationMs: number): GrantRecord;
  /** Records that another coordinator may have started a grant call until now. */
  recordEarlier(range: KeyRange, server: ServerName, durationMs: number): void;
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
  let expiredAt = clock.now();

  return {
    begin: (range, server, durationMs) => {
      removeExpired();
      // One entry for each range of a server, however often its grant is renewed.
      const known = entries.find(
        (entry) => isFor(entry, range, server) && entry.grant.until !== Number.POSITIVE_INFINITY,
      );
      const before = known?.grant.until ?? Number.NEGATIVE_INFINITY;
      const grant = { until: Number.POSITIVE_INFINITY };
      entries = entries.filter((entry) => entry !== known);
      entries.push({ from: range.from, to: range.to, server, grant });
      return {
        end: () => {
          grant.until = Math.max(before, computeExpiry(clock.now(), durationMs));
        },
        cancel: () => {
          grant.until = before;
        },
      };
    },
    recordEarlier: (range, server, durationMs) => {
      const until = computeExpiry(clock.now() + MAX_GRANT_CALL_MS, durationMs);
      entries.push({ from: range.from, to: range.to, server, grant: { until } });
    },
    clear: (range, server) => {
      entries = entries.flatMap((entry) => (entry.server === server ? subtract(entry, range) : [entry]));
    },
    getFreeAt: (range, server) => {
      let at = Number.NEGATIVE_INFINITY;
      for (const entry of entries) {
        if (entry.server !== server && overlaps(entry, range)) {
          at = Math.max(at, entry.grant.until);
        }
      }
      return at;
    },
  };

  function removeExpired(): void {
    if (clock.now() - expiredAt >= EXPIRY_INTERVAL_MS) {
      expiredAt = clock.now();
      entries = entries.filter((entry) => entry.grant.until > clock.now());
    }
  }
}

/** Returns the latest time at which a grant expires whose call ended at a time. */
function computeExpiry(endedAt: number, durationMs: number): number {
  return endedAt + durationMs * (1 + MAX_CLOCK_DRIFT) + ARRIVAL_MARGIN_MS;
}

function isFor(entry: Entry, range: KeyRange, server: ServerName): boolean {
  return entry.server === server && entry.from === range.from && entry.to === range.to;
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
