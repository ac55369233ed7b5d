/**
 * The rate limits that backend servers name in their answers. A limit holds for all daemons together, so each
 * daemon learns of the others' answers too; of two statements about a server the newer one counts.
 */
import type { DiscoveredServer, ServerDirectory, StatedRateLimit } from "../../discovery";
import { Event, type Logger } from "../../observability";
import type { Clock, ServerName } from "../../types";
import type { RateLimitStatement } from "../protocols";

/** How long the end of a limit is passed on; other daemons hear of it several times within this time. */
const ENDED_LIMIT_RETENTION_MS = 5000;
/** Maximum statements in one message, which bounds its size to that of a network packet. */
const MAX_SHARED_STATEMENTS = 20;

interface Statement {
  readonly bornAt: number;
  /** Null when the server named no limit. */
  readonly requestsPerSecond: number | null;
  /** Local time of the answer. */
  readonly statedAt: number;
}

/** Rate limits of backend servers. */
export interface ServerRateLimits {
  /** Records what an answer of a server states. */
  record(server: DiscoveredServer, statement: RateLimitStatement): void;
  /** Returns the requests per second that a server accepts from all daemons; undefined without a limit. */
  find(server: ServerName): number | undefined;
  /** Returns the statements for other daemons, the newest ones first. */
  share(): readonly StatedRateLimit[];
  /** Applies statements that another daemon shared. */
  merge(shared: readonly StatedRateLimit[]): void;
  /** Returns the number of servers that have a limit now. */
  count(): number;
  /** Removes the statements of processes that have ended, and those on limits that ended long ago. */
  evict(): void;
}

/** Options for {@link createServerRateLimits}. */
export interface ServerRateLimitsOptions {
  readonly directory: Pick<ServerDirectory, "get">;
  readonly clock: Clock;
  readonly logger: Logger;
}

/**
 * Creates a record without any limit.
 *
 * @param options - Server directory, clock and logger.
 * @returns The record.
 */
export function createServerRateLimits(options: ServerRateLimitsOptions): ServerRateLimits {
  const { directory, clock, logger } = options;
  const statements = new Map<ServerName, Statement>();

  return {
    record,
    find,
    share: () =>
      [...statements]
        .sort(([, left], [, right]) => right.statedAt - left.statedAt)
        .slice(0, MAX_SHARED_STATEMENTS)
        .map(([server, { bornAt, requestsPerSecond, statedAt }]) => ({
          server,
          bornAt,
          requestsPerSecond,
          ageMs: clock.now() - statedAt,
        })),
    merge: (shared) => {
      for (const { server, bornAt, requestsPerSecond, ageMs } of shared) {
        apply(server, { bornAt, requestsPerSecond, statedAt: clock.now() - ageMs }, "daemon");
      }
    },
    count: () => [...statements.keys()].filter((server) => find(server) !== undefined).length,
    evict: () => {
      for (const [server, { bornAt, requestsPerSecond, statedAt }] of statements) {
        const hasEnded = requestsPerSecond === null && clock.now() - statedAt > ENDED_LIMIT_RETENTION_MS;
        if (hasEnded || directory.get(server)?.bornAt !== bornAt) {
          statements.delete(server);
        }
      }
    },
  };

  function record(server: DiscoveredServer, statement: RateLimitStatement): void {
    const { name, bornAt } = server;
    const stated = { bornAt, statedAt: clock.now() };
    switch (statement.kind) {
      case "limited":
        apply(name, { ...stated, requestsPerSecond: statement.requestsPerSecond }, "answer");
        return;
      case "unlimited":
        if (statements.has(name)) {
          apply(name, { ...stated, requestsPerSecond: null }, "answer");
        }
        return;
      case "unreadable":
        // A garbled figure neither sets nor ends a limit.
        logger.log(Event.ServerRateLimitInvalid, { server: name, text: statement.text });
        return;
      case "unstated":
        return;
      default:
        statement satisfies never;
    }
  }

  function apply(server: ServerName, next: Statement, source: "answer" | "daemon"): void {
    const known = statements.get(server);
    const isSameProcess = directory.get(server)?.bornAt === next.bornAt;
    if (!isSameProcess || (known?.bornAt === next.bornAt && known.statedAt >= next.statedAt)) {
      return;
    }
    statements.set(server, next);
    const before = known?.bornAt === next.bornAt ? known.requestsPerSecond : null;
    if (before !== next.requestsPerSecond) {
      logger.log(Event.ServerRateLimitChanged, {
        server,
        source,
        requestsPerSecond: next.requestsPerSecond ?? undefined,
        before: before ?? undefined,
        ageMs: Math.round(clock.now() - next.statedAt),
      });
    }
  }

  function find(server: ServerName): number | undefined {
    const statement = statements.get(server);
    if (statement === undefined || directory.get(server)?.bornAt !== statement.bornAt) {
      return undefined;
    }
    return statement.requestsPerSecond ?? undefined;
  }
}
