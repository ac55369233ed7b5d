/** A dispatcher with everything behind it, for tests against raw servers. */
import {
  type DiscoveredServer,
  type ServerDirectory,
  ServerPhase,
  createServerDirectory,
} from "../../src/discovery";
import {
  type CallerListener,
  type Dispatcher,
  type PriorityAdmission,
  type Route,
  RouteKind,
  type RoutedRequest,
  type ServicePolicy,
  createCallerListener,
  createColdAdmission,
  createDispatcher,
  createPermitExchange,
  createPriorityAdmission,
  createPriorityDemands,
  createRetryBudgetShare,
  createRouteCosts,
  createRouteMatcher,
  createServerAdmission,
  createServerBackOff,
  createServerConnections,
  createServerLoads,
  createServerRateLimits,
  createServerSelection,
  createServerSubsets,
} from "../../src/gateway";
import { createDatagramChannel } from "../../src/membership";
import { type EventKind, createCounters, createMetrics, silentLogger } from "../../src/observability";
import { type Clock, systemClock } from "../../src/types";
import { wireCallerProtocol, wireServerProtocol } from "../../platform/protocols";
import { createRandom } from "../../standins/scenarios/callers";
import { findFreePort } from "../../standins/scenarios/ports";
import type { RawRequest } from "./rawServer";

/** Seed of random decisions. */
export const SEED = 20_261_204;
/** Far longer than a request and its answer take on this machine. */
export const DEADLINE_MS = 10_000;
/** Time for which a leaving owner of keys still gets requests. */
export const LEAVING_OWNER_MS = 1000;
/** Proves that a backend server produced an answer. */
export const SIGNATURE_FIELD = "Upstream-Signature: s";
/** A caller that waits for its answer. */
export const presentCaller = {
  signal: new AbortController().signal,
  confirmPresence: () => Promise.resolve(true),
  onEnd: () => undefined,
};
/** A service without keys. */
export const policy: ServicePolicy = {
  name: "desk",
  isKeyed: false,
  maxConnections: 100,
  coldMs: 0,
  coldRequestsPerSecond: null,
};
const unconnectedTransport = { send: () => undefined, receive: () => undefined, close: () => undefined };

/** Creates a route to the service {@link policy}. */
export function createRoute(change: Partial<Route> = {}): Route {
  return {
    name: "r",
    host: "a.example",
    pathPrefix: "/",
    kind: RouteKind.Safe,
    timeoutMs: null,
    objectiveMs: 300,
    attempts: 2,
    priority: 0,
    services: [{ service: "desk", weight: 1 }],
    ...change,
  };
}

/** Creates a request of a kind. */
export function createRequest(kind: RouteKind, change: Partial<RoutedRequest> = {}): RoutedRequest {
  return {
    id: "q1",
    route: createRoute({ kind }),
    service: policy,
    priority: 0,
    key: undefined,
    method: "GET",
    path: "/a%2Fb/../c?x=1&x=2",
    headers: { host: "a.example", "request-id": change.id ?? "q1" },
    body: [],
    arrivedAt: systemClock.now(),
    deadlineAt: systemClock.now() + DEADLINE_MS,
    caller: presentCaller,
    ...change,
  };
}

/** Formats an answer to a request that the raw server has read. */
export function formatAnswer(request: RawRequest, head: string, body: string): string {
  return `HTTP/1.1 ${head}\r\nRequest-Id: ${request.id}\r\n\r\n${body}`;
}

/** Sets the identifier from the field `Request-Id`; the raw server reads it from `x-request-id`. */
export function addRequestId(request: RawRequest): RawRequest {
  return { ...request, id: /request-id: (\S+)/i.exec(request.head)?.[1] ?? "" };
}

/** Returns a function that formats an answer with a `Content-Length`. */
export function createFramedAnswer(status: string, body: string, fields = SIGNATURE_FIELD) {
  return (request: RawRequest) =>
    formatAnswer(addRequestId(request), `${status}\r\n${fields}\r\nContent-Length: ${body.length}`, body);
}

/** Creates a backend server of the service {@link policy}. */
export function createTestServer(
  name: string,
  port: number,
  change: Partial<DiscoveredServer> = {},
): DiscoveredServer {
  return {
    name,
    bornAt: 1,
    service: "desk",
    address: { host: "127.0.0.1", port },
    dataCentre: "a",
    slots: 4,
    phase: ServerPhase.Ready,
    sequence: 0,
    coldForMs: 0,
    ...change,
  };
}

/** Creates a directory that lists the servers. */
export function createTestDirectory(servers: readonly DiscoveredServer[], clock: Clock): ServerDirectory {
  const directory = createServerDirectory({
    clock,
    logger: silentLogger,
    decode: (_name, value) => value as DiscoveredServer,
    getColdMs: () => 0,
  });
  directory.replaceAll(servers.map((each) => ({ path: `servers/${each.name}`, version: 1, value: each })));
  return directory;
}

/** Creates an admission by priority that is in contact with a coordinator. */
export function createTestPriorities(
  clock: Clock,
  demands = createPriorityDemands(clock),
  isInContact: () => boolean = () => true,
): PriorityAdmission {
  return createPriorityAdmission({
    demands,
    costs: { getWeight: () => 1 },
    isInContact,
    clock,
    timeOfDay: () => clock.now(),
    logger: silentLogger,
    counters: createCounters("test"),
  });
}

/** Creates a dispatcher to the servers; the first one owns all keys. */
export function createTestDispatcher(
  servers: readonly DiscoveredServer[],
  clock: Clock = systemClock,
  directory: ServerDirectory = createTestDirectory(servers, clock),
  priorities: PriorityAdmission = createTestPriorities(clock),
  remoteCostMs = 0,
): Dispatcher {
  const rateLimits = createServerRateLimits({ directory, clock, logger: silentLogger });
  const connections = createServerConnections(clock, () => 4);
  const loads = createServerLoads(clock, (name) => directory.get(name)?.service);
  const backOff = createServerBackOff(clock, silentLogger);
  const permits = createPermitExchange({
    channel: createDatagramChannel(unconnectedTransport, createCounters("test")),
    address: { host: "127.0.0.1", port: 1 },
    rateLimits,
    isCoordinator: () => true,
    findCoordinator: () => undefined,
    getClusterSize: () => 1,
    clock,
    random: createRandom(SEED),
    logger: silentLogger,
    counters: createCounters("test"),
  });
  const owners = {
    findOwner: () => servers[0]?.name,
    getVersion: () => 0,
    waitForChange: () => Promise.resolve(false),
    recordRequest: () => undefined,
  };
  const admission = createServerAdmission({
    directory,
    connections,
    loads,
    permits,
    backOff,
    coldAdmission: createColdAdmission(
      clock,
      () => 0,
      () => 1,
    ),
    ownerShares: { find: () => 1 },
    costs: { getWeight: () => 1 },
    leavingOwnerMs: LEAVING_OWNER_MS,
    clock,
    random: createRandom(SEED),
  });
  return createDispatcher({
    directory,
    owners,
    connections,
    loads,
    rateLimits,
    backOff,
    permits,
    priorities,
    selection: createServerSelection({
      directory,
      owners,
      admission,
      loads,
      subsets: createServerSubsets("d1", "a"),
      dataCentre: "a",
      distance: { shortMs: remoteCostMs, largeMs: remoteCostMs },
      clock,
    }),
    costs: createRouteCosts(),
    admission,
    retryBudget: createRetryBudgetShare(clock, { ratio: 0, windowMs: 10_000, slack: 10 }, () => 1),
    protocol: wireServerProtocol,
    clock,
    random: createRandom(SEED),
    logger: silentLogger,
    counters: createCounters("test"),
  });
}

/** A listener for callers in front of a dispatcher. */
export interface TestListener {
  readonly listener: CallerListener;
  readonly port: number;
  readonly loggedEvents: readonly EventKind[];
}

/** Starts a listener whose only route is {@link createRoute}. */
export async function startTestListener(
  dispatch: Dispatcher,
  clock: Clock = systemClock,
): Promise<TestListener> {
  const port = await findFreePort();
  const loggedEvents: EventKind[] = [];
  const limits = { maxHeaderBytes: 1000, maxBodyBytes: 1000, headerTimeoutMs: 1000, idleTimeoutMs: 1000 };
  const configuration = { version: 1, routes: [createRoute()], services: new Map(), limits };
  const listener = await createCallerListener({
    address: { host: "127.0.0.1", port },
    findActive: () => ({ configuration, matcher: createRouteMatcher(configuration) }),
    dispatch,
    callerProtocol: wireCallerProtocol,
    serverProtocol: wireServerProtocol,
    clock,
    logger: { ...silentLogger, log: (kind) => loggedEvents.push(kind) },
    metrics: createMetrics(createCounters("test")),
  });
  return { listener, port, loggedEvents };
}

/** What daemons tell each other of exclusions and cold servers, for a daemon that shares nothing. */
export const unsharedState = {
  exclusions: { share: () => null, merge: () => undefined },
  coldness: {
    shareAnswers: () => ({ servers: {}, returned: {} }),
    shareAll: () => ({ servers: {}, returned: {} }),
    merge: () => undefined,
  },
};
