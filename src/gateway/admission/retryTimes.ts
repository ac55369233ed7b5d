/** Retry-after times of refused requests: which rule applies, and what is known of the obstacle. */
import type { ServerDirectory } from "../../discovery";
import type { Clock } from "../../types";
import { RejectionReason } from "../attemptTypes";
import type { DecisionInputs, RoutedRequest } from "../dispatchTypes";
import type { PriorityAdmission } from "./priorityAdmission";
import { MAX_RETRY_AFTER_SHARE, MIN_RETRY_AFTER_SHARE, chooseReturnMs } from "./returnTimes";
import type { RouteCosts } from "./routeCosts";
import type { Obstacle } from "./serverAdmission";
import type { ServerLoads } from "./serverLoads";

/**
 * Spread of the retry-after time above {@link MIN_RETRY_AFTER_SHARE}, as a share of the remaining time, so that
 * refused callers do not all retry at once.
 */
const RETRY_AFTER_SPREAD = 0.16;

/** Options for {@link createRetryTimes}. */
export interface RetryTimesOptions {
  readonly directory: Pick<ServerDirectory, "getUsable">;
  readonly loads: Pick<ServerLoads, "getProcessingMs">;
  readonly costs: Pick<RouteCosts, "getWeight">;
  readonly priorities: Pick<PriorityAdmission, "getUrgency">;
  readonly clock: Clock;
  readonly random: () => number;
}

/** Chooses retry-after times. */
export interface RetryTimes {
  /** Returns the retry-after time of a refused request in milliseconds. */
  choose(request: RoutedRequest, obstacle: Obstacle, inputs: DecisionInputs): number;
}

/**
 * Creates the choice.
 *
 * @param options - Processing times, costs of routes and priorities.
 * @returns The choice.
 */
export function createRetryTimes(options: RetryTimesOptions): RetryTimes {
  const { clock, costs, directory, loads } = options;

  return {
    choose: (request, obstacle, inputs) => {
      const { objectiveMs } = request.route;
      const queueMs = findQueueMs(obstacle, inputs);
      return objectiveMs === null || queueMs === undefined
        ? chooseBySpread(request, obstacle.waitMs)
        : chooseByObjective(request, objectiveMs, obstacle, queueMs, inputs);
    },
  };

  function chooseByObjective(
    request: RoutedRequest,
    objectiveMs: number,
    obstacle: Obstacle,
    queueMs: number,
    inputs: DecisionInputs,
  ): number {
    const { route, service, arrivedAt, deadlineAt } = request;
    const server = inputs.server ?? directory.getUsable(service.name)[0]?.name;
    const isRound = obstacle.reason === RejectionReason.Priority;
    return chooseReturnMs({
      elapsedMs: clock.now() - arrivedAt,
      remainingMs: Math.max(0, deadlineAt - clock.now()),
      objectiveMs,
      obstacleMs: isRound ? obstacle.waitMs : 0,
      queueMs,
      processingMs:
        server === undefined ? 0 : loads.getProcessingMs(server) * costs.getWeight(route, service.name),
      urgency: options.priorities.getUrgency(request),
      random: options.random,
    });
  }

  /** Spreads the retry, and puts it after the obstacle if callers wait that long. */
  function chooseBySpread(request: RoutedRequest, waitMs: number): number {
    const remainingMs = Math.max(0, request.deadlineAt - clock.now());
    const spreadMs = remainingMs * (MIN_RETRY_AFTER_SHARE + RETRY_AFTER_SPREAD * options.random());
    const maxMs = remainingMs * MAX_RETRY_AFTER_SHARE;
    return waitMs > maxMs ? spreadMs : Math.min(maxMs, Math.max(spreadMs, waitMs));
  }
}

/** Returns the expected queue of a refusal for lack of capacity, 0 while not known; undefined for other refusals. */
function findQueueMs(obstacle: Obstacle, inputs: DecisionInputs): number | undefined {
  if (obstacle.reason === RejectionReason.Overloaded) {
    return obstacle.shortestQueueMs ?? obstacle.waitMs;
  }
  if (obstacle.reason === RejectionReason.Shed) {
    return inputs.expectedWaitMs ?? 0;
  }
  return obstacle.reason === RejectionReason.Priority ? 0 : undefined;
}

/**
 * Joins the obstacles of several candidates.
 *
 * @param former - Obstacle of the candidates so far.
 * @param next - Obstacle of the next one; undefined when it has none.
 * @returns The last obstacle, with the shortest queue of all that are overloaded.
 */
export function joinObstacles(former: Obstacle, next: Obstacle | undefined): Obstacle {
  if (next === undefined) {
    return former;
  }
  const isOverloaded = next.reason === RejectionReason.Overloaded;
  const queues = [former.shortestQueueMs, isOverloaded ? next.waitMs : undefined];
  const known = queues.filter((queueMs) => queueMs !== undefined);
  return known.length === 0 ? next : { ...next, shortestQueueMs: Math.min(...known) };
}
