/** Finds the route of a request and distributes a route's requests over its services by weight. */
import type { ServiceName } from "../types";
import type { Route, RoutingConfiguration, ServicePolicy, WeightedService } from "./types";

/** Route matcher of one configuration. */
export interface RouteMatcher {
  /** Returns the host's route with the longest matching path prefix; undefined when none matches. */
  match(host: string, path: string): Route | undefined;
  /** Chooses the service of the route's next request; undefined when no service may get requests. */
  chooseService(route: Route): ServiceName | undefined;
  /**
   * Returns what {@link chooseService} would return, without advancing the rotation; undefined also before the first
   * request of a weighted route, since the start of its rotation is not drawn until then.
   */
  peekService(route: Route): ServiceName | undefined;
}

/** A configuration in force, with its route matcher. */
export interface ActiveConfiguration {
  readonly configuration: RoutingConfiguration;
  readonly matcher: RouteMatcher;
}

interface RotationEntry {
  readonly weightedService: WeightedService;
  credit: number;
}

/** Steps by which rotations start apart from each other; weights are mostly percentages. */
const ROTATION_PHASES = 100;

/**
 * Creates a matcher for the routes of a configuration.
 *
 * @param configuration - The configuration.
 * @param random - Uniform random numbers in [0, 1), from which each weighted route's rotation starts. Without them all
 * daemons would send their first requests after a change to the same service, of which each gets only a few.
 * @returns The matcher.
 */
export function createRouteMatcher(
  configuration: RoutingConfiguration,
  random: () => number = () => 0,
): RouteMatcher {
  const byHost = new Map<string, Map<string, Route>>();
  const rotations = new Map<Route, RotationEntry[]>();
  for (const route of configuration.routes) {
    const host = route.host.toLowerCase();
    const routes = byHost.get(host) ?? new Map<string, Route>();
    routes.set(route.pathPrefix, route);
    byHost.set(host, routes);
  }

  return {
    match: (host, path) => {
      const routes = byHost.get(host.replace(/:\d+$/, "").toLowerCase());
      return routes === undefined ? undefined : findLongestPrefix(routes, path);
    },
    chooseService: (route) => {
      const [only] = route.services;
      return route.services.length <= 1 ? only?.service : chooseByWeight(getRotation(route));
    },
    peekService: (route) => {
      const [only] = route.services;
      return route.services.length <= 1
        ? only?.service
        : findNextEntry(rotations.get(route) ?? [])?.weightedService.service;
    },
  };

  function getRotation(route: Route): readonly RotationEntry[] {
    let known = rotations.get(route);
    if (known === undefined) {
      known = route.services.map((weightedService) => ({ weightedService, credit: 0 }));
      for (let phase = Math.floor(random() * ROTATION_PHASES); phase > 0; phase -= 1) {
        chooseByWeight(known);
      }
      rotations.set(route, known);
    }
    return known;
  }
}

/** Prefixes end with a slash, so only the parts of the path that end with one are looked up. */
function findLongestPrefix(routes: ReadonlyMap<string, Route>, path: string): Route | undefined {
  for (let end = path.lastIndexOf("/"); end >= 0; end = end === 0 ? -1 : path.lastIndexOf("/", end - 1)) {
    const route = routes.get(path.slice(0, end + 1));
    if (route !== undefined) {
      return route;
    }
  }
  return undefined;
}

/** Smooth weighted round robin: exact shares over any series of requests, without bursts to one service. */
function chooseByWeight(rotation: readonly RotationEntry[]): ServiceName | undefined {
  const next = findNextEntry(rotation);
  if (next === undefined) {
    return undefined;
  }
  let total = 0;
  for (const entry of rotation) {
    entry.credit += entry.weightedService.weight;
    total += entry.weightedService.weight;
  }
  next.credit -= total;
  return next.weightedService.service;
}

/** Returns the entry whose turn is next, without a change of the rotation. */
function findNextEntry(rotation: readonly RotationEntry[]): RotationEntry | undefined {
  let best: RotationEntry | undefined;
  for (const entry of rotation) {
    const isAhead = best === undefined || getNextCredit(entry) > getNextCredit(best);
    if (entry.weightedService.weight > 0 && isAhead) {
      best = entry;
    }
  }
  return best;
}

function getNextCredit({ credit, weightedService }: RotationEntry): number {
  return credit + weightedService.weight;
}

/**
 * Returns the policy of a service.
 *
 * @param configuration - The configuration.
 * @param name - Name of the service; undefined when a route has none that may get requests.
 * @returns The policy; that of a service without backend servers when a route names it before its entry has been read.
 */
export function getServicePolicy(configuration: RoutingConfiguration, name: ServiceName = ""): ServicePolicy {
  return configuration.services.get(name) ?? { name, ...unknownServicePolicy };
}

const unknownServicePolicy = {
  isKeyed: false,
  maxConnections: 1,
  coldMs: 0,
  coldRequestsPerSecond: null,
} as const;
