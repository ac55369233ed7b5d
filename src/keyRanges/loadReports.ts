/** Tells the coordinator which keys are requested, by datagrams; a lost one only makes its picture coarser. */
import { z } from "zod";
import type { DatagramChannel } from "../membership";
import { type Address, type Clock, type ServiceName, repeat } from "../types";
import { type KeyLoad, KEYS_PER_GROUP } from "./keyLoad";
import { KEY_COUNT } from "./types";

/** The coordinator moves keys at about this pace. */
const REPORT_MS = 400;
/** Keeps a report within one packet. */
const GROUPS_PER_REPORT = 250;

const KIND = "keyLoad";

const reportSchema = z
  .object({
    service: z.string().min(1),
    /** Groups of neighbouring keys that had requests. */
    groups: z.array(
      z
        .int()
        .min(0)
        .max(KEY_COUNT / KEYS_PER_GROUP - 1),
    ),
    /** Requests of each of the groups since the last report. */
    requests: z.array(z.int().positive()),
  })
  .refine((report) => report.groups.length === report.requests.length, "as many counts as groups");

/** What the reports are made from. */
export interface LoadReportOptions {
  readonly channel: DatagramChannel;
  readonly clock: Clock;
  /** Whether this daemon coordinates. */
  readonly isCoordinator: () => boolean;
  /** Where the coordinator takes reports; undefined while there is none. */
  readonly coordinator: () => Address | undefined;
  readonly loadOf: (service: ServiceName) => KeyLoad;
}

/** Reports of this daemon's requests. */
export interface LoadReports {
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
export function createLoadReports(options: LoadReportOptions): LoadReports {
  const { channel } = options;
  const pending = new Map<ServiceName, Map<number, number>>();
  channel.receive(KIND, reportSchema, ({ service, groups, requests }) => {
    apply(
      service,
      groups.map((group, index) => [group, requests[index] ?? 0]),
    );
  });

  return {
    record: (service, key) => {
      const groups = pending.get(service) ?? new Map<number, number>();
      pending.set(service, groups);
      const group = Math.floor(key / KEYS_PER_GROUP);
      groups.set(group, (groups.get(group) ?? 0) + 1);
    },
    run: (signal) => repeat(options.clock, REPORT_MS, signal, flush),
  };

  function flush(): void {
    for (const [service, groups] of pending) {
      if (options.isCoordinator()) {
        apply(service, [...groups]);
      } else {
        send(service, [...groups]);
      }
    }
    pending.clear();
  }

  function send(service: ServiceName, groups: readonly (readonly [number, number])[]): void {
    const coordinator = options.coordinator();
    if (coordinator === undefined) {
      return;
    }
    for (let start = 0; start < groups.length; start += GROUPS_PER_REPORT) {
      const part = groups.slice(start, start + GROUPS_PER_REPORT);
      const report = {
        service,
        groups: part.map(([group]) => group),
        requests: part.map(([, requests]) => requests),
      };
      channel.send(coordinator, KIND, report);
    }
  }

  function apply(service: ServiceName, groups: readonly (readonly [number, number])[]): void {
    const load = options.loadOf(service);
    for (const [group, requests] of groups) {
      load.record(group * KEYS_PER_GROUP, requests);
    }
  }
}
