/** Counters, sent as statsd metrics and kept in memory for the admin server. */
import { StatsD } from "hot-shots";
import type { Address } from "../types";

/** Counts occurrences by name and reason. */
export interface Counters {
  /** Adds `amount`, by default one, to the counter `name` with tag `reason`. */
  increment(name: string, reason?: string, amount?: number): void;
  /** Returns the totals since start, by `name` or `name:reason`. */
  totals(): Readonly<Record<string, number>>;
  /** Stops sending metrics. */
  close(): void;
}

/**
 * Creates counters.
 *
 * @param daemon - Name of the daemon, sent as a tag of all metrics.
 * @param statsd - Address of the statsd server; when omitted, nothing is sent.
 * @returns The counters.
 */
export function createCounters(daemon: string, statsd?: Address): Counters {
  const totals = new Map<string, number>();
  const client = statsd === undefined ? undefined : createClient(daemon, statsd);
  return {
    increment: (name, reason, amount = 1) => {
      const label = reason === undefined ? name : `${name}:${reason}`;
      totals.set(label, (totals.get(label) ?? 0) + amount);
      client?.increment(name, amount, reason === undefined ? [] : [`reason:${reason}`]);
    },
    totals: () => Object.fromEntries([...totals].sort(([left], [right]) => left.localeCompare(right))),
    close: () => {
      client?.close(() => undefined);
    },
  };
}

function createClient(daemon: string, statsd: Address): StatsD {
  return new StatsD({
    host: statsd.host,
    port: statsd.port,
    prefix: "hemlockbank.",
    globalTags: { daemon },
    maxBufferSize: 1400,
    errorHandler: () => undefined,
  });
}
