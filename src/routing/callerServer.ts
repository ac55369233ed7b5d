/** HTTP/1.1 server for callers: sends the backend server's answer, or a refusal with outcome and reason. */
import { randomUUID } from "node:crypto";
import { type ServerResponse, createServer } from "node:http";
import type { Socket } from "node:net";
import { pipeline } from "node:stream/promises";
import express from "express";
import { describeError } from "../errors";
import { listen, resetConnection, watchCaller } from "../http";
import { type Counters, Event, type Logger } from "../observability";
import type { SnapshotStore } from "../snapshots";
import { type Address, type Clock, type Failure, Outcome, RefusalReason, type WorkAnswer } from "../types";
import { type RequestReadResult, readCallerBody, readCallerRequest } from "./callerRequest";
import { createCallerSockets } from "./callerSockets";
import { HeaderName, readHeader } from "./headers";
import type { Router } from "./router";
import { createStopGate } from "./stopGate";

const MAX_HEADER_BYTES = 16 * 1024;
const MAX_CONCURRENT_REQUESTS = 20_000;
const RETRY_AFTER_SECONDS = "1";

const statusByReason: Readonly<Partial<Record<RefusalReason, number>>> = {
  [RefusalReason.UnknownService]: 404,
  [RefusalReason.MissingKey]: 400,
  [RefusalReason.InvalidRequest]: 400,
  [RefusalReason.HeadersTooLarge]: 431,
  [RefusalReason.TooManyRequests]: 503,
  [RefusalReason.DuplicateInProgress]: 409,
};
const STATUS_NOT_RUN = 503;
const STATUS_UNKNOWN = 502;
const STATUS_DEADLINE = 504;

/** Options for {@link createCallerServer}. */
export interface CallerServerOptions {
  readonly address: Address;
  readonly router: Router;
  readonly snapshots: SnapshotStore;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly counters: Counters;
}

/** HTTP server for callers. */
export interface CallerServer {
  /** Returns the number of requests whose answers have not been written to their sockets in full. */
  countInFlight(): number;
  /**
   * Starts draining: each answer from now on carries `connection: close`, and requests that cannot end before the
   * local time `stopsAt` are refused.
   */
  drain(stopsAt: number): void;
  /** Stops accepting connections and closes each one once it is idle. Resolves when all have closed. */
  close(): Promise<void>;
}

/**
 * Starts the HTTP server for callers.
 *
 * @param options - Address, router, snapshots and other dependencies.
 * @returns The server, which is listening.
 * @throws Error when the address cannot be bound.
 */
export async function createCallerServer(options: CallerServerOptions): Promise<CallerServer> {
  const { snapshots, clock, counters, logger } = options;
  let inFlight = 0;
  let isDraining = false;
  const gate = createStopGate(clock);
  const app = express();
  app.disable("x-powered-by");
  app.disable("etag");
  app.use((request, response) => {
    void serve(request, response);
  });
  const server = createServer({ maxHeaderSize: MAX_HEADER_BYTES }, app);
  server.on("clientError", refuseMalformedRequest);
  const sockets = createCallerSockets(server);
  await listen(server, options.address);

  return {
    countInFlight: () => sockets.countUnwritten(),
    drain: (stopsAt) => {
      isDraining = true;
      gate.close(stopsAt);
    },
    close: () => sockets.close(),
  };

  async function serve(message: express.Request, response: express.Response): Promise<void> {
    inFlight += 1;
    const requestId = readHeader(message.headers, HeaderName.RequestId) ?? randomUUID();
    try {
      await answer(message, response, requestId);
    } catch (error) {
      logger.log(Event.UnexpectedError, { step: "serve caller", error: describeError(error) });
      response.destroy();
    } finally {
      inFlight -= 1;
    }
  }

  async function answer(
    message: express.Request,
    response: express.Response,
    requestId: string,
  ): Promise<void> {
    if (sockets.isBehindLastAnswer(message)) {
      return;
    }
    counters.increment("callers.requests");
    const readResult = readHead(message);
    if (readResult.kind === "refused") {
      sendFailure(response, requestId, createNotRunFailure(readResult.reason), readResult.detail);
      return;
    }
    const caller = watchCaller(message, response);
    const body = await readCallerBody(message);
    if (body === undefined) {
      sendFailure(
        response,
        requestId,
        createNotRunFailure(RefusalReason.CallerGone),
        "the request body was broken off",
      );
      return;
    }
    if (!(await caller.confirmPresence())) {
      const failure = createNotRunFailure(RefusalReason.CallerGone);
      sendFailure(response, requestId, failure, "the caller has disconnected");
      return;
    }
    const { request } = readResult;
    if (!gate.canEnd(request.service, request.deadlineAt)) {
      const failure = createNotRunFailure(RefusalReason.DaemonStopping);
      sendFailure(response, requestId, failure, "the daemon stops before the request can end");
      return;
    }
    const startedAt = clock.now();
    const deadlineAt = gate.limitDeadline(request.deadlineAt);
    const result = await options.router({ ...request, deadlineAt }, body, caller.signal);
    if (result.kind === "failure") {
      sendFailure(response, requestId, result.failure);
      return;
    }
    await sendAnswer(response, requestId, result.answer);
    gate.record(request.service, clock.now() - startedAt);
  }

  function readHead(message: express.Request): RequestReadResult {
    const configuration = snapshots.findConfiguration()?.value.configuration;
    if (configuration === undefined) {
      return { kind: "refused", reason: RefusalReason.NotReady, detail: "no configuration is in force yet" };
    }
    if (inFlight > MAX_CONCURRENT_REQUESTS) {
      return {
        kind: "refused",
        reason: RefusalReason.TooManyRequests,
        detail: "too many requests in flight",
      };
    }
    return readCallerRequest(message, configuration, clock);
  }

  async function sendAnswer(
    response: ServerResponse,
    requestId: string,
    workAnswer: WorkAnswer,
  ): Promise<void> {
    closeWhenDraining(response);
    response.writeHead(workAnswer.status, { ...workAnswer.headers, [HeaderName.RequestId]: requestId });
    if (workAnswer.body.kind === "buffer") {
      response.end(workAnswer.body.content);
      return;
    }
    const { stream } = workAnswer.body;
    const breakOffUnlessEnded = () => {
      if (!stream.readableEnded) {
        breakOff(response);
      }
    };
    // Before the listeners of the pipeline, which closes the connection as after a whole answer.
    stream.once("error", breakOffUnlessEnded);
    stream.once("close", breakOffUnlessEnded);
    if (stream.destroyed) {
      breakOffUnlessEnded();
    }
    try {
      await pipeline(stream, response);
    } catch (error) {
      counters.increment("callers.answerBroken");
      logger.log(Event.RequestFailed, { requestId, step: "send answer", error: describeError(error) });
      response.destroy();
    }
  }

  function closeWhenDraining(response: ServerResponse): void {
    if (isDraining && sockets.closeAfter(response)) {
      response.setHeader("connection", "close");
    }
  }

  function sendFailure(response: ServerResponse, requestId: string, failure: Failure, detail?: string): void {
    counters.increment("callers.refused", failure.reason);
    logger.log(Event.RequestFailed, { requestId, ...failure });
    if (response.destroyed) {
      return;
    }
    closeWhenDraining(response);
    response.statusCode = chooseStatus(failure);
    response.setHeader(HeaderName.RequestId, requestId);
    response.setHeader(HeaderName.Outcome, failure.outcome);
    response.setHeader(HeaderName.Reason, failure.reason);
    if (response.statusCode === STATUS_NOT_RUN) {
      response.setHeader("retry-after", RETRY_AFTER_SECONDS);
    }
    response.setHeader("content-type", "application/json");
    const { outcome, reason, step, peer } = failure;
    response.end(JSON.stringify({ outcome, reason, step, peer, detail, requestId }));
  }

  /** Answers on the socket itself: requests that the HTTP parser rejects never reach the application. */
  function refuseMalformedRequest(
    error: NodeJS.ErrnoException,
    socket: Socket | import("node:stream").Duplex,
  ): void {
    const isTooLarge = error.code === "HPE_HEADER_OVERFLOW";
    const reason = isTooLarge ? RefusalReason.HeadersTooLarge : RefusalReason.InvalidRequest;
    counters.increment("callers.refused", reason);
    if (!socket.writable) {
      socket.destroy();
      return;
    }
    const status = isTooLarge ? "431 Request Header Fields Too Large" : "400 Bad Request";
    const body = JSON.stringify({ outcome: Outcome.NotRun, reason, step: "read request" });
    const headLines = [
      `HTTP/1.1 ${status}`,
      "content-type: application/json",
      `content-length: ${Buffer.byteLength(body)}`,
      `${HeaderName.Outcome}: ${Outcome.NotRun}`,
      `${HeaderName.Reason}: ${reason}`,
      "connection: close",
    ];
    socket.end(`${headLines.join("\r\n")}\r\n\r\n${body}`);
  }
}

/** Resets the connection of an incomplete answer if its close alone would not show the truncation to the caller. */
function breakOff(response: ServerResponse): void {
  const hasMarkedEnd = response.chunkedEncoding || response.hasHeader("content-length");
  if (!hasMarkedEnd && response.socket !== null) {
    // To an HTTP/1.0 caller, a close is the regular end of the body; only a reset is not.
    resetConnection(response.socket);
  }
}

function chooseStatus(failure: Failure): number {
  const status = statusByReason[failure.reason];
  if (status !== undefined) {
    return status;
  }
  if (failure.reason === RefusalReason.DeadlineExceeded) {
    return STATUS_DEADLINE;
  }
  return failure.outcome === Outcome.NotRun ? STATUS_NOT_RUN : STATUS_UNKNOWN;
}

function createNotRunFailure(reason: RefusalReason): Failure {
  return { outcome: Outcome.NotRun, reason, step: "read request" };
}
