/** Executes requests on the backend servers whose leases this daemon holds. */
import { describeError } from "../errors";
import { type Counters, Event, type Logger } from "../observability";
import type { LeaseManager, ServerLease } from "../ownership";
import type { Peers } from "../peers";
import type { SnapshotStore } from "../snapshots";
import {
  type Body,
  type Clock,
  type Failure,
  Outcome,
  RefusalReason,
  type ServerName,
  type WorkHandler,
  type WorkRequest,
  type WorkResult,
} from "../types";
import { type ServerClient, createServerClient } from "./serverClient";
import { createStopGate } from "./stopGate";
import { type WorkRegistry, isReplayable } from "./workRegistry";

/** Options for {@link createLeaseholderDispatcher}. */
export interface LeaseholderDispatcherOptions {
  readonly leases: LeaseManager;
  readonly snapshots: SnapshotStore;
  readonly registry: WorkRegistry;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly counters: Counters;
  /** Returns the connections for relayed requests; called on use, since they are created after this. */
  readonly peers: () => Peers;
}

/** Executes requests as the leaseholder, and relays requests of daemons that cannot reach it. */
export interface LeaseholderDispatcher {
  readonly handleWork: WorkHandler;
  /** Returns the number of requests being executed or relayed. */
  countInFlight(): number;
  /** Starts to refuse requests that cannot end before the local time `stopsAt`. */
  drain(stopsAt: number): void;
  /** Closes all connections to backend servers immediately. */
  close(): void;
}

interface OpenClient {
  readonly client: ServerClient;
  readonly lease: ServerLease;
}

/**
 * Creates the dispatcher.
 *
 * @param options - Leases, snapshots, work registry and other dependencies.
 * @returns The dispatcher.
 */
export function createLeaseholderDispatcher(options: LeaseholderDispatcherOptions): LeaseholderDispatcher {
  const { leases, clock, registry, counters } = options;
  const clients = new Map<ServerName, OpenClient>();
  const gate = createStopGate(clock);
  let inFlight = 0;

  return {
    handleWork: async (work, body, signal) => {
      inFlight += 1;
      try {
        const result = await handle(work, body, signal);
        if (result.kind === "failure") {
          counters.increment("dispatch.refused", result.failure.reason);
        }
        return result;
      } catch (error) {
        options.logger.log(Event.UnexpectedError, { step: "dispatch", error: describeError(error) });
        return fail(Outcome.Unknown, RefusalReason.ServerConnectionLost, work);
      } finally {
        inFlight -= 1;
      }
    },
    countInFlight: () => inFlight,
    drain: (stopsAt) => {
      gate.close(stopsAt);
    },
    close: () => {
      for (const { client } of clients.values()) {
        client.close();
      }
    },
  };

  async function handle(work: WorkRequest, body: Body, signal: AbortSignal): Promise<WorkResult> {
    if (work.relayTo !== null) {
      return relay(work, body, signal);
    }
    if (!registry.admitAttempt(work.id)) {
      return fail(Outcome.NotRun, RefusalReason.DuplicateInProgress, work);
    }
    if (work.isIdempotent || work.idempotencyKey === null) {
      return execute(work, body, signal);
    }
    return executeOnce(work, body, signal);
  }

  /** Forwards a request for a daemon that cannot reach the leaseholder. A request is relayed at most once. */
  async function relay(work: WorkRequest, body: Body, signal: AbortSignal): Promise<WorkResult> {
    counters.increment("dispatch.relayed");
    const daemon = work.relayTo ?? "";
    try {
      const peer = await options.peers().connect(daemon);
      return await peer.forward({ ...work, relayTo: null }, body, signal);
    } catch {
      return fail(Outcome.NotRun, RefusalReason.LeaseholderUnreachable, work);
    }
  }

  async function executeOnce(work: WorkRequest, body: Body, signal: AbortSignal): Promise<WorkResult> {
    const state = registry.begin(work);
    switch (state.kind) {
      case "running":
        return fail(Outcome.Unknown, RefusalReason.DuplicateInProgress, work);
      case "ended":
        counters.increment("dispatch.replayed");
        return state.result;
      case "first":
        return executeAndRecord(work, body, signal);
      default:
        return state satisfies never;
    }
  }

  async function executeAndRecord(work: WorkRequest, body: Body, signal: AbortSignal): Promise<WorkResult> {
    const result = await execute(work, body, signal);
    // Without a result to replay, a repeated request is refused, since it must not run again.
    const recorded = isReplayable(result)
      ? result
      : fail(Outcome.Unknown, RefusalReason.DuplicateInProgress, work);
    registry.finish(work, recorded);
    return result;
  }

  async function execute(work: WorkRequest, body: Body, signal: AbortSignal): Promise<WorkResult> {
    const lease = leases.get(work.server);
    if (lease?.service !== work.service) {
      return fail(Outcome.NotRun, RefusalReason.NotLeaseholder, work);
    }
    const startedAt = clock.now();
    const deadlineAt = startedAt + work.timeoutMs;
    if (!gate.canEnd(work.service, deadlineAt)) {
      return fail(Outcome.NotRun, RefusalReason.DaemonStopping, work);
    }
    const admission = await lease.acquirePermit(work.key ?? undefined, deadlineAt, signal);
    if (admission.kind === "refused") {
      return fail(Outcome.NotRun, admission.reason, work);
    }
    if (clock.now() >= deadlineAt || signal.aborted) {
      admission.permit.end("notSent", undefined);
      return fail(Outcome.NotRun, RefusalReason.DeadlineExceeded, work);
    }
    const client = findOrCreateClient(lease);
    if (client === undefined) {
      admission.permit.end("notSent", undefined);
      return fail(Outcome.NotRun, RefusalReason.NotLeaseholder, work);
    }
    counters.increment("dispatch.sent");
    const { permit } = admission;
    const result = await client.send({
      work,
      body,
      permit,
      generation: lease.generation,
      deadlineAt: gate.limitDeadline(deadlineAt),
      signal,
    });
    if (result.kind === "answer") {
      gate.record(work.service, clock.now() - startedAt);
    }
    return result;
  }

  function findOrCreateClient(lease: ServerLease): ServerClient | undefined {
    const existing = clients.get(lease.server);
    if (existing?.lease === lease) {
      return existing.client;
    }
    existing?.client.retire();
    clients.delete(lease.server);
    const settings = options.snapshots.findConfiguration()?.value.configuration.servers[lease.server];
    if (settings === undefined) {
      return undefined;
    }
    const client = createServerClient({
      address: { host: settings.host, port: settings.port },
      maxConnections: Math.min(settings.connections, settings.slots),
      clock,
      getLoad: () => lease.getLoad(),
      onBrokenConnection: () => {
        lease.recordBrokenConnection();
      },
      onCold: () => {
        lease.recordCold();
      },
    });
    clients.set(lease.server, { client, lease });
    return client;
  }
}

function fail(outcome: Outcome, reason: RefusalReason, work: WorkRequest): WorkResult {
  const failure: Failure = { outcome, reason, step: "dispatch", peer: work.server };
  return { kind: "failure", failure };
}
