/**
 * Reports the requests per key to the coordinator by datagrams; a lost one only makes the coordinator's load
 * figures less accurate.
 */
import { z } from "zod";
import type { DatagramChannel } from "../membership";
import { type Logger, createErrorReport } from "../observability";
import { type Address, type Clock, type ServiceName, repeat } from "../types";
import type { KeyLoad } from "./keyLoad";
import { KEY_COUNT } from "./types";

/** About the interval at which the coordinator moves keys. */
const REPORT_INTERVAL_MS = 400;
/** Keeps a report within one network packet. */
const MAX_KEYS_PER_REPORT = 250;

const DATAGRAM_KIND = "keyLoad";

const reportSchema = z
  .object({
    service: z.string().min(1),
    /** Keys that had requests. */
    keys: z.array(
      z
        .int()
        .min(0)
        .max(KEY_COUNT - 1),
    ),
    /** Number of requests for each of the keys since the last report, weighted by their work. */
    requests: z.array(z.number().positive()),
  })
  .refine(
    (report) => report.keys.length === report.requests.length,
    "keys and requests must have the same length",
  );

/** Options for {@link createLoadReporter}. */
export interface LoadReporterOptions {
  readonly channel: DatagramChannel;
  readonly clock: Clock;
  /** Returns whether this daemon is the coordinator. */
  readonly isCoordinator: () => boolean;
  /** Returns the address at which the coordinator receives reports; undefined while there is none. */
  readonly findCoordinator: () => Address | undefined;
  readonly getKeyLoad: (service: ServiceName) => KeyLoad;
  readonly logger: Logger;
}

/** Reports this daemon's requests to the coordinator. */
export interface LoadReporter {
  /** Records a request for a key, and its work relative to the service's other requests. */
  record(service: ServiceName, key: number, weight: number): void;
  /** Sends reports until aborted. */
  run(signal: AbortSignal): Promise<void>;
}

/**
 * Creates a load reporter, which also records the reports of other daemons.
 *
 * @param options - Datagram channel, coordinator and key loads.
 * @returns The reporter; it sends reports only while `run` is running.
 */
export function createLoadReporter(options: LoadReporterOptions): LoadReporter {
  const { channel } = options;
  const pending = new Map<ServiceName, Map<number, number>>();
  channel.receive(DATAGRAM_KIND, reportSchema, ({ service, keys, requests }) => {
    recordCounts(
      service,
      keys.map((key, index) => [key, requests[index] ?? 0]),
    );
  });

  return {
    record: (service, key, weight) => {
      const keys = pending.get(service) ?? new Map<number, number>();
      pending.set(service, keys);
      keys.set(key, (keys.get(key) ?? 0) + weight);
    },
    run: (signal) =>
      repeat(
        options.clock,
        REPORT_INTERVAL_MS,
        signal,
        flush,
        createErrorReport(options.logger, "report key load"),
      ),
  };

  function flush(): void {
    for (const [service, keys] of pending) {
      if (options.isCoordinator()) {
        recordCounts(service, [...keys]);
      } else {
        send(service, [...keys]);
      }
    }
    pending.clear();
  }

  function send(service: ServiceName, counts: readonly (readonly [number, number])[]): void {
    const coordinator = options.findCoordinator();
    if (coordinator === undefined) {
      return;
    }
    for (let start = 0; start < counts.length; start += MAX_KEYS_PER_REPORT) {
      const part = counts.slice(start, start + MAX_KEYS_PER_REPORT);
      const report = {
        service,
        keys: part.map(([key]) => key),
        requests: part.map(([, requests]) => requests),
      };
      channel.send(coordinator, DATAGRAM_KIND, report);
    }
  }

  function recordCounts(service: ServiceName, counts: readonly (readonly [number, number])[]): void {
    const load = options.getKeyLoad(service);
    for (const [key, requests] of counts) {
      load.record(key, requests);
    }
  }
}
