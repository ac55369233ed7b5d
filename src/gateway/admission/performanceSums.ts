/** Decaying sums over the answers of one process, and what follows from them: its speed and its effective slots. */
import { MAX_COUNTED_RUNNING, type RunningSums } from "./serverPerformance";

/** Changes of the speed are followed at this rate; at 7 answers/s it leaves about 60 answers to average. */
const SPEED_HALF_LIFE_MS = 6000;
/** The number of requests at which a server slows down is its property and needs more answers than its speed. */
const CURVE_HALF_LIFE_MS = 120_000;
/** Share of the best throughput that the effective slots must give. */
const THROUGHPUT_SHARE = 0.9;
/**
 * Share of the difference between two numbers of requests that is left in the mean times by number: an answer states
 * the number at its end, which changed while it ran. Simulated servers leave 0.55 to 0.7.
 */
const REMAINING_DIFFERENCE = 0.6;
/** Weight of the mean over all numbers of requests against the answers at one number, in answers. */
const CURVE_PRIOR_ANSWERS = 10;
/**
 * Uncertainty of the mean time of one answer, relative to the mean: for fewer than the best number of requests the
 * throughput counts less that much over the root of its answers.
 */
const UNCERTAINTY = 1;
/** Least mean time at one number of requests, relative to that at all. */
const MIN_RELATIVE_TIME = 0.25;
/**
 * A speed that differs from that of the long count by more than this has changed, and the long count starts again: the
 * number of requests changes with the speed, so that old and new answers together would look like a slowdown.
 */
const MAX_CHANGE = 1.6;
const MIN_SPEED_ANSWERS = 20;
/** With fewer answers the stated slots count. */
const MIN_CURVE_ANSWERS = 300;

interface Sums {
  answers: number;
  work: number;
  time: number;
}

/** Decaying sums over the answers of one process. */
export interface PerformanceSums {
  /** Adds answers and the sum of their processing times with momentary slowness, in milliseconds. */
  add(byRunning: readonly RunningSums[], slowedMs: number): void;
  /** Starts with answers at one number of requests, each of which took `unitMs` for a unit of work when not slowed. */
  start(running: number, answers: number, unitMs: number, slowness: number): void;
  /** Returns the decayed number of answers. */
  countAnswers(): number;
  /** Returns the mean time for a unit of work at no more than `slots` concurrent requests, in milliseconds. */
  findMeanMs(slots: number): number | undefined;
  /** Returns the decayed processing times with and without momentary slowness, in milliseconds. */
  getTimes(): { readonly slowedMs: number; readonly timeMs: number };
  /** Returns the smallest number of concurrent requests that gives nearly the best throughput; undefined if unsure. */
  findEffectiveSlots(slots: number): number | undefined;
}

/**
 * Creates empty sums.
 *
 * @param now - Returns the time in milliseconds.
 * @returns The sums.
 */
export function createPerformanceSums(now: () => number): PerformanceSums {
  const speed = new Map<number, Sums>();
  const curve = new Map<number, Sums>();
  let slowedMs = 0;
  let decayedAt = now();

  return {
    add: (byRunning, addedSlowedMs) => {
      decay();
      slowedMs += addedSlowedMs;
      for (const { running, answers, work, timeMs } of byRunning) {
        addTo(speed, running, answers, work, timeMs);
        addTo(curve, running, answers, work, timeMs);
      }
    },
    start: (running, answers, unitMs, slowness) => {
      slowedMs = answers * unitMs * slowness;
      addTo(speed, running, answers, answers, answers * unitMs);
    },
    countAnswers: () => {
      decay();
      return total(speed).answers;
    },
    findMeanMs: (slots) => {
      decay();
      const { work } = total(speed);
      const times = [...speed].map(([running, sums]) => sums.time * Math.min(1, slots / running));
      return work <= 0 ? undefined : times.reduce((sum, time) => sum + time, 0) / work;
    },
    getTimes: () => {
      decay();
      return { slowedMs, timeMs: total(speed).time };
    },
    findEffectiveSlots: (slots) => {
      decay();
      if (hasSpeedChanged()) {
        curve.clear();
      }
      return findEffectiveSlots(slots);
    },
  };

  function decay(): void {
    const elapsedMs = now() - decayedAt;
    if (elapsedMs > 0) {
      decayedAt = now();
      const speedFactor = 0.5 ** (elapsedMs / SPEED_HALF_LIFE_MS);
      slowedMs *= speedFactor;
      scale(speed, speedFactor);
      scale(curve, 0.5 ** (elapsedMs / CURVE_HALF_LIFE_MS));
    }
  }

  function hasSpeedChanged(): boolean {
    const [recent, long] = [total(speed), total(curve)];
    const ratio = recent.time / recent.work / (long.time / long.work);
    return recent.answers >= MIN_SPEED_ANSWERS && (ratio > MAX_CHANGE || ratio < 1 / MAX_CHANGE);
  }

  /** A number of requests that has rarely been seen counts as no slower than the others. */
  function findEffectiveSlots(slots: number): number | undefined {
    const { answers, work, time } = total(curve);
    if (answers < MIN_CURVE_ANSWERS || work <= 0 || slots > MAX_COUNTED_RUNNING) {
      return undefined;
    }
    const mean = time / work;
    const throughputs = Array.from({ length: slots }, (_, index) => {
      const sums = curve.get(index + 1) ?? { answers: 0, work: 0, time: 0 };
      const unitTime = (sums.time + CURVE_PRIOR_ANSWERS * mean) / (sums.work + CURVE_PRIOR_ANSWERS);
      const corrected = mean + (unitTime - mean) / REMAINING_DIFFERENCE;
      const throughput = (index + 1) / Math.max(MIN_RELATIVE_TIME * mean, corrected);
      return { throughput, certain: throughput / (1 + UNCERTAINTY / Math.sqrt(sums.answers + 1)) };
    });
    const best = Math.max(...throughputs.map(({ throughput }) => throughput));
    const index = throughputs.findIndex(
      ({ throughput, certain }) => throughput === best || certain >= THROUGHPUT_SHARE * best,
    );
    return index + 1;
  }
}

function addTo(
  target: Map<number, Sums>,
  running: number,
  answers: number,
  work: number,
  time: number,
): void {
  const sums = target.get(running) ?? { answers: 0, work: 0, time: 0 };
  target.set(running, {
    answers: sums.answers + answers,
    work: sums.work + work,
    time: sums.time + time,
  });
}

function scale(target: Map<number, Sums>, factor: number): void {
  for (const sums of target.values()) {
    sums.answers *= factor;
    sums.work *= factor;
    sums.time *= factor;
  }
}

function total(sums: ReadonlyMap<number, Sums>): Sums {
  const all = { answers: 0, work: 0, time: 0 };
  for (const each of sums.values()) {
    all.answers += each.answers;
    all.work += each.work;
    all.time += each.time;
  }
  return all;
}
