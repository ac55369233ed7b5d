/**
 * Decides, at the coordinator, whether a service is short of capacity, and which share of each priority is admitted.
 * Offered work and capacity are estimates. The requests that found no capacity show by how much the estimate of the
 * capacity is wrong, and correct it: multiplicative decrease, slow increase.
 */
import { type PriorityDemand, computeFloor, computePriorityShares } from "./priorityShares";

/** Estimates and limits of one service at one time. */
export interface ServiceDemand {
  readonly demands: readonly PriorityDemand[];
  /** Work per second that the servers are estimated to serve. */
  readonly capacity: number;
  /** Whether each key has one owner, so that single servers are short while others have room. */
  readonly isKeyed: boolean;
}

/** Shares of a service. */
export interface ServiceShares {
  readonly shares: ReadonlyMap<number, number>;
  /** Share of a priority that is not listed. */
  readonly floor: number;
}

/** Decides for one service. */
export interface PriorityController {
  /** Takes the estimates of the last interval of 400 ms. Returns the shares; undefined when all are 1. */
  update(demand: ServiceDemand): ServiceShares | undefined;
  isShort(): boolean;
}

/** Refused share of the work that confirms a shortage which the estimates show. */
const CONFIRMING_REFUSALS = 0.02;
/** Refused share of the work that shows a shortage although the estimates show none. */
const CONTRADICTING_REFUSALS = 0.05;
/**
 * Part of the estimated capacity that a keyed service must serve before its refusals show a shortage: with less, they
 * come from single owners. Capacities are estimated within about a fifth.
 */
const KEYED_SHORTAGE = 0.8;
/** Below this part of the capacity a shortage has ended, at the second interval without an excess between. */
const END_RATIO = 0.9;
const END_INTERVALS = 2;
/** Below this part it has ended at once. */
const CLEAR_END_RATIO = 0.75;
/** Refused share of the most urgent work above which the capacity is lowered. */
const MAX_URGENT_REFUSALS = 0.05;
/** Refused share of all work below which the capacity is raised. */
const MAX_PROBING_REFUSALS = 0.02;
/** Part of the capacity that must be in use before more is tried: otherwise the lack of refusals shows nothing. */
const MIN_PROBING_USE = 0.9;
/** Intervals until refusals show the effect of shares that were announced. */
const EFFECT_INTERVALS = 3;
const MIN_DECREASE_FACTOR = 0.8;
/** What is served shows that the capacity is not lower; the difference lets queues become shorter. */
const MIN_SERVED_RATIO = 0.95;
/** Weight of an interval in the served work. */
const SERVED_WEIGHT = 0.5;
const MIN_FIRST_DECREASE_FACTOR = 0.7;
const INCREASE_FACTOR = 1.05;
/** Excess over the estimate without refusals: queues can hide a shortage for an interval, so the rise is slow. */
const UNREFUSED_INCREASE_FACTOR = 1.05;
/** Per interval without a shortage; half of a correction is forgotten within a minute. */
const FORGETTING = 0.005;
const MIN_CORRECTION = 0.3;
const MAX_CORRECTION = 1.5;
/** Deviation of the offered work that a smoothed value follows at once: the onset or the end of a burst. */
const JUMP_RATIO = 0.3;
/** Smaller changes of a share are not announced; random variation of the counts is about as large. */
const DEAD_BAND = 0.04;
/** Intervals for which a share that has fallen does not rise, so that it does not follow random variation. */
const MIN_HOLD_INTERVALS = 2;
/** Maximum rise of a share in one interval during a shortage, and after it. */
const MAX_RISE = 0.25;
const MAX_FINAL_RISE = 0.34;

/**
 * Creates a controller.
 *
 * @param wasShort - Whether a former coordinator's shares are in force for the service.
 * @returns The controller.
 */
export function createPriorityController(wasShort = false): PriorityController {
  const shares = new Map<number, number>();
  /** Shares before the last update: reports may still come from requests that these have decided on. */
  let formerShares: ReadonlyMap<number, number> = new Map();
  const intervalsSinceFall = new Map<number, number>();
  const smoothed = new Map<number, number>();
  let correction = 1;
  let isShort = wasShort;
  let served = 0;
  let shortIntervals = 0;
  let calmIntervals = 0;

  return { update, isShort: () => isShort };

  function update(demand: ServiceDemand): ServiceShares | undefined {
    const { demands, capacity, isKeyed } = demand;
    smooth(demands);
    const offered = sum(smoothed.values());
    recordServed(demands);
    if (isShort) {
      correctCapacity(demand);
      detectEnd(offered, capacity);
    } else {
      detectStart(demand, offered);
    }
    if (isShort) {
      setCorrection(Math.max(correction, (MIN_SERVED_RATIO * served) / capacity), isKeyed);
    }
    const usable = correction * capacity;
    const targets = isShort
      ? computePriorityShares(
          [...smoothed].map(([priority, work]) => ({ priority, offered: work })),
          usable,
        )
      : new Map<number, number>();
    formerShares = new Map(shares);
    demands.forEach(({ priority }) => {
      move(priority, targets.get(priority) ?? 1);
    });
    const isRestricted = isShort || [...shares.values()].some((share) => share < 1);
    return isRestricted ? { shares: new Map(shares), floor: computeFloor(offered, usable) } : undefined;
  }

  /** Follows jumps at once and averages smaller deviations, which are random. */
  function smooth(demands: readonly PriorityDemand[]): void {
    const current = demands.map((demand) => [demand.priority, getDistinct(demand)] as const);
    const before = sum(smoothed.values());
    const now = sum(current.map(([, work]) => work));
    const isJump = Math.abs(now - before) > JUMP_RATIO * before;
    const known = new Map(smoothed);
    smoothed.clear();
    for (const [priority, work] of current) {
      smoothed.set(priority, isJump ? work : (work + (known.get(priority) ?? work)) / 2);
    }
    [...shares.keys()].filter((priority) => !smoothed.has(priority)).forEach((each) => shares.delete(each));
  }

  /**
   * Returns the offered work without repetitions within a round, which are all refused: admitted by a share, it gives
   * the work that has been admitted.
   */
  function getDistinct({ priority, offered, withheld }: PriorityDemand): number {
    const share = Math.max(shares.get(priority) ?? 1, formerShares.get(priority) ?? 1);
    return Math.min(offered, (offered - withheld) / share);
  }

  function recordServed(demands: readonly PriorityDemand[]): void {
    const now = getAdmitted(demands) * (1 - getRefusedShare(demands));
    served += (now - served) * SERVED_WEIGHT;
  }

  function detectStart({ demands, capacity, isKeyed }: ServiceDemand, offered: number): void {
    const refusedShare = getRefusedShare(demands);
    const isExceeded = offered > correction * capacity;
    const isLocal = isKeyed && served < KEYED_SHORTAGE * capacity;
    if (!isLocal && isExceeded && refusedShare > CONFIRMING_REFUSALS) {
      start();
    } else if (!isLocal && refusedShare > CONTRADICTING_REFUSALS) {
      setCorrection(Math.max(correction * MIN_FIRST_DECREASE_FACTOR, served / capacity), isKeyed);
      start();
    } else if (isExceeded && refusedShare <= CONFIRMING_REFUSALS) {
      setCorrection(correction * UNREFUSED_INCREASE_FACTOR, isKeyed);
    } else {
      setCorrection(correction + (1 - correction) * FORGETTING, isKeyed);
    }
  }

  function start(): void {
    isShort = true;
    shortIntervals = 0;
    calmIntervals = 0;
  }

  function correctCapacity({ demands, capacity, isKeyed }: ServiceDemand): void {
    shortIntervals += 1;
    const [urgent] = [...demands]
      .filter(({ offered }) => offered > 0)
      .sort((one, other) => one.priority - other.priority);
    if (urgent === undefined || shortIntervals < EFFECT_INTERVALS) {
      return;
    }
    const urgentRefusals = getRefusedShare([urgent]);
    if (urgentRefusals > MAX_URGENT_REFUSALS) {
      const lowered = correction * Math.max(MIN_DECREASE_FACTOR, 1 - urgentRefusals);
      setCorrection(lowered, isKeyed);
    } else if (
      getRefusedShare(demands) < MAX_PROBING_REFUSALS &&
      served > MIN_PROBING_USE * correction * capacity
    ) {
      setCorrection(correction * INCREASE_FACTOR, isKeyed);
    }
  }

  function detectEnd(offered: number, capacity: number): void {
    const ratio = offered / (correction * capacity);
    if (ratio < END_RATIO) {
      calmIntervals += 1;
    } else if (ratio > 1) {
      calmIntervals = 0;
    }
    if (ratio < CLEAR_END_RATIO) {
      shares.clear();
    }
    if (calmIntervals >= END_INTERVALS || ratio < CLEAR_END_RATIO) {
      isShort = false;
    }
  }

  /** Refusals by single owners of keys must not lower the capacity of the whole service by more than its error. */
  function setCorrection(value: number, isKeyed: boolean): void {
    correction = Math.min(MAX_CORRECTION, Math.max(isKeyed ? KEYED_SHORTAGE : MIN_CORRECTION, value));
  }

  /** Moves a share towards its target: down at once, up slowly and not directly after a fall. */
  function move(priority: number, target: number): void {
    const share = shares.get(priority) ?? 1;
    const sinceFall = (intervalsSinceFall.get(priority) ?? Number.POSITIVE_INFINITY) + 1;
    intervalsSinceFall.set(priority, target < share - DEAD_BAND ? 0 : sinceFall);
    if (!isShort) {
      shares.set(priority, Math.min(1, share + MAX_FINAL_RISE));
    } else if (target < share - DEAD_BAND) {
      shares.set(priority, target);
    } else if (sinceFall > MIN_HOLD_INTERVALS && (target > share + DEAD_BAND || target === 1)) {
      const maxRise = calmIntervals === 0 ? MAX_RISE : MAX_FINAL_RISE;
      shares.set(priority, Math.min(target, share + maxRise));
    }
  }
}

/** Work that the shares have let pass. */
function getAdmitted(demands: readonly PriorityDemand[]): number {
  return sum(demands.map(({ offered, withheld }) => offered - withheld));
}

/** Returns the part of the admitted work that found no capacity. */
function getRefusedShare(demands: readonly PriorityDemand[]): number {
  const admitted = getAdmitted(demands);
  return admitted > 0 ? Math.min(1, sum(demands.map(({ refused }) => refused)) / admitted) : 0;
}

function sum(values: Iterable<number>): number {
  return [...values].reduce((total, value) => total + value, 0);
}
