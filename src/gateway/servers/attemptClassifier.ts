/** Classifies how an attempt at a backend server ended, and records what it shows about the server. */
import type { IncomingMessage } from "node:http";
import type { DiscoveredServer, ServerDirectory } from "../../discovery";
import { type AnswerBody, RejectionReason, type UnansweredAttempt } from "../attemptTypes";
import type { ServerFields, ServerProtocol } from "../protocols";
import type { ServerBackOff, ServerLoads, ServerRateLimits } from "../admission";
import { isFinalStatus } from "../../http";
import { hasKnownCoding } from "./answerBody";
import type { SendResult } from "./serverConnections";

/** Result of one attempt. */
export type AttemptResult =
  | { readonly kind: "answered"; readonly message: IncomingMessage; readonly body: AnswerBody }
  /** The server answered with an error of its own. */
  | { readonly kind: "failed"; readonly message: IncomingMessage; readonly body: AnswerBody }
  | UnansweredAttempt;

const FIRST_SERVER_ERROR_STATUS = 500;
const HTTP_MISDIRECTED = 421;
/**
 * To the caller these statuses mean that the request has not run. An answer that has one of them without the
 * server's own statement that the request has not run is therefore not forwarded.
 */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** Classifies attempts. */
export interface AttemptClassifier {
  /**
   * Returns why an answer is not returned to the caller, from its head; undefined when it is. On a connection that
   * has carried an earlier request, an answer counts only if it names this one: it may be a repeated earlier answer.
   */
  findRejection(
    requestId: string,
    server: DiscoveredServer,
    head: IncomingMessage,
    isReusedConnection: boolean,
  ): UnansweredAttempt | undefined;
  /** Classifies the result of an attempt that took `latencyMs` milliseconds, at a request of the given weight. */
  classify(server: DiscoveredServer, result: SendResult, latencyMs: number, weight: number): AttemptResult;
}

/** Options for {@link createAttemptClassifier}. */
export interface AttemptClassifierOptions {
  readonly directory: ServerDirectory;
  readonly loads: ServerLoads;
  readonly rateLimits: Pick<ServerRateLimits, "record">;
  readonly backOff: Pick<ServerBackOff, "record">;
  readonly protocol: ServerProtocol;
}

/**
 * Creates a classifier.
 *
 * @param options - Protocol of the servers, and the views that the results are recorded in.
 * @returns The classifier.
 */
export function createAttemptClassifier(options: AttemptClassifierOptions): AttemptClassifier {
  const { directory, loads, rateLimits, backOff, protocol } = options;

  return { findRejection, classify };

  function findRejection(
    requestId: string,
    server: DiscoveredServer,
    head: IncomingMessage,
    isReusedConnection: boolean,
  ): UnansweredAttempt | undefined {
    const status = head.statusCode ?? 0;
    const fields = protocol.read(status, head.headers);
    const isForeign = fields.requestId === undefined ? isReusedConnection : fields.requestId !== requestId;
    if (isForeign) {
      return { kind: "unknown", reason: RejectionReason.Foreign };
    }
    if (!isFinalStatus(status)) {
      // A server in this state is not believed when it says that it has not run the request.
      loads.recordFailure(server.name);
      return { kind: "unknown", reason: RejectionReason.InvalidStatus };
    }
    if (fields.answeredBy !== undefined && fields.answeredBy !== server.name) {
      loads.recordReplaced(server.name);
    } else {
      recordFields(server, fields);
    }
    if (fields.isNotRun) {
      return {
        kind: "notRun",
        reason: status === HTTP_MISDIRECTED ? RejectionReason.OwnerUnusable : RejectionReason.Shed,
      };
    }
    if (!hasKnownCoding(head)) {
      loads.recordFailure(server.name);
      return { kind: "unknown", reason: RejectionReason.Broken };
    }
    if (!fields.isSigned || head.headers["content-encoding"] !== undefined || NOT_RUN_STATUSES.has(status)) {
      loads.recordFailure(server.name);
      return { kind: "unknown", reason: RejectionReason.Unsigned };
    }
    return undefined;
  }

  function classify(
    server: DiscoveredServer,
    result: SendResult,
    latencyMs: number,
    weight: number,
  ): AttemptResult {
    switch (result.kind) {
      case "notSent":
        loads.recordUnreachable(server.name);
        return { kind: "notRun", reason: RejectionReason.Unreachable };
      case "turnedAway":
      case "dropped":
        return { kind: "notRun", reason: RejectionReason.Shed };
      case "broken":
        loads.recordFailure(server.name);
        return { kind: "unknown", reason: RejectionReason.Broken };
      case "late":
        loads.recordFailure(server.name);
        return { kind: "unknown", reason: RejectionReason.Late };
      case "abandoned":
        return { kind: "unknown", reason: RejectionReason.Abandoned };
      case "rejected":
        return result.rejection;
      case "answered":
        return classifyAnswer(server, result, latencyMs, weight);
      default:
        return result satisfies never;
    }
  }

  function classifyAnswer(
    server: DiscoveredServer,
    { message, body }: Extract<SendResult, { kind: "answered" }>,
    latencyMs: number,
    weight: number,
  ): AttemptResult {
    if ((message.statusCode ?? 0) >= FIRST_SERVER_ERROR_STATUS) {
      loads.recordFailure(server.name);
      return { kind: "failed", message, body };
    }
    loads.recordAnswer(server.name, latencyMs, weight);
    return { kind: "answered", message, body };
  }

  function recordFields(server: DiscoveredServer, fields: ServerFields): void {
    rateLimits.record(server, fields.rateLimit);
    if (fields.isLeaving) {
      directory.recordLeaving(server);
    }
    if (fields.backOffMs !== undefined) {
      backOff.record(server, fields.backOffMs);
    }
    if (fields.load !== undefined) {
      loads.recordLoad(server.name, fields.load);
    }
    if (fields.coldForMs !== undefined) {
      directory.recordCold(server.name, fields.coldForMs);
    }
  }
}
