/** Counts the requests of a daemon by service and priority, weighted by their work. */
import type { Clock, ServiceName } from "../../types";
import type { Route } from "../types";
import type { PriorityDemand } from "./priorityShares";

/** Requests of a priority that have not been seen for this time no longer make a service mixed. */
export const MIXED_WINDOW_MS = 10_000;
/** Window of the rates by which a daemon decides on its own. */
const RATE_WINDOW_MS = 2000;
const BUCKET_MS = 500;
const MILLISECONDS_PER_SECOND = 1000;

/** Work of one priority since the last report, not per second. */
export interface ReportedWork {
  readonly service: ServiceName;
  readonly priority: number;
  readonly offered: number;
  readonly withheld: number;
  readonly refused: number;
}

interface Bucket {
  readonly index: number;
  offered: number;
  refused: number;
  withheld: number;
}

/** What has happened to a request. */
export type DemandKind = "offered" | "refused" | "withheld";

/** Requests of one daemon by service and priority. */
export interface PriorityDemands {
  /** Records a request, that it found no capacity (`refused`), or that a share has refused it (`withheld`). */
  record(kind: DemandKind, service: ServiceName, priority: number, work: number): void;
  /** Returns the rates of the last two seconds by priority, the most urgent first. */
  measure(service: ServiceName): readonly PriorityDemand[];
  /** Returns the priorities seen within the last ten seconds, the most urgent first. */
  listPriorities(service: ServiceName): readonly number[];
  /** Returns and resets the work since the last call. */
  takeReport(): readonly ReportedWork[];
}

/**
 * Creates counts without any request.
 *
 * @param clock - Clock that the windows are measured by.
 * @returns The counts.
 */
export function createPriorityDemands(clock: Clock): PriorityDemands {
  const services = new Map<ServiceName, Map<number, Bucket[]>>();
  const unreported = new Map<string, { -readonly [Field in keyof ReportedWork]: ReportedWork[Field] }>();

  return {
    record: (kind, service, priority, work) => {
      getCurrentBucket(service, priority)[kind] += work;
      const id = `${priority}/${service}`;
      const entry = unreported.get(id) ?? { service, priority, offered: 0, withheld: 0, refused: 0 };
      entry[kind] += work;
      unreported.set(id, entry);
    },
    measure: (service) =>
      listPriorities(service).map((priority) => {
        const oldest = getIndex() - RATE_WINDOW_MS / BUCKET_MS;
        const recent = (services.get(service)?.get(priority) ?? []).filter(({ index }) => index > oldest);
        const sum = (kind: DemandKind) =>
          (recent.reduce((total, bucket) => total + bucket[kind], 0) * MILLISECONDS_PER_SECOND) /
          RATE_WINDOW_MS;
        return { priority, offered: sum("offered"), withheld: sum("withheld"), refused: sum("refused") };
      }),
    listPriorities,
    takeReport: () => {
      const report = [...unreported.values()];
      unreported.clear();
      return report;
    },
  };

  function getIndex(): number {
    return Math.floor(clock.now() / BUCKET_MS);
  }

  function getCurrentBucket(service: ServiceName, priority: number): Bucket {
    const priorities = services.get(service) ?? new Map<number, Bucket[]>();
    services.set(service, priorities);
    const buckets = priorities.get(priority) ?? [];
    priorities.set(priority, buckets);
    const index = getIndex();
    let bucket = buckets.at(-1);
    if (bucket?.index !== index) {
      bucket = { index, offered: 0, refused: 0, withheld: 0 };
      buckets.push(bucket);
      while ((buckets[0]?.index ?? index) <= index - MIXED_WINDOW_MS / BUCKET_MS) {
        buckets.shift();
      }
    }
    return bucket;
  }

  function listPriorities(service: ServiceName): readonly number[] {
    const priorities = services.get(service);
    if (priorities === undefined) {
      return [];
    }
    const oldest = getIndex() - MIXED_WINDOW_MS / BUCKET_MS;
    for (const [priority, buckets] of priorities) {
      if ((buckets.at(-1)?.index ?? oldest) <= oldest) {
        priorities.delete(priority);
      }
    }
    return [...priorities.keys()].sort((one, other) => one - other);
  }
}

/**
 * Returns whether the routes to a service have different priorities.
 *
 * @param routes - Routes of the configuration in force; undefined while there is none.
 * @param service - The service.
 * @returns Whether they differ.
 */
export function isMixedService(routes: readonly Route[] | undefined, service: ServiceName): boolean {
  const own = (routes ?? []).filter((route) => route.services.some((each) => each.service === service));
  return own.some((route) => route.priority !== own[0]?.priority);
}
