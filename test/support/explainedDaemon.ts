/** The deciding components of one daemon, wired as in the gateway, with a dispatcher and an explainer on them. */
import {
  type Organisations,
  type RoutedRequest,
  RouteKind,
  type RouteQuestion,
  type ServicePolicy,
  createColdAdmission,
  createDispatcher,
  createPriorityDemands,
  createRetryBudgetShare,
  createRouteCosts,
  createRouteExplainer,
  createRouteMatcher,
  createServerAdmission,
  createServerBackOff,
  createServerLoads,
  createServerRateLimits,
  createServerSelection,
  createServerSubsets,
  getServicePolicy,
} from "../../src/gateway";
import type { DiscoveredServer } from "../../src/discovery";
import { createCounters, silentLogger } from "../../src/observability";
import { wireServerProtocol } from "../../platform/protocols";
import { createFakeClock } from "./fakeClock";
import {
  LEAVING_OWNER_MS,
  createRequest,
  createRoute,
  createTestDirectory,
  createTestPriorities,
  createTestServer,
  policy,
} from "./gateway";

const limits = { maxHeaderBytes: 1000, maxBodyBytes: 1000, headerTimeoutMs: 1000, idleTimeoutMs: 1000 };

/** Route to {@link policy} and, for a third of the requests, to another service without keys. */
export const mixedRoute = createRoute({
  name: "mixed",
  host: "mixed.example",
  attempts: 1,
  services: [
    { service: "desk", weight: 2 },
    { service: "other", weight: 1 },
  ],
});
const desk = createRoute({ attempts: 1, timeoutMs: 2000 });
const routes = [
  desk,
  createRoute({ ...desk, name: "open", pathPrefix: "/open/", isPublic: true }),
  createRoute({ ...desk, name: "keys", host: "keys.example", services: [{ service: "keyed", weight: 1 }] }),
  createRoute({ ...desk, name: "none", host: "none.example", services: [{ service: "absent", weight: 1 }] }),
  mixedRoute,
];

/** What a test changes about the daemon. */
export interface ExplainedDaemonOptions {
  readonly random?: () => number;
  readonly organisations?: Organisations;
  /** Maximum requests per second of cold servers. */
  readonly coldRequestsPerSecond?: number;
  readonly isInContact?: boolean;
}

/** Creates a daemon with the servers `s1`, `s2` (desk), `k1` (keyed) and `o1` (other); `k1` owns the keys below 100. */
export function createExplainedDaemon(options: ExplainedDaemonOptions = {}) {
  const { random = () => 0.5, isInContact = true, coldRequestsPerSecond = 3 } = options;
  const clock = createFakeClock();
  const counters = createCounters("test");
  const service = (change: Partial<ServicePolicy>): ServicePolicy => ({
    ...policy,
    coldRequestsPerSecond,
    ...change,
  });
  const policies = [service({}), service({ name: "keyed", isKeyed: true }), service({ name: "other" })];
  const configuration = {
    version: 9,
    routes,
    services: new Map(policies.map((each) => [each.name, each])),
    limits,
    organisations: options.organisations,
  };
  const matcher = createRouteMatcher(configuration, random);
  const servers = [
    createTestServer("s1", 1),
    createTestServer("s2", 2),
    createTestServer("k1", 3, { service: "keyed" }),
    createTestServer("o1", 4, { service: "other" }),
  ];
  const directory = createTestDirectory(servers, clock);
  const loads = createServerLoads(clock, (name) => directory.get(name)?.service);
  const rateLimits = createServerRateLimits({ directory, clock, logger: silentLogger });
  const backOff = createServerBackOff(clock, silentLogger);
  const demands = createPriorityDemands(clock);
  const priorities = createTestPriorities(clock, demands, () => isInContact);
  const costs = createRouteCosts();
  const exhausted = new Set<string>();
  const fullServers = new Set<string>();
  const ownerShares = new Map<string, number>();
  let permitsTaken = 0;
  const sentTo: string[] = [];
  const owners = {
    findOwner: (_service: string, key: number) => (key < 100 ? "k1" : undefined),
    getVersion: () => 12,
    waitForChange: () => Promise.resolve(false),
    recordRequest: () => undefined,
  };
  const connections = {
    hasRoom: ({ name }: DiscoveredServer) => !fullServers.has(name),
    send: ({ server }: { readonly server: DiscoveredServer }) => {
      sentTo.push(server.name);
      return Promise.resolve({ kind: "broken", detail: "test" } as const);
    },
    retain: () => undefined,
    countOpened: () => 0,
    close: () => undefined,
  };
  const admission = createServerAdmission({
    directory,
    connections,
    loads,
    permits: { isExhausted: (server) => exhausted.has(server) },
    backOff,
    coldAdmission: createColdAdmission(clock, random, () => 2),
    ownerShares: {
      find: (server, request) => priorities.splitOwnerShare(request, ownerShares.get(server) ?? 1),
    },
    costs,
    leavingOwnerMs: LEAVING_OWNER_MS,
    clock,
    random,
  });
  const selection = createServerSelection({
    directory,
    owners,
    admission,
    loads,
    subsets: createServerSubsets("d1", "a"),
    dataCentre: "a",
    distance: { shortMs: 4, largeMs: 200 },
    clock,
  });
  const dispatch = createDispatcher({
    directory,
    owners,
    connections,
    loads,
    rateLimits,
    backOff,
    permits: {
      acquire: () => {
        permitsTaken += 1;
        return Promise.resolve(true);
      },
    },
    admission,
    priorities,
    selection,
    costs,
    retryBudget: createRetryBudgetShare(clock, { ratio: 0, windowMs: 10_000, slack: 10 }, () => 1),
    protocol: wireServerProtocol,
    clock,
    random,
    logger: silentLogger,
    counters,
  });
  const explain = createRouteExplainer({
    findActive: () => ({ configuration, matcher }),
    isStopping: () => false,
    directory,
    owners,
    selection,
    admission,
    priorities,
    loads,
    performance: {
      find: (server) =>
        server === "s2"
          ? { process: 2, processingMs: 70, slowness: 1, answers: 9, effectiveSlots: 3 }
          : undefined,
    },
    rateLimits,
    clock,
  });

  return {
    clock,
    directory,
    loads,
    backOff,
    rateLimits,
    priorities,
    demands,
    counters,
    exhausted,
    fullServers,
    ownerShares,
    explain,
    ask: (question: Partial<RouteQuestion> = {}) =>
      explain({ host: "a.example", path: "/x", key: undefined, organisation: undefined, ...question }),
    findServer: (name: string) => servers.find((server) => server.name === name) ?? servers[0],
    countPermits: () => permitsTaken,
    /** Sends a request as the listener would; returns the server that it was sent to, or the reason of its refusal. */
    send: async (host: string, change: Partial<RoutedRequest> = {}): Promise<string> => {
      const path = change.path ?? "/x";
      const route = matcher.match(host, path);
      if (route === undefined) {
        return "no route";
      }
      const known = sentTo.length;
      const result = await dispatch(
        createRequest(RouteKind.Safe, {
          route,
          service: getServicePolicy(configuration, matcher.chooseService(route)),
          path,
          arrivedAt: clock.now(),
          deadlineAt: clock.now() + 2000,
          ...change,
        }),
      );
      const server = sentTo[known];
      return server ?? (result.kind === "notRun" ? result.reason : result.kind);
    },
  };
}
