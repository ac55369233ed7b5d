/** Routes callers' requests: attempts, retries within the retry budget, hedged requests, final outcome. */
import { randomUUID } from "node:crypto";
import type { LoadView, RetryBudget } from "../balancing";
import type { Service } from "../configuration";
import type { Counters } from "../observability";
import {
  type Body,
  type Clock,
  type Failure,
  type Headers,
  Outcome,
  RefusalReason,
  type ServerName,
  type ServiceName,
  type WorkResult,
  emptyBody,
  sleep,
} from "../types";
import type { PeerForwarder } from "./peerForwarder";
import {
  createRangeHeaders,
  createResumableBody,
  findResumableDownload,
  openRemainder,
} from "./resumableBody";
import type { Route, RouteTable } from "./routeTable";

const RETRY_DELAY_MS = 25;
/** Once this many servers have failed, a refusal for overload is final: the whole service is overloaded. */
const MAX_OVERLOADED_SERVERS = 2;

/** A caller's request without its body. */
export interface CallerRequest {
  readonly service: ServiceName;
  readonly settings: Service;
  /** Undefined for services without keys. */
  readonly key: string | undefined;
  readonly method: string;
  readonly target: string;
  readonly headers: Headers;
  readonly isIdempotent: boolean;
  readonly idempotencyKey: string | null;
  /** Local time by which the answer must have arrived. */
  readonly deadlineAt: number;
}

/** Options for {@link createRouter}. */
export interface RouterOptions {
  readonly table: RouteTable;
  readonly forward: PeerForwarder;
  readonly loads: LoadView;
  readonly retryBudget: RetryBudget;
  readonly clock: Clock;
  readonly counters: Counters;
}

/** Routes a caller's request; aborting the signal cancels it. */
export type Router = (request: CallerRequest, body: Body, signal: AbortSignal) => Promise<WorkResult>;

/** Refusals that cease once ownership has moved or a server is available again, so a retry can succeed. */
const transientReasons = new Set<RefusalReason>([
  RefusalReason.NoOwner,
  RefusalReason.NoLeaseholder,
  RefusalReason.LeaseholderUnreachable,
  RefusalReason.NotLeaseholder,
  RefusalReason.LeaseNotHeld,
  RefusalReason.OwnershipMoving,
  RefusalReason.DataCentreOut,
  RefusalReason.ServerLeaving,
  RefusalReason.NoServer,
  RefusalReason.ServerFenced,
  RefusalReason.ServerUnreachable,
]);

const overloadReasons = new Set<RefusalReason>([
  RefusalReason.QueueFull,
  RefusalReason.QueueTimeout,
  RefusalReason.ServerShed,
]);

/**
 * Creates the router.
 *
 * @param options - Route table, forwarder, loads and retry budget.
 * @returns The router.
 */
export function createRouter(options: RouterOptions): Router {
  const { table, clock, counters, retryBudget } = options;

  return async (request, body, signal) => {
    const result = await routeWithRetries(request, body, signal);
    return makeResumable(request, result, signal);
  };

  /** Makes a download resumable: the request for the remainder is routed anew, to the owner at that time. */
  function makeResumable(request: CallerRequest, result: WorkResult, signal: AbortSignal): WorkResult {
    if (result.kind === "failure" || result.answer.body.kind === "buffer") {
      return result;
    }
    const download = findResumableDownload(request.method, request.headers, result.answer);
    if (download === undefined) {
      return result;
    }
    const stream = createResumableBody(result.answer.body.stream, download, async (offset) => {
      if (signal.aborted || !tryAcquireRetry()) {
        return undefined;
      }
      counters.increment("route.resumed");
      const headers = createRangeHeaders(request.headers, download, offset);
      return openRemainder(
        await routeWithRetries({ ...request, headers }, emptyBody, signal),
        download,
        offset,
      );
    });
    return { kind: "answer", answer: { ...result.answer, body: { kind: "stream", stream } } };
  }

  async function routeWithRetries(
    request: CallerRequest,
    body: Body,
    signal: AbortSignal,
  ): Promise<WorkResult> {
    retryBudget.recordRequest();
    const avoided = new Set<ServerName>();
    let failure: Failure | undefined;
    let mayHaveRun = false;
    while (clock.now() < request.deadlineAt && !signal.aborted) {
      const route = findRoute(request, avoided);
      if (route.kind === "refused") {
        failure = createNotRunFailure(route.reason, request);
        await pauseBeforeRetry(request, signal);
        continue;
      }
      const result = await attemptWithHedge(request, route, body, avoided, signal);
      if (result.kind === "answer") {
        return result;
      }
      failure = result.failure;
      mayHaveRun ||= failure.outcome === Outcome.Unknown;
      avoided.add(route.server);
      if (!canRetry(request, failure, body, avoided)) {
        break;
      }
      counters.increment("route.retried", failure.reason);
      if (transientReasons.has(failure.reason) && failure.outcome === Outcome.NotRun) {
        await pauseBeforeRetry(request, signal);
      }
    }
    const lastFailure = failure ?? createNotRunFailure(chooseEndReason(signal), request);
    // That the last attempt was refused does not prove that an earlier one did not run.
    return {
      kind: "failure",
      failure: mayHaveRun ? { ...lastFailure, outcome: Outcome.Unknown } : lastFailure,
    };
  }

  function chooseEndReason(signal: AbortSignal): RefusalReason {
    return signal.aborted ? RefusalReason.CallerGone : RefusalReason.DeadlineExceeded;
  }

  function findRoute(request: CallerRequest, avoided: ReadonlySet<ServerName>): Route {
    return request.key === undefined
      ? table.routeWithoutKey(request.service, avoided)
      : table.routeByKey(request.service, request.key);
  }

  /**
   * Returns whether to retry. Repeating an attempt that did not run is always safe; one that may have run is
   * repeated only if the request is idempotent. Retries after an unknown outcome or an overload are taken
   * from the retry budget; those after a transient refusal are not.
   */
  function canRetry(
    request: CallerRequest,
    failure: Failure,
    body: Body,
    avoided: ReadonlySet<ServerName>,
  ): boolean {
    if (body.kind === "stream" && body.stream.readableDidRead) {
      return false;
    }
    if (failure.outcome === Outcome.Unknown) {
      return request.isIdempotent && failure.reason !== RefusalReason.CallerGone && tryAcquireRetry();
    }
    if (overloadReasons.has(failure.reason)) {
      return request.key === undefined && avoided.size < MAX_OVERLOADED_SERVERS && tryAcquireRetry();
    }
    return transientReasons.has(failure.reason);
  }

  function tryAcquireRetry(): boolean {
    const isAcquired = retryBudget.tryAcquire();
    if (!isAcquired) {
      counters.increment("route.retryRefused", RefusalReason.RetryBudget);
    }
    return isAcquired;
  }

  async function attemptWithHedge(
    request: CallerRequest,
    route: Route & { kind: "found" },
    body: Body,
    avoided: ReadonlySet<ServerName>,
    signal: AbortSignal,
  ): Promise<WorkResult> {
    const hedgeAfterMs = request.settings.hedge_after;
    const canHedge = request.key === undefined && request.isIdempotent && body.kind === "buffer";
    if (hedgeAfterMs === undefined || !canHedge) {
      return attempt(request, route, body, signal);
    }
    return hedge(request, route, body, avoided, hedgeAfterMs, signal);
  }

  /** Sends a hedged request to another server if the first attempt takes longer than `hedgeAfterMs`. */
  async function hedge(
    request: CallerRequest,
    route: Route & { kind: "found" },
    body: Body,
    avoided: ReadonlySet<ServerName>,
    hedgeAfterMs: number,
    signal: AbortSignal,
  ): Promise<WorkResult> {
    const first = createCancellable(signal);
    const firstResult = attempt(request, route, body, first.signal);
    const hedgeTimer = new AbortController();
    const earlyResult = await Promise.race([firstResult, sleep(clock, hedgeAfterMs, hedgeTimer.signal)]);
    hedgeTimer.abort();
    if (earlyResult !== undefined) {
      return earlyResult;
    }
    const otherRoute = table.routeWithoutKey(request.service, new Set([...avoided, route.server]));
    if (otherRoute.kind === "refused" || otherRoute.server === route.server || !tryAcquireRetry()) {
      return firstResult;
    }
    counters.increment("route.hedged");
    const second = createCancellable(signal);
    const secondResult = attempt(request, otherRoute, body, second.signal);
    return pickWinner(firstResult, first, secondResult, second);
  }

  async function attempt(
    request: CallerRequest,
    route: Route & { kind: "found" },
    body: Body,
    signal: AbortSignal,
  ): Promise<WorkResult> {
    const finish = options.loads.startRequest(route.server);
    const work = {
      id: randomUUID(),
      service: request.service,
      server: route.server,
      key: request.key ?? null,
      method: request.method,
      target: request.target,
      headers: request.headers,
      timeoutMs: request.deadlineAt - clock.now(),
      isIdempotent: request.isIdempotent,
      idempotencyKey: request.idempotencyKey,
      relayTo: null,
    };
    try {
      const result = await options.forward(route.leaseholder, work, body, signal);
      if (result.kind === "answer") {
        options.loads.record(route.server, result.answer.load);
      }
      return result;
    } finally {
      finish();
    }
  }

  function pauseBeforeRetry(request: CallerRequest, signal: AbortSignal): Promise<void> {
    const waitMs = Math.min(RETRY_DELAY_MS, Math.max(0, request.deadlineAt - clock.now()));
    return sleep(clock, waitMs, signal);
  }
}

interface Cancellable {
  readonly signal: AbortSignal;
  cancel(): void;
}

function createCancellable(outer: AbortSignal): Cancellable {
  const controller = new AbortController();
  return {
    signal: AbortSignal.any([outer, controller.signal]),
    cancel: () => {
      controller.abort();
    },
  };
}

/** Returns the first answer and cancels the other attempt. Returns a failure only when both attempts fail. */
async function pickWinner(
  first: Promise<WorkResult>,
  firstCancel: Cancellable,
  second: Promise<WorkResult>,
  secondCancel: Cancellable,
): Promise<WorkResult> {
  const tagged = [
    first.then((result) => ({ result, loser: secondCancel, other: second })),
    second.then((result) => ({ result, loser: firstCancel, other: first })),
  ];
  const earliest = await Promise.race(tagged);
  if (earliest.result.kind === "failure") {
    return earliest.other;
  }
  earliest.loser.cancel();
  void earliest.other.then(discard);
  return earliest.result;
}

function discard(result: WorkResult): void {
  if (result.kind === "answer" && result.answer.body.kind === "stream") {
    result.answer.body.stream.destroy();
  }
}

function createNotRunFailure(reason: RefusalReason, request: CallerRequest): Failure {
  return { outcome: Outcome.NotRun, reason, step: "route", peer: request.service };
}
