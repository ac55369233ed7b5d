/**
 * Permits for requests to rate-limited backend servers. The coordinator gives them out one by one, so that the
 * limit holds for the sum over all daemons and each of them can use what the others leave. A daemon that gets no
 * answer from the coordinator keeps to a part of an equal share.
 */
import { z } from "zod";
import type { Counters } from "../../observability";
import type { ServerName } from "../../types";
import {
  MIN_PERMITS_PER_SECOND,
  type Permit,
  type ServerRateLimits,
  createLocalShares,
  createPermitPool,
} from "../admission";
import { type CoordinatorAccess, createCoordinatorCalls, createCoordinatorTerm } from "./coordinatorCalls";

/** After this time a denial is checked again, since the limit may have been raised. */
const MAX_DENIAL_MS = 500;

const questionSchema = z.object({ server: z.string().min(1), requestsPerSecond: z.number().nonnegative() });
const answerSchema = z.object({
  /** Time until the next permit in milliseconds; null when the permit is granted. */
  waitMs: z.number().nonnegative().nullable(),
});

/** Options for {@link createPermitExchange}. */
export interface PermitExchangeOptions extends CoordinatorAccess {
  readonly rateLimits: Pick<ServerRateLimits, "find">;
  /** Returns the number of daemons that share a limit. */
  readonly getClusterSize: () => number;
  readonly random: () => number;
  readonly counters: Counters;
}

/** Gets permits for requests. */
export interface PermitExchange {
  /** Returns whether no permit for a server is expected now; always false for one without a limit. */
  isExhausted(server: ServerName): boolean;
  /** Takes a permit if the server has a limit. Returns whether the request may be sent. */
  acquire(server: ServerName): Promise<boolean>;
  /** Removes the state of servers without a limit. */
  evict(): void;
}

/**
 * Creates the exchange of one daemon, which answers other daemons while it is the coordinator.
 *
 * @param options - Channel to the other daemons, known limits and election.
 * @returns The exchange.
 */
export function createPermitExchange(options: PermitExchangeOptions): PermitExchange {
  const { rateLimits, clock, random, counters } = options;
  const pool = createPermitPool(clock);
  const exhaustedUntil = new Map<ServerName, number>();
  /** Servers tolerate half of their limit in addition, which is what all daemons permit on their own together. */
  const localShares = createLocalShares(clock, random);
  const term = createCoordinatorTerm(options.isCoordinator, () => {
    pool.clear();
  });
  const calls = createCoordinatorCalls({
    ...options,
    name: "permit",
    questionSchema,
    answerSchema,
    answer: ({ server, requestsPerSecond }) => {
      // Of two figures the lower one holds: either daemon may not have heard of a change yet.
      const rate = Math.min(rateLimits.find(server) ?? requestsPerSecond, requestsPerSecond);
      const permit = takeFromPool(server, rate);
      return { waitMs: permit.kind === "denied" ? permit.waitMs : null };
    },
  });

  return {
    isExhausted: (server) =>
      rateLimits.find(server) !== undefined && (exhaustedUntil.get(server) ?? 0) > clock.now(),
    acquire: async (server) => {
      const requestsPerSecond = rateLimits.find(server);
      if (requestsPerSecond === undefined) {
        return true;
      }
      const permit = await getPermit(server, requestsPerSecond);
      counters.increment("rate_limit.permits", permit.kind);
      if (permit.kind === "denied") {
        exhaustedUntil.set(server, clock.now() + Math.min(permit.waitMs, MAX_DENIAL_MS));
      }
      return permit.kind === "granted";
    },
    evict: () => {
      const isLimited = (server: ServerName) => rateLimits.find(server) !== undefined;
      pool.retain(isLimited);
      localShares.retain(isLimited);
      [...exhaustedUntil.keys()]
        .filter((server) => !isLimited(server))
        .forEach((server) => exhaustedUntil.delete(server));
      term.update();
    },
  };

  async function getPermit(server: ServerName, requestsPerSecond: number): Promise<Permit> {
    if (options.isCoordinator()) {
      return takeFromPool(server, requestsPerSecond);
    }
    const answer = calls.canCall() ? await calls.call({ server, requestsPerSecond }, { server }) : undefined;
    if (answer === undefined) {
      const rate = Math.max(requestsPerSecond, MIN_PERMITS_PER_SECOND);
      return localShares.take(server, rate, options.getClusterSize());
    }
    return answer.waitMs === null ? { kind: "granted" } : { kind: "denied", waitMs: answer.waitMs };
  }

  /** A pool from an earlier term as coordinator is empty, like a new one. */
  function takeFromPool(server: ServerName, requestsPerSecond: number): Permit {
    term.ensureCurrent();
    return pool.take(server, requestsPerSecond);
  }
}
