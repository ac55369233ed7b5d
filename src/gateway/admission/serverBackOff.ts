/**
 * Backend servers that refused a request and asked this daemon to send nothing for a time. Later statements can make
 * that time longer but not shorter; it ends early only with the process that asked for it.
 */
import type { DiscoveredServer } from "../../discovery";
import { Event, type Logger } from "../../observability";
import type { Clock, ServerName } from "../../types";

/** Longer times are cut to this: a server that asks for more is as good as lost, but may have been mistaken. */
const MAX_BACK_OFF_MS = 3_600_000;

interface BackOff {
  readonly bornAt: number;
  readonly until: number;
}

/** The servers to which this daemon must send nothing for a time. */
export interface ServerBackOff {
  /** Records that a server asked for `durationMs` milliseconds without requests. */
  record(server: DiscoveredServer, durationMs: number): void;
  /** Returns the rest of the time in milliseconds; 0 when requests may be sent. */
  getRemainingMs(server: DiscoveredServer): number;
  /** Returns the number of servers to which nothing may be sent now. */
  count(): number;
  /** Removes times that are over. */
  evict(): void;
}

/**
 * Creates an empty record.
 *
 * @param clock - Clock that the times are measured by.
 * @param logger - Logs new times.
 * @returns The record.
 */
export function createServerBackOff(clock: Clock, logger: Logger): ServerBackOff {
  const backOffs = new Map<ServerName, BackOff>();

  return {
    record: (server, durationMs) => {
      const until = clock.now() + Math.min(durationMs, MAX_BACK_OFF_MS);
      const remainingMs = getRemainingMs(server);
      if (durationMs <= 0 || until <= clock.now() + remainingMs) {
        return;
      }
      backOffs.set(server.name, { bornAt: server.bornAt, until });
      if (remainingMs === 0) {
        logger.log(Event.ServerBackOff, { server: server.name, durationMs: Math.round(durationMs) });
      }
    },
    getRemainingMs,
    count: () => [...backOffs.values()].filter(({ until }) => until > clock.now()).length,
    evict: () => {
      for (const [server, { until }] of backOffs) {
        if (until <= clock.now()) {
          backOffs.delete(server);
        }
      }
    },
  };

  function getRemainingMs({ name, bornAt }: DiscoveredServer): number {
    const known = backOffs.get(name);
    return known?.bornAt === bornAt ? Math.max(0, known.until - clock.now()) : 0;
  }
}
