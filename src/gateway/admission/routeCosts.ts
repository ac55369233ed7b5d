/**
 * Work of a route's requests relative to the others of the same service. Where one kind of request takes six times as
 * long as another one, plain counts neither spread the keys evenly nor tell how long a queue takes.
 */
import type { ServiceName } from "../../types";
import type { Route } from "../types";

/** Weight of an answer in the mean times. */
const TIME_WEIGHT = 0.05;
/** Bounds of a weight; few answers of a route say little. */
const MIN_WEIGHT = 0.1;
const MAX_WEIGHT = 10;

/** Weight of an answer in the mean deviation from the mean time. */
const DEVIATION_WEIGHT = 0.1;
/** Mean deviations above the mean time within which nearly all requests of a route end. */
const USUAL_DEVIATIONS = 4;

/** Work of the requests of all routes. */
export interface RouteCosts {
  /** Records the time that a server took for a request, in milliseconds. */
  record(route: Route, service: ServiceName, durationMs: number): void;
  /** Returns the work of a route's request relative to the mean of its service; 1 while that is not known. */
  getWeight(route: Route, service: ServiceName): number;
  /**
   * Returns the time within which nearly all requests of a route are answered, in milliseconds; undefined while none
   * has been.
   */
  findUsualMs(route: Route, service: ServiceName): number | undefined;
}

/**
 * Creates the costs of routes without answers.
 *
 * @returns The costs.
 */
export function createRouteCosts(): RouteCosts {
  const byRoute = new Map<string, number>();
  const byService = new Map<ServiceName, number>();
  const deviations = new Map<string, number>();

  return {
    record: (route, service, durationMs) => {
      const name = formatRoute(route, service);
      const mean = byRoute.get(name);
      const deviation = mean === undefined ? durationMs / 2 : Math.abs(durationMs - mean);
      update(deviations, name, deviation, DEVIATION_WEIGHT);
      update(byRoute, name, durationMs, TIME_WEIGHT);
      update(byService, service, durationMs, TIME_WEIGHT);
    },
    findUsualMs: (route, service) => {
      const name = formatRoute(route, service);
      const mean = byRoute.get(name);
      return mean === undefined ? undefined : mean + USUAL_DEVIATIONS * (deviations.get(name) ?? 0);
    },
    getWeight: (route, service) => {
      const own = byRoute.get(formatRoute(route, service));
      const mean = byService.get(service);
      return own === undefined || mean === undefined
        ? 1
        : Math.min(MAX_WEIGHT, Math.max(MIN_WEIGHT, own / mean));
    },
  };
}

function update<Name>(means: Map<Name, number>, name: Name, value: number, weight: number): void {
  const known = means.get(name) ?? value;
  means.set(name, known + (Math.max(1, value) - known) * weight);
}

function formatRoute(route: Route, service: ServiceName): string {
  return `${route.name}/${service}`;
}
