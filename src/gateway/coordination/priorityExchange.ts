/**
 * Exchange of the work that daemons are offered by priority, and of the shares that follow from it. The coordinator
 * adds up the reports, compares them with the capacity of each service, and announces shares while one is short.
 */
import { z } from "zod";
import { Event, type Logger } from "../../observability";
import type { Clock, DaemonName, ServiceName } from "../../types";
import {
  MIXED_WINDOW_MS,
  type PriorityAdmission,
  type PriorityAnnouncement,
  type PriorityController,
  type PriorityDemand,
  type PriorityDemands,
  ROUND_MS,
  type ReportedWork,
  areCompeting,
  createPriorityController,
} from "../admission";
import { type StateChannel, bindState } from "./stateExchange";

/** A daemon whose last report is older no longer counts. */
const REPORT_VALIDITY_MS = 1300;
/** After the end of a shortage, announcements without shares tell daemons to drop theirs for this time. */
const END_NOTICE_MS = 1500;
/** A coordinator that has not announced for this time was not in office, and its estimates are old. */
const MAX_IDLE_MS = 3000;
/** Keep a message below 8 KB. */
const MAX_ROWS = 64;
const MAX_SERVICES = 32;
/** Less urgent ones get the lower bound. */
const MAX_PRIORITIES = 8;
/** Far more than one daemon is sent in an interval. */
const MAX_WORK = 20_000;
const MIN_SPAN_MS = 100;
const MAX_SPAN_MS = 5000;
/** Part of a service's capacity up to which the requests of one daemon count, so that none decides for all. */
const MAX_DAEMON_SHARE = 0.5;
/** With fewer daemons, the refusals of one of them may be all that there are. */
const MIN_CONFIRMING_DAEMONS = 3;
/** Weight of an interval of 400 ms in the usual work of a priority. */
const USUAL_WORK_WEIGHT = 0.1;
const MILLISECONDS_PER_SECOND = 1000;

const workSchema = z.number().nonnegative().max(MAX_WORK);
const reportSchema = z.object({
  /** Time in which the work was offered, in milliseconds. */
  spanMs: z.number().min(MIN_SPAN_MS).max(MAX_SPAN_MS),
  rows: z
    .array(
      z.object({
        service: z.string().min(1),
        priority: z.int(),
        offered: workSchema,
        withheld: workSchema,
        refused: workSchema,
      }),
    )
    .max(MAX_ROWS),
});
type Report = z.output<typeof reportSchema>;

const announcementSchema = z.object({
  coordinator: z.string().min(1),
  sequence: z.number(),
  round: z.int(),
  roundLeftMs: z.number().min(0).max(ROUND_MS),
  services: z
    .array(
      z.object({
        service: z.string().min(1),
        // Unusable values are replaced where they are applied: those of other services are still of use.
        floor: z.unknown(),
        shares: z.array(z.tuple([z.int(), z.unknown()])).min(1),
      }),
    )
    .max(MAX_SERVICES),
});

/** Options for {@link createPriorityExchange}. */
export interface PriorityExchangeOptions {
  readonly daemon: DaemonName;
  readonly demands: PriorityDemands;
  readonly admission: Pick<PriorityAdmission, "apply" | "isAnnounced">;
  /** Returns whether the routes to a service have different priorities. */
  readonly isConfiguredMixed: (service: ServiceName) => boolean;
  readonly isKeyed: (service: ServiceName) => boolean;
  /** Returns the work per second that the servers of a service are estimated to serve. */
  readonly getCapacity: (service: ServiceName) => number;
  readonly clock: Clock;
  readonly timeOfDay: () => number;
  readonly logger: Logger;
}

/**
 * Creates the exchanged state of one daemon.
 *
 * @param options - Counts, capacities and admission of the daemon.
 * @returns The state, for the state exchange.
 */
export function createPriorityExchange(options: PriorityExchangeOptions): StateChannel {
  const { demands, admission, clock, logger } = options;
  const reports = new Map<DaemonName, Report & { readonly receivedAt: number }>();
  const seenAt = new Map<ServiceName, Map<number, number>>();
  const controllers = new Map<ServiceName, PriorityController>();
  /** Work per second of each priority, averaged over some seconds. */
  const usualWork = new Map<ServiceName, ReadonlyMap<number, number>>();
  let reportedAt = clock.now();
  let updatedAt = Number.NEGATIVE_INFINITY;
  let restrictedAt = Number.NEGATIVE_INFINITY;
  let sequence = 0;

  return bindState<Report, PriorityAnnouncement>({
    name: "priorities",
    reportSchema,
    announcementSchema,
    createReport,
    receiveReport: (daemon, report) => {
      reports.set(daemon, { ...report, receivedAt: clock.now() });
      report.rows.forEach(({ service, priority }) => {
        const priorities = seenAt.get(service) ?? new Map<number, number>();
        seenAt.set(service, priorities.set(priority, clock.now()));
      });
    },
    createAnnouncement,
    receiveAnnouncement: (announcement) => {
      admission.apply(announcement);
    },
  });

  function createReport(): Report | undefined {
    const spanMs = Math.min(MAX_SPAN_MS, Math.max(MIN_SPAN_MS, clock.now() - reportedAt));
    reportedAt = clock.now();
    const rows = demands
      .takeReport()
      .filter(({ service }) => isMixed(service))
      .sort((one, other) => other.offered - one.offered)
      .slice(0, MAX_ROWS)
      .map(toValidRow);
    return rows.length === 0 ? undefined : { spanMs, rows };
  }

  /** A daemon that sees one priority reports it if others may see more. */
  function isMixed(service: ServiceName): boolean {
    return (
      demands.listPriorities(service).length > 1 ||
      options.isConfiguredMixed(service) ||
      admission.isAnnounced(service)
    );
  }

  function createAnnouncement(): PriorityAnnouncement | undefined {
    const now = clock.now();
    if (now - updatedAt > MAX_IDLE_MS) {
      controllers.clear();
    }
    updatedAt = now;
    evict();
    const services = [...seenAt]
      .filter(([, priorities]) => priorities.size > 1)
      .flatMap(([service, priorities]) => decide(service, [...priorities.keys()]))
      .slice(0, MAX_SERVICES);
    if (services.length > 0) {
      restrictedAt = now;
    }
    if (now - restrictedAt >= END_NOTICE_MS) {
      return undefined;
    }
    // A coordinator that was started again continues above the numbers of its former process.
    sequence = Math.max(sequence + 1, options.timeOfDay());
    const round = Math.floor(now / ROUND_MS);
    const roundLeftMs = (round + 1) * ROUND_MS - now;
    return { coordinator: options.daemon, sequence, round, roundLeftMs, services };
  }

  function decide(service: ServiceName, priorities: readonly number[]): PriorityAnnouncement["services"] {
    const capacity = options.getCapacity(service);
    if (capacity <= 0) {
      return [];
    }
    const summed = sumDemands(service, priorities, capacity);
    if (!areCompeting(updateUsual(service, summed))) {
      controllers.delete(service);
      return [];
    }
    const controller = controllers.get(service) ?? createPriorityController(admission.isAnnounced(service));
    controllers.set(service, controller);
    const wasShort = controller.isShort();
    const decision = controller.update({ demands: summed, capacity, isKeyed: options.isKeyed(service) });
    if (controller.isShort() !== wasShort) {
      logger.log(wasShort ? Event.PriorityShortageEnded : Event.PriorityShortageStarted, {
        service,
        offered: Math.round(summed.reduce((total, { offered }) => total + offered, 0)),
        capacity: Math.round(capacity),
      });
    }
    if (decision === undefined) {
      return [];
    }
    const shares = [...decision.shares].sort(([one], [other]) => one - other).slice(0, MAX_PRIORITIES);
    return [{ service, floor: decision.floor, shares }];
  }

  /** Returns the usual work of each priority: in a single interval a few requests are a part of a hundred by chance. */
  function updateUsual(
    service: ServiceName,
    summed: readonly PriorityDemand[],
  ): readonly { readonly offered: number }[] {
    const known = usualWork.get(service);
    const usual = new Map(
      summed.map(({ priority, offered }) => {
        const before = known === undefined ? offered : (known.get(priority) ?? 0);
        return [priority, before + (offered - before) * USUAL_WORK_WEIGHT] as const;
      }),
    );
    usualWork.set(service, usual);
    return [...usual.values()].map((offered) => ({ offered }));
  }

  /** Adds up the last reports of all daemons, each bounded, so that none decides for all. */
  function sumDemands(
    service: ServiceName,
    priorities: readonly number[],
    capacity: number,
  ): readonly PriorityDemand[] {
    const rates = [...reports.values()].map(({ spanMs, rows }) =>
      rows.filter((row) => row.service === service).map((row) => toRate(row, spanMs)),
    );
    const sums = new Map(
      priorities.map((priority) => [priority, { priority, offered: 0, withheld: 0, refused: 0 }]),
    );
    // Of two daemons, one may well get nearly all requests.
    const maxOffered = capacity * Math.max(MAX_DAEMON_SHARE, 2 / Math.max(1, rates.length));
    const allRefused = rates.reduce((total, own) => total + sumField(own, "refused"), 0);
    for (const own of rates) {
      const offered = sumField(own, "offered");
      const refused = sumField(own, "refused");
      const factor = offered > maxOffered ? maxOffered / offered : 1;
      // Other daemons must find as little capacity.
      const maxRefused = rates.length < MIN_CONFIRMING_DAEMONS ? refused : allRefused - refused;
      const refusedFactor = refused > maxRefused ? maxRefused / refused : 1;
      for (const row of own) {
        const sum = sums.get(row.priority);
        if (sum !== undefined) {
          sum.offered += row.offered * factor;
          sum.withheld += row.withheld * factor;
          sum.refused += row.refused * factor * refusedFactor;
        }
      }
    }
    return [...sums.values()];
  }

  function evict(): void {
    const now = clock.now();
    for (const [daemon, { receivedAt }] of reports) {
      if (now - receivedAt > REPORT_VALIDITY_MS) {
        reports.delete(daemon);
      }
    }
    for (const [service, priorities] of seenAt) {
      for (const [priority, at] of priorities) {
        if (now - at > MIXED_WINDOW_MS) {
          priorities.delete(priority);
        }
      }
      if (priorities.size === 0) {
        seenAt.delete(service);
        controllers.delete(service);
        usualWork.delete(service);
      }
    }
  }
}

function toValidRow(row: ReportedWork): Report["rows"][number] {
  const limit = (work: number) => Math.min(MAX_WORK, work);
  const { offered, withheld, refused } = row;
  return { ...row, offered: limit(offered), withheld: limit(withheld), refused: limit(refused) };
}

/** Returns the work per second. A request may be refused after the interval in which it was offered. */
function toRate({ priority, offered, withheld, refused }: ReportedWork, spanMs: number): PriorityDemand {
  const toSecond = (work: number) => (Math.min(offered, work) * MILLISECONDS_PER_SECOND) / spanMs;
  return {
    priority,
    offered: toSecond(offered),
    withheld: toSecond(withheld),
    refused: toSecond(refused),
  };
}

function sumField(rows: readonly PriorityDemand[], field: "offered" | "refused"): number {
  return rows.reduce((total, row) => total + row[field], 0);
}
