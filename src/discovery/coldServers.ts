/**
 * How long backend servers stay cold: by their entries, by their answers, and by what other daemons know. A cold
 * server's rate holds for all daemons together, so one that the object store refuses must keep to it as well.
 */
import type { Clock, DataCentreName, ServerName } from "../types";
import { MAX_COLDNESS_MS } from "./freshnessMessages";
import type { StatedColdness } from "./types";

/** Maximum servers in one message, those that stay cold the longest; with the data centres about 0.5 KB. */
const MAX_SHARED_SERVERS = 20;
/** Maximum data centres in one message, those that returned last. */
const MAX_SHARED_DATA_CENTRES = 8;
/** How long the return of a data centre is passed on; exceeds the time for which its servers stay cold. */
const RETURN_SHARED_FOR_MS = 60_000;

/** Where a daemon knows from that a server is cold. */
type ColdnessSource = "entry" | "answer" | "daemon";

interface Coldness {
  readonly until: number;
  readonly source: ColdnessSource;
}

/** The servers that are cold, and the data centres that have returned to service. */
export interface ColdServers {
  /** Records a new process of a server; what was known of an earlier one no longer counts. */
  replace(name: ServerName, coldForMs: number): void;
  /** Records how long a server stays cold; never shortens the known time. */
  extend(name: ServerName, coldForMs: number, source: ColdnessSource): void;
  /** Returns the local time until which a server is cold; negative infinity when nothing is known. */
  getUntil(name: ServerName): number;
  /** Records that a data centre returned to service `agoMs` milliseconds ago. */
  recordReturn(dataCentre: DataCentreName, agoMs: number): void;
  /** Returns the local time at which a data centre returned; negative infinity when it was not excluded. */
  getReturnedAt(dataCentre: DataCentreName): number;
  /** Returns what servers have told this daemon; the coordinator knows the rest from the object store. */
  shareAnswers(): StatedColdness;
  /** Returns all that this daemon knows. */
  shareAll(): StatedColdness;
}

/**
 * Creates an empty record.
 *
 * @param clock - Clock that the times are measured by.
 * @returns The record.
 */
export function createColdServers(clock: Clock): ColdServers {
  const coldness = new Map<ServerName, Coldness>();
  const returnedAt = new Map<DataCentreName, number>();

  return {
    replace: (name, coldForMs) => {
      coldness.delete(name);
      extend(name, coldForMs, "entry");
    },
    extend,
    getUntil: (name) => coldness.get(name)?.until ?? Number.NEGATIVE_INFINITY,
    recordReturn: (dataCentre, agoMs) => {
      returnedAt.set(dataCentre, Math.max(getReturnedAt(dataCentre), clock.now() - agoMs));
    },
    getReturnedAt,
    // What other daemons said is not sent back, or its delays would add up and the time would never end.
    shareAnswers: () => ({ servers: share(({ source }) => source === "answer"), returned: {} }),
    shareAll: () => ({ servers: share(() => true), returned: shareReturned() }),
  };

  function extend(name: ServerName, coldForMs: number, source: ColdnessSource): void {
    const until = clock.now() + Math.min(coldForMs, MAX_COLDNESS_MS);
    if (coldForMs > 0 && until > (coldness.get(name)?.until ?? 0)) {
      coldness.set(name, { until, source });
    }
  }

  function getReturnedAt(dataCentre: DataCentreName): number {
    return returnedAt.get(dataCentre) ?? Number.NEGATIVE_INFINITY;
  }

  function share(isShared: (known: Coldness) => boolean): StatedColdness["servers"] {
    evict();
    const shared = [...coldness]
      .filter(([, known]) => isShared(known))
      .sort(([, left], [, right]) => right.until - left.until)
      .slice(0, MAX_SHARED_SERVERS);
    return Object.fromEntries(shared.map(([name, { until }]) => [name, Math.ceil(until - clock.now())]));
  }

  function shareReturned(): StatedColdness["returned"] {
    const shared = [...returnedAt]
      .filter(([, at]) => clock.now() - at <= RETURN_SHARED_FOR_MS)
      .sort(([, left], [, right]) => right - left)
      .slice(0, MAX_SHARED_DATA_CENTRES);
    return Object.fromEntries(shared.map(([dataCentre, at]) => [dataCentre, Math.floor(clock.now() - at)]));
  }

  function evict(): void {
    for (const [name, { until }] of coldness) {
      if (until <= clock.now()) {
        coldness.delete(name);
      }
    }
  }
}
