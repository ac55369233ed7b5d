/** Refuses, before a server is chosen, the less urgent requests to a service that is short of capacity. */
import murmurhash from "murmurhash";
import { type Counters, Event, type Logger } from "../../observability";
import type { Clock, ServiceName } from "../../types";
import { RejectionReason } from "../attemptTypes";
import type { RequestTraits } from "../dispatchTypes";
import type { PriorityDemands } from "./priorityDemands";
import {
  MIN_RELATIVE_SHARE,
  type PriorityDemand,
  computeFloor,
  areCompeting,
  computePriorityShares,
} from "./priorityShares";
import { Urgency } from "./returnTimes";
import type { RouteCosts } from "./routeCosts";
import type { Obstacle } from "./serverAdmission";

/** Time for which the decisions about requests stay the same, so that a repeated request gains nothing. */
export const ROUND_MS = 2000;
/** Announced shares are dropped when they have not been renewed for this time. */
const VALIDITY_MS = 1500;
/**
 * Interval at which a daemon that decides on its own computes its shares: the window of its rates, so that each shows
 * the effect of the shares before.
 */
const LOCAL_INTERVAL_MS = 2000;
/** Requests per second without capacity below which a daemon sees no shortage: a few are random. */
const MIN_LOCAL_REFUSALS = 1.5;
const MIN_LOCAL_REFUSED_SHARE = 0.03;
/** Refused share above which a daemon's own capacity is not raised. */
const MAX_PROBING_REFUSALS = 0.05;
const LOCAL_INCREASE_FACTOR = 1.1;
/** Reasons that show a lack of capacity. Rate limits and cold servers count: the estimated capacity includes both. */
const CAPACITY_REASONS: ReadonlySet<RejectionReason> = new Set([
  RejectionReason.Overloaded,
  RejectionReason.Shed,
  RejectionReason.RateLimited,
  RejectionReason.Cold,
]);
const HASH_VALUES = 2 ** 32;

/** Shares of one service as they were announced; values that cannot be used are replaced when they are applied. */
export interface AnnouncedShares {
  readonly service: ServiceName;
  readonly floor?: unknown;
  readonly shares: readonly (readonly [priority: number, share?: unknown])[];
}

/** The coordinator's announcement. */
export interface PriorityAnnouncement {
  readonly coordinator: string;
  /** Increases with each announcement of one coordinator. */
  readonly sequence: number;
  readonly round: number;
  /** Time until the next round, in milliseconds. */
  readonly roundLeftMs: number;
  /** All services that are short of capacity. */
  readonly services: readonly AnnouncedShares[];
}

/** What the shares say about a request. */
export interface PriorityView {
  /** Admitted share of the request's priority; 1 without a shortage. */
  readonly share: number;
  /** Why the request must not be sent; undefined when it may. */
  readonly obstacle: Obstacle | undefined;
}

interface ShareTable {
  readonly shares: ReadonlyMap<number, number>;
  readonly highest: number;
  readonly floor: number;
}

/** Shares that this daemon computed on its own; the table is undefined without a shortage. */
interface LocalTable {
  readonly computedAt: number;
  readonly table: ShareTable | undefined;
}

/** Admission by priority of one daemon. */
export interface PriorityAdmission {
  /** Counts a request and returns why it must not be sent; undefined when it may. */
  findObstacle(request: RequestTraits): Obstacle | undefined;
  /** Returns what the shares say about a request, without counting it. */
  peek(request: RequestTraits): PriorityView;
  /** Counts a request that was refused, if the reason is a lack of capacity. */
  recordRefusal(request: RequestTraits, reason: RejectionReason): void;
  /** Returns the share of a request's priority at an owner of keys that can take a share of all its requests. */
  splitOwnerShare(request: RequestTraits, share: number): number;
  /** Returns the rank of a request's priority among those seen at its service. */
  getUrgency(request: RequestTraits): Urgency;
  /** Applies an announcement, unless a later one has been applied. */
  apply(announcement: PriorityAnnouncement): void;
  /** Returns whether announced shares are in force for a service. */
  isAnnounced(service: ServiceName): boolean;
  /** Returns the announced shares in force, by service and priority. */
  listShares(): Readonly<Record<string, number>>;
}

/** Options for {@link createPriorityAdmission}. */
export interface PriorityAdmissionOptions {
  readonly demands: PriorityDemands;
  readonly costs: Pick<RouteCosts, "getWeight">;
  /** Returns whether the coordinator has recently been heard of, so that its silence means that there is no shortage. */
  readonly isInContact: () => boolean;
  readonly clock: Clock;
  /** Returns the time of day in milliseconds, for rounds that are the same at daemons that decide on their own. */
  readonly timeOfDay: () => number;
  readonly logger: Logger;
  readonly counters: Counters;
}

/**
 * Creates the admission of one daemon.
 *
 * @param options - Counts of requests, contact to the coordinator, clocks.
 * @returns The admission.
 */
export function createPriorityAdmission(options: PriorityAdmissionOptions): PriorityAdmission {
  const { demands, costs, clock, counters } = options;
  const local = new Map<ServiceName, LocalTable>();
  let announcement: PriorityAnnouncement | undefined;
  let tables: ReadonlyMap<ServiceName, ShareTable> = new Map();
  let appliedAt = Number.NEGATIVE_INFINITY;

  return {
    findObstacle,
    peek,
    recordRefusal: (request, reason) => {
      if (CAPACITY_REASONS.has(reason)) {
        record("refused", request);
      }
    },
    splitOwnerShare,
    getUrgency,
    apply,
    isAnnounced: (service) => isValid() && tables.has(service),
    listShares: () =>
      Object.fromEntries(
        (isValid() ? [...tables] : []).flatMap(([service, { shares }]) =>
          [...shares].map(([priority, share]) => [`${service}/${priority}`, share] as const),
        ),
      ),
  };

  function findObstacle(request: RequestTraits): Obstacle | undefined {
    const { service, priority } = request;
    record("offered", request);
    const { obstacle } = decide(request, findTable(service.name));
    if (obstacle !== undefined) {
      record("withheld", request);
      counters.increment("priority.refused", `${service.name}/${priority}`);
    }
    return obstacle;
  }

  function peek(request: RequestTraits): PriorityView {
    return decide(request, peekTable(request.service.name));
  }

  function decide(request: RequestTraits, table: ShareTable | undefined): PriorityView {
    const share = table === undefined ? 1 : findShare(table, request.priority);
    if (share >= 1) {
      return { share, obstacle: undefined };
    }
    const { round, leftMs } = getRound();
    const isAdmitted = computePosition(request, round) < share;
    return {
      share,
      obstacle: isAdmitted ? undefined : { reason: RejectionReason.Priority, waitMs: leftMs },
    };
  }

  function record(kind: "offered" | "refused" | "withheld", request: RequestTraits): void {
    const { route, service, priority } = request;
    demands.record(kind, service.name, priority, costs.getWeight(route, service.name));
  }

  function findTable(service: ServiceName): ShareTable | undefined {
    if (!isValid() && !options.isInContact()) {
      updateLocalTable(service);
    }
    return peekTable(service);
  }

  function peekTable(service: ServiceName): ShareTable | undefined {
    if (isValid()) {
      return tables.get(service);
    }
    return options.isInContact() ? undefined : (findCurrentLocal(service) ?? computeLocal(service)).table;
  }

  function isValid(): boolean {
    return clock.now() - appliedAt < VALIDITY_MS;
  }

  function updateLocalTable(service: ServiceName): void {
    if (findCurrentLocal(service) !== undefined) {
      return;
    }
    const known = local.get(service);
    const next = computeLocal(service);
    if ((next.table === undefined) !== (known?.table === undefined)) {
      options.logger.log(Event.PrioritySharesLocal, { service, isShort: next.table !== undefined });
    }
    local.set(service, next);
  }

  function findCurrentLocal(service: ServiceName): LocalTable | undefined {
    const known = local.get(service);
    return known !== undefined && clock.now() - known.computedAt < LOCAL_INTERVAL_MS ? known : undefined;
  }

  function computeLocal(service: ServiceName): LocalTable {
    const former = local.get(service)?.table ?? tables.get(service);
    return { computedAt: clock.now(), table: computeLocalTable(demands.measure(service), former) };
  }

  function splitOwnerShare(request: RequestTraits, share: number): number {
    const mix = share < 1 ? demands.measure(request.service.name).filter(({ offered }) => offered > 0) : [];
    if (mix.length < 2) {
      return share;
    }
    const offered = mix.reduce((total, each) => total + each.offered, 0);
    const own = computePriorityShares(mix, share * offered).get(request.priority) ?? share;
    const table = peekTable(request.service.name);
    // The owner's share refers to all requests; those that the service's share has refused are not refused twice.
    return Math.min(1, own / (table === undefined ? 1 : findShare(table, request.priority)));
  }

  function getUrgency({ service, priority }: RequestTraits): Urgency {
    const [highest = priority, ...others] = demands.listPriorities(service.name);
    if (others.length === 0) {
      return Urgency.Equal;
    }
    return priority <= highest ? Urgency.Urgent : Urgency.Other;
  }

  function apply(next: PriorityAnnouncement): void {
    const isSameTerm = announcement?.coordinator === next.coordinator;
    if (isSameTerm && next.sequence <= (announcement?.sequence ?? 0)) {
      counters.increment("priority.announcements_dropped");
      return;
    }
    announcement = next;
    appliedAt = clock.now();
    tables = new Map(next.services.map((entry) => [entry.service, createTable(entry)]));
  }

  /** Announced rounds are the same at all daemons; the time of day is nearly so. */
  function getRound(): { readonly round: number; readonly leftMs: number } {
    const ageMs = clock.now() - appliedAt;
    if (announcement !== undefined && isValid()) {
      const { round, roundLeftMs } = announcement;
      const leftMs = roundLeftMs - ageMs;
      return leftMs > 0 ? { round, leftMs } : { round: round + 1, leftMs: leftMs + ROUND_MS };
    }
    const time = options.timeOfDay();
    const round = Math.floor(time / ROUND_MS);
    return { round, leftMs: (round + 1) * ROUND_MS - time };
  }
}

/** Returns the position of a request in its round, from 0 to 1: requests below the share are admitted. */
function computePosition({ route, path, key }: RequestTraits, round: number): number {
  return murmurhash.v3(`${round}\n${route.host}\n${path}\n${key ?? ""}`) / HASH_VALUES;
}

function createTable({ shares, floor }: AnnouncedShares): ShareTable {
  return {
    shares: new Map(shares.flatMap(([priority, share]) => (isShare(share) ? [[priority, share]] : []))),
    highest: Math.min(...shares.map(([priority]) => priority)),
    floor: isShare(floor) ? floor : MIN_RELATIVE_SHARE,
  };
}

function findShare({ shares, highest, floor }: ShareTable, priority: number): number {
  return shares.get(priority) ?? (priority <= highest ? 1 : floor);
}

function isShare(value: unknown): value is number {
  return typeof value === "number" && value > 0 && value <= 1;
}

/** Divides what this daemon's requests have got within the last two seconds. */
function computeLocalTable(
  demands: readonly PriorityDemand[],
  former: ShareTable | undefined,
): ShareTable | undefined {
  const sum = (kind: "offered" | "refused" | "withheld") =>
    demands.reduce((total, demand) => total + demand[kind], 0);
  const offered = sum("offered");
  const refused = sum("refused");
  const unserved = refused + sum("withheld");
  const isShort = unserved > MIN_LOCAL_REFUSALS && unserved > MIN_LOCAL_REFUSED_SHARE * offered;
  const [highest] = demands;
  if (highest === undefined || !areCompeting(demands) || !isShort) {
    return undefined;
  }
  const served = Math.max(0, offered - unserved);
  const isProbing = refused <= MAX_PROBING_REFUSALS * (served + refused);
  // Repetitions within a round are all refused, so they are left out.
  const distinct = demands.map((demand) => {
    const share = former === undefined ? 1 : findShare(former, demand.priority);
    const admitted = demand.offered - demand.withheld;
    return { priority: demand.priority, offered: Math.min(demand.offered, admitted / share) };
  });
  const capacity = served * (isProbing ? LOCAL_INCREASE_FACTOR : 1);
  return {
    shares: computePriorityShares(distinct, capacity),
    highest: highest.priority,
    floor: computeFloor(
      distinct.reduce((total, demand) => total + demand.offered, 0),
      capacity,
    ),
  };
}
