/** Judges how an attempt at a backend server ended, and takes note of what it tells of the server. */
import type { IncomingMessage } from "node:http";
import type { DiscoveredServer, ServerDirectory } from "../discovery";
import { RejectionReason } from "./dispatchTypes";
import type { ServerFields, ServerProtocol } from "./protocols";
import type { AnswerBody, SendResult } from "./serverConnections";
import type { ServerLoads } from "./serverLoads";

/** How one attempt ended. */
export type AttemptResult =
  | { readonly kind: "answered"; readonly message: IncomingMessage; readonly body: AnswerBody }
  /** The server answered with a failure of its own. */
  | { readonly kind: "failed"; readonly message: IncomingMessage; readonly body: AnswerBody }
  | { readonly kind: "notRun"; readonly reason: RejectionReason }
  | { readonly kind: "unknown"; readonly reason: RejectionReason };

const FIRST_SERVER_ERROR_STATUS = 500;
const HTTP_MISDIRECTED = 421;
/** From a backend server these say "not run" to the caller, which only a server that says so itself may. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** Judges one attempt. */
export type AttemptClassifier = (
  requestId: string,
  server: DiscoveredServer,
  result: SendResult,
  latencyMs: number,
) => AttemptResult;

/** What a judge is made from. */
export interface AttemptClassifierOptions {
  readonly directory: ServerDirectory;
  readonly loads: ServerLoads;
  readonly protocol: ServerProtocol;
}

/**
 * Creates a judge.
 *
 * @param options - Where it takes note of servers.
 * @returns The judge.
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
      // The next answer on this connection may belong to any request.
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
