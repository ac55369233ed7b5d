/** Classifies how an attempt at a backend server ended, and records what it shows about the server. */
import type { IncomingMessage } from "node:http";
import type { DiscoveredServer, ServerDirectory } from "../discovery";
import { RejectionReason } from "./dispatchTypes";
import type { ServerFields, ServerProtocol } from "./protocols";
import type { AnswerBody, SendResult } from "./serverConnections";
import type { ServerLoads } from "./serverLoads";

/** Result of one attempt. */
export type AttemptResult =
  | { readonly kind: "answered"; readonly message: IncomingMessage; readonly body: AnswerBody }
  /** The server answered with an error of its own. */
  | { readonly kind: "failed"; readonly message: IncomingMessage; readonly body: AnswerBody }
  | { readonly kind: "notRun"; readonly reason: RejectionReason }
  | { readonly kind: "unknown"; readonly reason: RejectionReason };

const FIRST_SERVER_ERROR_STATUS = 500;
const HTTP_MISDIRECTED = 421;
/**
 * To the caller these statuses mean that the request has not run. An answer that has one of them without the
 * server's own statement that the request has not run is therefore not forwarded.
 */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** Classifies the result of one attempt. */
export type AttemptClassifier = (
  requestId: string,
  server: DiscoveredServer,
  result: SendResult,
  latencyMs: number,
) => AttemptResult;

/** Options for {@link createAttemptClassifier}. */
export interface AttemptClassifierOptions {
  readonly directory: ServerDirectory;
  readonly loads: ServerLoads;
  readonly protocol: ServerProtocol;
}

/**
 * Creates a classifier.
 *
 * @param options - Protocol of the servers, and the views that the results are recorded in.
 * @returns The classifier.
 */
export function createAttemptClassifier(options: AttemptClassifierOptions): AttemptClassifier {
  const { directory, loads, protocol } = options;

  return classify;

  function classify(
    requestId: string,
    server: DiscoveredServer,
    result: SendResult,
    latencyMs: number,
  ): AttemptResult {
    switch (result.kind) {
      case "notSent":
        loads.recordUnreachable(server.name);
        return { kind: "notRun", reason: RejectionReason.Unreachable };
      case "broken":
        loads.recordFailure(server.name);
        return { kind: "unknown", reason: RejectionReason.Broken };
      case "late":
        loads.recordFailure(server.name);
        return { kind: "unknown", reason: RejectionReason.Late };
      case "abandoned":
        return { kind: "unknown", reason: RejectionReason.Abandoned };
      case "answered":
        return classifyAnswer(requestId, server, result, latencyMs);
      default:
        return result satisfies never;
    }
  }

  function classifyAnswer(
    requestId: string,
    server: DiscoveredServer,
    result: Extract<SendResult, { kind: "answered" }>,
    latencyMs: number,
  ): AttemptResult {
    const { message, body } = result;
    const status = message.statusCode ?? 0;
    const fields = protocol.read(status, message.headers);
    if (fields.requestId !== undefined && fields.requestId !== requestId) {
      // Answers no longer match requests on this connection, so the next one may belong to any request.
      result.discardConnection();
      return { kind: "unknown", reason: RejectionReason.Foreign };
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
    if (
      !fields.isSigned ||
      message.headers["content-encoding"] !== undefined ||
      NOT_RUN_STATUSES.has(status)
    ) {
      loads.recordFailure(server.name);
      return { kind: "unknown", reason: RejectionReason.Unsigned };
    }
    if (status >= FIRST_SERVER_ERROR_STATUS) {
      loads.recordFailure(server.name);
      return { kind: "failed", message, body };
    }
    loads.recordAnswer(server.name, latencyMs);
    return { kind: "answered", message, body };
  }

  function recordFields(server: DiscoveredServer, fields: ServerFields): void {
    if (fields.load !== undefined) {
      loads.recordLoad(server.name, fields.load);
    }
    if (fields.coldForMs !== undefined) {
      directory.recordCold(server.name, fields.coldForMs);
    }
  }
}
