/** Dispatches requests: chooses a backend server, sends, classifies the result, and retries where allowed. */
import type { DiscoveredServer, ServerDirectory } from "../discovery";
import { type Counters, Event, type Logger } from "../observability";
import type { Clock, ServerName, ServiceName } from "../types";
import { RejectionReason } from "./attemptTypes";
import { dropBody, type AttemptResult, createAttemptClassifier, type ServerConnections } from "./servers";
import type { DecisionInputs, DispatchResult, Dispatcher, RoutedRequest } from "./dispatchTypes";
import type { PermitExchange } from "./coordination";
import type { ServerProtocol } from "./protocols";
import {
  type PriorityAdmission,
  type RetryBudgetShare,
  type RouteCosts,
  type Obstacle,
  type ServerAdmission,
  type ServerBackOff,
  type Selection,
  type ServerSelection,
  createRetryTimes,
  type ServerLoads,
  type ServerRateLimits,
} from "./admission";
import { RouteKind } from "./types";

/** Maximum wait for a key that is being moved; a move takes a release, a write and a grant. */
const MAX_MOVE_WAIT_MS = 250;
/** Maximum share of a request's remaining time that is spent waiting for a key to be moved. */
const MAX_MOVE_WAIT_SHARE = 0.3;
/** Servers of a data centre are often unreachable together; a refused connection costs a round trip, a lost one 300 ms. */
const MAX_UNREACHABLE_ATTEMPTS = 3;
/** With less time than this left, no backend server can answer. */
const MIN_REMAINING_MS = 5;

/** Ownership of keys, as the dispatcher needs it. */
export interface KeyOwners {
  /** Returns the owner of a key; undefined while it has none. */
  findOwner(service: ServiceName, key: number): ServerName | undefined;
  /**
   * Waits for the next assignment, at most `waitMs` milliseconds. Returns whether it is worth looking up the
   * owner and sending the request again.
   */
  waitForChange(service: ServiceName, waitMs: number): Promise<boolean>;
  /** Returns the version of a service's assignment; 0 while none is known. */
  getVersion(service: ServiceName): number;
  /** Records a request for a key, and its work relative to the service's other requests. */
  recordRequest(service: ServiceName, key: number, weight: number): void;
}

/** Options for {@link createDispatcher}. */
export interface DispatcherOptions {
  readonly directory: ServerDirectory;
  readonly owners: KeyOwners;
  readonly connections: ServerConnections;
  readonly loads: ServerLoads;
  readonly rateLimits: Pick<ServerRateLimits, "record">;
  readonly backOff: Pick<ServerBackOff, "record">;
  readonly permits: Pick<PermitExchange, "acquire">;
  readonly admission: ServerAdmission;
  readonly priorities: Pick<PriorityAdmission, "findObstacle" | "recordRefusal" | "getUrgency">;
  readonly selection: ServerSelection;
  readonly costs: RouteCosts;
  readonly retryBudget: RetryBudgetShare;
  readonly protocol: ServerProtocol;
  readonly clock: Clock;
  readonly random: () => number;
  readonly logger: Logger;
  readonly counters: Counters;
}

const HTTP_GATEWAY_TIMEOUT = 504;

/**
 * Creates a dispatcher.
 *
 * @param options - Views of servers and key owners, limits, and costs of distance.
 * @returns The dispatcher.
 */
export function createDispatcher(options: DispatcherOptions): Dispatcher {
  const {
    directory,
    owners,
    connections,
    loads,
    permits,
    admission,
    costs,
    retryBudget,
    protocol,
    clock,
    logger,
    counters,
  } = options;

  const classifier = createAttemptClassifier(options);
  const retryTimes = createRetryTimes(options);

  return async (request) => {
    const { route, service } = request;
    retryBudget.recordRequest(service.name);
    if (request.key !== undefined && service.isKeyed) {
      owners.recordRequest(service.name, request.key, costs.getWeight(route, service.name));
    }
    const shortage = options.priorities.findObstacle(request);
    if (shortage !== undefined) {
      return refuse(request, shortage, undefined);
    }
    const tried = new Set<ServerName>();
    let lastResult: AttemptResult = { kind: "notRun", reason: RejectionReason.NoServer };
    /** Attempts that may have reached a server: only these count as such, and against the retry budget. */
    let arrivals = 0;
    let unreachable = 0;
    while (arrivals < Math.max(1, route.attempts) && unreachable <= MAX_UNREACHABLE_ATTEMPTS) {
      const isFirst = arrivals + unreachable === 0;
      const selection = await selectServer(request, tried);
      if (selection.kind === "none") {
        return isFirst ? refuse(request, selection, undefined) : createResult(request, lastResult, tried);
      }
      if (arrivals > 0 && !retryBudget.tryAcquire(service.name)) {
        counters.increment("requests.retryRefused", service.name);
        return createResult(request, lastResult, tried);
      }
      if (!isFirst) {
        logRetry(request, selection.server, lastResult);
      }
      if (lastResult.kind === "failed") {
        dropBody(lastResult.body);
      }
      tried.add(selection.server.name);
      lastResult = await attempt(request, selection.server);
      if (isUnreachable(lastResult)) {
        unreachable += 1;
      } else {
        arrivals += 1;
      }
      if (service.isKeyed && wasShedWithRoom(lastResult, selection.server)) {
        tried.delete(selection.server.name);
      }
      if (!canRetry(request, lastResult, selection.server)) {
        return createResult(request, lastResult, tried);
      }
    }
    return createResult(request, lastResult, tried);
  };

  /** Selects a server and takes a permit if it limits its rate; tries the next one while permits are denied. */
  async function selectServer(request: RoutedRequest, tried: ReadonlySet<ServerName>): Promise<Selection> {
    const denied = new Set<ServerName>();
    for (;;) {
      const selection = await findCandidate(request, tried, denied);
      if (selection.kind === "none" || (await permits.acquire(selection.server.name))) {
        return selection;
      }
      denied.add(selection.server.name);
    }
  }

  async function findCandidate(
    request: RoutedRequest,
    tried: ReadonlySet<ServerName>,
    denied: ReadonlySet<ServerName>,
  ): Promise<Selection> {
    const { service, key } = request;
    if (!service.isKeyed || key === undefined) {
      return selectByLoad(request, tried, denied);
    }
    if (denied.size > 0) {
      // A key has only one owner.
      return { kind: "none", reason: RejectionReason.RateLimited, waitMs: 0 };
    }
    return selectOwner(request, key, tried);
  }

  function selectByLoad(
    request: RoutedRequest,
    tried: ReadonlySet<ServerName>,
    denied: ReadonlySet<ServerName>,
  ): Selection {
    return options.selection.selectByLoad(request, {
      tried,
      random: options.random,
      findObstacle: (server) =>
        denied.has(server.name)
          ? { reason: RejectionReason.RateLimited, waitMs: 0 }
          : admission.findObstacle(request, server),
    });
  }

  async function selectOwner(
    request: RoutedRequest,
    key: number,
    tried: ReadonlySet<ServerName>,
  ): Promise<Selection> {
    const { service } = request;
    let server = options.selection.findUsableOwner(service.name, key);
    const isMoving = server === undefined || tried.has(server.name);
    if (isMoving) {
      const remainingMs = request.deadlineAt - clock.now();
      const waitMs = Math.min(MAX_MOVE_WAIT_MS, remainingMs * MAX_MOVE_WAIT_SHARE);
      const hasChanged = await owners.waitForChange(service.name, waitMs);
      server = hasChanged ? options.selection.findUsableOwner(service.name, key) : undefined;
    }
    if (server === undefined) {
      return { kind: "none", reason: RejectionReason.NoOwner, waitMs: 0 };
    }
    const obstacle = admission.findObstacle(request, server);
    return obstacle === undefined ? { kind: "server", server } : { kind: "none", ...obstacle };
  }

  async function attempt(request: RoutedRequest, server: DiscoveredServer): Promise<AttemptResult> {
    if (!(await request.caller.confirmPresence())) {
      return { kind: "notRun", reason: RejectionReason.Abandoned };
    }
    const startedAt = clock.now();
    const remainingMs = request.deadlineAt - startedAt;
    if (remainingMs < MIN_REMAINING_MS) {
      return { kind: "notRun", reason: RejectionReason.Late };
    }
    const finish = loads.startRequest(server.name);
    const isIdempotent = request.route.kind !== RouteKind.Unsafe;
    try {
      const result = await connections.send({
        id: request.id,
        server,
        method: request.method,
        path: request.path,
        headers: { ...request.headers, ...protocol.createRequestFields(server.name, remainingMs) },
        body: request.body,
        isIdempotent,
        deadlineAt: request.deadlineAt,
        caller: request.caller,
        findRejection: (head, isReused) => classifier.findRejection(request.id, server, head, isReused),
      });
      const latencyMs = clock.now() - startedAt;
      const { route, service } = request;
      if (result.kind === "answered") {
        costs.record(route, service.name, latencyMs);
      }
      return classifier.classify(server, result, latencyMs, costs.getWeight(route, service.name));
    } finally {
      finish();
    }
  }

  function isUnreachable(result: AttemptResult): boolean {
    return result.kind === "notRun" && result.reason === RejectionReason.Unreachable;
  }

  /** Returns whether a server has refused a request although it has room: it may take the same request now. */
  function wasShedWithRoom(lastResult: AttemptResult, server: DiscoveredServer): boolean {
    const isShed = lastResult.kind === "notRun" && lastResult.reason === RejectionReason.Shed;
    return isShed && loads.hasReportedRoom(server.name);
  }

  function canRetry(request: RoutedRequest, lastResult: AttemptResult, server: DiscoveredServer): boolean {
    const remainingMs = request.deadlineAt - clock.now();
    if (request.caller.signal.aborted || remainingMs < MIN_REMAINING_MS) {
      return false;
    }
    switch (lastResult.kind) {
      case "answered":
        return false;
      case "notRun":
        // A key has only one owner, and one that has just shed the request is still overloaded unless it has room.
        return !(
          request.service.isKeyed &&
          lastResult.reason === RejectionReason.Shed &&
          !wasShedWithRoom(lastResult, server)
        );
      case "failed":
        return (
          request.route.kind !== RouteKind.Unsafe && lastResult.message.statusCode !== HTTP_GATEWAY_TIMEOUT
        );
      case "unknown":
        return request.route.kind !== RouteKind.Unsafe;
      default:
        return lastResult satisfies never;
    }
  }

  function createResult(
    request: RoutedRequest,
    lastResult: AttemptResult,
    tried: ReadonlySet<ServerName>,
  ): DispatchResult {
    const server = [...tried].at(-1);
    switch (lastResult.kind) {
      case "answered":
      case "failed":
        return { kind: "answered", message: lastResult.message, body: lastResult.body };
      case "notRun":
        return refuse(request, { reason: lastResult.reason, waitMs: 0 }, server);
      case "unknown":
        return { kind: "unknown", reason: lastResult.reason, inputs: getDecisionInputs(request, server) };
      default:
        return lastResult satisfies never;
    }
  }

  function refuse(
    request: RoutedRequest,
    obstacle: Obstacle,
    server: ServerName | undefined,
  ): DispatchResult {
    const { reason } = obstacle;
    const inputs = getDecisionInputs(request, server);
    const hasRoom = reason === RejectionReason.Shed && server !== undefined && loads.hasReportedRoom(server);
    if (!hasRoom) {
      options.priorities.recordRefusal(request, reason);
    }
    const retryAfterMs = retryTimes.choose(request, obstacle, inputs);
    return { kind: "notRun", reason, retryAfterMs, inputs };
  }

  function getDecisionInputs(request: RoutedRequest, tried: ServerName | undefined): DecisionInputs {
    const { service, key } = request;
    const isKeyed = service.isKeyed && key !== undefined;
    const server = tried ?? (isKeyed ? owners.findOwner(service.name, key) : undefined);
    const known = server === undefined ? undefined : directory.get(server);
    return {
      server,
      assignmentVersion: isKeyed ? owners.getVersion(service.name) : 0,
      expectedWaitMs:
        known === undefined ? undefined : Math.round(loads.estimateWaitMs(known.name, known.slots)),
      loadAgeMs: server === undefined ? undefined : loads.findLoadAgeMs(server),
    };
  }

  function logRetry(request: RoutedRequest, server: DiscoveredServer, lastResult: AttemptResult): void {
    counters.increment("requests.retried", lastResult.kind);
    logger.log(Event.RequestRetried, {
      requestId: request.id,
      service: request.service.name,
      server: server.name,
      after:
        lastResult.kind === "notRun" || lastResult.kind === "unknown" ? lastResult.reason : lastResult.kind,
    });
  }
}
