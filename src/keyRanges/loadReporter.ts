/** Tells the coordinator which keys are requested, by datagrams; a lost one only makes its picture coarser. */
import { z } from "zod";
import type { DatagramChannel } from "../membership";
import { type Address, type Clock, type ServiceName, repeat } from "../types";
import type { KeyLoad } from "./keyLoad";
import { KEY_COUNT } from "./types";

/** The coordinator moves keys at about this pace. */
const REPORT_INTERVAL_MS = 400;
/** Keeps a report within one packet. */
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
    /** Requests of each of the keys since the last report. */
    requests: z.array(z.int().positive()),
  })
  .refine((report) => report.keys.length === report.requests.length, "as many counts as groups");

/** What the reports are made from. */
export interface LoadReporterOptions {
  readonly channel: DatagramChannel;
  readonly clock: Clock;
  /** Whether this daemon coordinates. */
  readonly isCoordinator: () => boolean;
  /** Where the coordinator takes reports; undefined while there is none. */
  readonly findCoordinator: () => Address | undefined;
  readonly getKeyLoad: (service: ServiceName) => KeyLoad;
}

/** Reports of this daemon's requests. */
export interface LoadReporter {
  /** Takes note of a request. */
  record(service: ServiceName, key: number): void;
  /** Sends reports until aborted. */
  run(signal: AbortSignal): Promise<void>;
}

/**
 * Creates the reports and takes those of other daemons.
 *
 * @param options - Channel and counts.
 * @returns The reports.
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
    record: (service, key) => {
      const keys = pending.get(service) ?? new Map<number, number>();
      pending.set(service, keys);
      keys.set(key, (keys.get(key) ?? 0) + 1);
    },
    run: (signal) => repeat(options.clock, REPORT_INTERVAL_MS, signal, flush),
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
