/** Exchange of server performance: daemons report what answers showed, the coordinator announces estimates. */
import { z } from "zod";
import type { ServerLoad } from "../protocols";
import type {
  AgedLoad,
  PerformanceEstimates,
  ProcessEstimate,
  ProcessObservation,
  ServerPerformance,
} from "../admission";
import type { Counters } from "../../observability";
import { type StateChannel, bindState } from "./stateExchange";

/** Maximum size of the content of a message, in bytes; with its frame it stays below 3 KB. */
const MAX_CONTENT_BYTES = 2800;
/** Maximum packed sizes of the parts of a message, in bytes. */
const OBSERVATION_BYTES = 32;
const RUNNING_SUMS_BYTES = 18;
const ESTIMATE_BYTES = 19;
const LOAD_BYTES = 20;
/** Queues in one announcement, the longest; estimates get the rest of it. */
const MAX_LOADS = 50;
const MAX_ESTIMATES = Math.floor((MAX_CONTENT_BYTES - MAX_LOADS * LOAD_BYTES) / ESTIMATE_BYTES);
/** Messages carry whole numbers: a packed fraction takes 9 bytes, a whole number up to 65,535 takes 3. */
const WORK_UNITS = 100;
const TIME_UNITS_PER_MS = 10;
const PERCENT = 100;

const MAX_UINT32 = 2 ** 32 - 1;
const MAX_UINT16 = 2 ** 16 - 1;
const uint32Schema = z.int().min(0).max(MAX_UINT32);
const uint16Schema = z.int().min(0).max(MAX_UINT16);

/** Running, waiting, slowness in percent, age in milliseconds. */
const loadSchema = z.tuple([uint16Schema, uint16Schema, uint16Schema, uint16Schema]);
/** Running, answers, work in hundredths, time in milliseconds. */
const runningSumsSchema = z.tuple([uint16Schema.min(1), uint16Schema.min(1), uint32Schema, uint32Schema]);
/** Process, time with momentary slowness in milliseconds, sums by running requests, load if any. */
const observationSchema = z.union([
  z.tuple([uint32Schema, uint32Schema, z.array(runningSumsSchema), loadSchema]),
  z.tuple([uint32Schema, uint32Schema, z.array(runningSumsSchema)]),
]);
/** Process, processing time in tenths of a millisecond, answers, effective slots, slowness in percent. */
const estimateSchema = z.tuple([
  uint32Schema,
  uint32Schema.min(1),
  uint16Schema,
  uint16Schema.min(1),
  uint16Schema.min(1),
]);
const announcementSchema = z.object({
  estimates: z.array(estimateSchema),
  loads: z.array(z.tuple([uint32Schema, loadSchema])),
});

type PackedLoad = z.infer<typeof loadSchema>;
type PackedObservation = z.infer<typeof observationSchema>;

/** Options for {@link createPerformanceExchange}. */
export interface PerformanceExchangeOptions {
  readonly performance: ServerPerformance;
  readonly estimates: PerformanceEstimates;
  /** Applies the newest load that any daemon knows of a process that has a queue. */
  readonly applyLoad: (process: number, load: AgedLoad) => void;
  readonly counters: Counters;
}

/**
 * Creates the exchanged state.
 *
 * @param options - Observations and estimates of this daemon, and those of the coordinator.
 * @returns The state, for the exchange.
 */
export function createPerformanceExchange(options: PerformanceExchangeOptions): StateChannel {
  const { performance, estimates, counters } = options;
  return bindState({
    name: "serverPerformance",
    reportSchema: z.array(observationSchema),
    announcementSchema,
    createReport: () => {
      const taken = performance.takeObservations(
        (observations) => measure(observations) <= MAX_CONTENT_BYTES,
      );
      return taken.length === 0 ? undefined : taken.map(packObservation);
    },
    receiveReport: (daemon, report) => {
      if (!estimates.record(daemon, report.map(unpackObservation))) {
        counters.increment("serverPerformance.reportsDropped");
      }
    },
    createAnnouncement: () => {
      const next = estimates.announce({ estimates: MAX_ESTIMATES, loads: MAX_LOADS });
      return next.estimates.length === 0 && next.loads.length === 0
        ? undefined
        : {
            estimates: next.estimates.map(packEstimate),
            loads: next.loads.map(({ process, load }): [number, PackedLoad] => [process, packLoad(load)]),
          };
    },
    receiveAnnouncement: (announcement) => {
      performance.apply(announcement.estimates.map(unpackEstimate));
      announcement.loads.forEach(([process, load]) => {
        options.applyLoad(process, unpackLoad(load));
      });
    },
  });
}

function measure(observations: readonly ProcessObservation[]): number {
  const sums = observations.reduce((total, { byRunning }) => total + byRunning.length, 0);
  return observations.length * OBSERVATION_BYTES + sums * RUNNING_SUMS_BYTES;
}

function packObservation({ process, byRunning, slowedMs, load }: ProcessObservation): PackedObservation {
  const sums = byRunning.map(({ running, answers, work, timeMs }): z.infer<typeof runningSumsSchema> => [
    running,
    limit(answers, MAX_UINT16),
    // A report of answers without work or time counts as impossible.
    Math.max(1, limit(work * WORK_UNITS, MAX_UINT32)),
    Math.max(1, limit(timeMs, MAX_UINT32)),
  ]);
  const slowed = limit(slowedMs, MAX_UINT32);
  return load === undefined ? [process, slowed, sums] : [process, slowed, sums, packLoad(load)];
}

function unpackObservation([process, slowedMs, sums, load]: PackedObservation): ProcessObservation {
  const byRunning = sums.map(([running, answers, work, timeMs]) => ({
    running,
    answers,
    work: work / WORK_UNITS,
    timeMs,
  }));
  return { process, byRunning, slowedMs, load: load === undefined ? undefined : unpackLoad(load) };
}

function packEstimate({ process, processingMs, slowness, answers, effectiveSlots }: ProcessEstimate) {
  const time = Math.max(1, limit(processingMs * TIME_UNITS_PER_MS, MAX_UINT32));
  const packed: z.infer<typeof estimateSchema> = [
    process,
    time,
    limit(answers, MAX_UINT16),
    limit(effectiveSlots, MAX_UINT16),
    Math.max(1, limit(slowness * PERCENT, MAX_UINT16)),
  ];
  return packed;
}

function unpackEstimate([process, time, answers, effectiveSlots, slowness]: z.infer<
  typeof estimateSchema
>): ProcessEstimate {
  return {
    process,
    processingMs: time / TIME_UNITS_PER_MS,
    slowness: slowness / PERCENT,
    answers,
    effectiveSlots,
  };
}

function packLoad({ load, ageMs }: AgedLoad): PackedLoad {
  const { running, waiting, slowness } = load;
  return [
    limit(running, MAX_UINT16),
    limit(waiting, MAX_UINT16),
    limit(slowness * PERCENT, MAX_UINT16),
    limit(ageMs, MAX_UINT16),
  ];
}

function unpackLoad([running, waiting, slowness, ageMs]: PackedLoad): AgedLoad {
  const load: Omit<ServerLoad, "slots"> = { running, waiting, slowness: slowness / PERCENT };
  return { load, ageMs };
}

function limit(value: number, max: number): number {
  return Math.min(max, Math.round(value));
}
