/**
 * Permits for requests to rate-limited backend servers. The coordinator gives them out one by one, so that the
 * limit holds for the sum over all daemons and each of them can use what the others leave. A daemon that gets no
 * answer from the coordinator keeps to a part of an equal share.
 */
import { z } from "zod";
import { type DatagramChannel, addressSchema } from "../../membership";
import { Event, type Counters, type Logger } from "../../observability";
import type { Address, Clock, ServerName } from "../../types";
import { MIN_PERMITS_PER_SECOND, type Permit, createPermitPool, type ServerRateLimits } from "../admission";

const MessageKind = { Request: "permitRequest", Reply: "permitReply" } as const;

/** Several round trips between data centres; a request is not kept waiting longer for a permit. */
const REPLY_TIMEOUT_MS = 50;
/** After a missing reply, permits are not requested from the coordinator for this time. */
const SILENCE_PAUSE_MS = 500;
/**
 * Part of an equal share that a daemon uses on its own. The coordinator does not know of these requests and
 * gives out the whole rate, and servers tolerate half of it in addition.
 */
const LOCAL_SHARE = 0.5;
/** After this time a denial is checked again, since the limit may have been raised. */
const MAX_DENIAL_MS = 500;
const MILLISECONDS_PER_SECOND = 1000;

const requestSchema = z.object({
  id: z.int(),
  address: addressSchema,
  server: z.string().min(1),
  requestsPerSecond: z.number().nonnegative(),
});
const replySchema = z.object({
  id: z.int(),
  /** Time until the next permit in milliseconds; null when the permit is granted. */
  waitMs: z.number().nonnegative().nullable(),
});

/** Options for {@link createPermitExchange}. */
export interface PermitExchangeOptions {
  readonly channel: DatagramChannel;
  /** Address at which this daemon receives replies. */
  readonly address: Address;
  readonly rateLimits: Pick<ServerRateLimits, "find">;
  readonly isCoordinator: () => boolean;
  /** Returns the coordinator's address; undefined while it is not known. */
  readonly findCoordinator: () => Address | undefined;
  /** Returns the number of daemons that share a limit. */
  readonly getClusterSize: () => number;
  readonly clock: Clock;
  readonly random: () => number;
  readonly logger: Logger;
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
  const { channel, rateLimits, clock, random, logger, counters } = options;
  const pool = createPermitPool(clock);
  const exhaustedUntil = new Map<ServerName, number>();
  /** Local time of the next request that this daemon may send to each server on its own. */
  const localDueAt = new Map<ServerName, number>();
  const pending = new Map<number, (permit: Permit) => void>();
  let lastId = 0;
  let isPoolCurrent = false;
  let silentUntil = Number.NEGATIVE_INFINITY;

  channel.receive(MessageKind.Request, requestSchema, ({ id, address, server, requestsPerSecond }) => {
    if (options.isCoordinator()) {
      // Of two figures the lower one holds: either daemon may not have heard of a change yet.
      const rate = Math.min(rateLimits.find(server) ?? requestsPerSecond, requestsPerSecond);
      const permit = takeFromPool(server, rate);
      const waitMs = permit.kind === "denied" ? permit.waitMs : null;
      channel.send(address, MessageKind.Reply, { id, waitMs });
    }
  });
  channel.receive(MessageKind.Reply, replySchema, ({ id, waitMs }) => {
    pending.get(id)?.(waitMs === null ? { kind: "granted" } : { kind: "denied", waitMs });
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
      for (const map of [exhaustedUntil, localDueAt]) {
        [...map.keys()].filter((server) => !isLimited(server)).forEach((server) => map.delete(server));
      }
      isPoolCurrent &&= options.isCoordinator();
    },
  };

  async function getPermit(server: ServerName, requestsPerSecond: number): Promise<Permit> {
    if (options.isCoordinator()) {
      return takeFromPool(server, requestsPerSecond);
    }
    const coordinator = options.findCoordinator();
    if (coordinator === undefined || clock.now() < silentUntil) {
      return takeLocally(server, requestsPerSecond);
    }
    const permit = await request(coordinator, server, requestsPerSecond);
    return permit ?? takeLocally(server, requestsPerSecond);
  }

  /** A pool from an earlier term as coordinator is empty, like a new one. */
  function takeFromPool(server: ServerName, requestsPerSecond: number): Permit {
    if (!isPoolCurrent) {
      pool.clear();
      isPoolCurrent = true;
    }
    return pool.take(server, requestsPerSecond);
  }

  /** Requests a permit from the coordinator; resolves to undefined when no reply comes in time. */
  function request(
    coordinator: Address,
    server: ServerName,
    requestsPerSecond: number,
  ): Promise<Permit | undefined> {
    lastId += 1;
    const id = lastId;
    return new Promise((resolve) => {
      const settle = (permit: Permit | undefined) => {
        cancel();
        pending.delete(id);
        resolve(permit);
      };
      const cancel = clock.schedule(REPLY_TIMEOUT_MS, () => {
        silentUntil = clock.now() + SILENCE_PAUSE_MS;
        logger.log(Event.PermitReplyMissing, { server, coordinator: coordinator.host });
        settle(undefined);
      });
      pending.set(id, settle);
      const { address } = options;
      channel.send(coordinator, MessageKind.Request, { id, address, server, requestsPerSecond });
    });
  }

  /**
   * Permits one request in each interval of this daemon's share. After a pause the time of the next one is drawn
   * at random: daemons that get requests at the same moment must not all send at once.
   */
  function takeLocally(server: ServerName, requestsPerSecond: number): Permit {
    const now = clock.now();
    const share =
      (Math.max(requestsPerSecond, MIN_PERMITS_PER_SECOND) * LOCAL_SHARE) / options.getClusterSize();
    const intervalMs = MILLISECONDS_PER_SECOND / share;
    const known = localDueAt.get(server);
    const isPaused = known === undefined || now >= known + intervalMs;
    const dueAt = isPaused ? now + random() * intervalMs : Math.min(known, now + intervalMs);
    const isDue = now >= dueAt;
    localDueAt.set(server, isDue ? now + intervalMs : dueAt);
    return isDue ? { kind: "granted" } : { kind: "denied", waitMs: dueAt - now };
  }
}
