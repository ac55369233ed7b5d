/** Sends requests to one backend server over HTTP and determines the outcome of each. */
import { Pool } from "undici";
import type { Dispatcher } from "undici";
import { describeError } from "../errors";
import { isFinalStatus } from "../http";
import type { WorkEnd, WorkPermit } from "../ownership";
import {
  type Address,
  type Body,
  type Clock,
  type Failure,
  type Generation,
  type LoadReport,
  Outcome,
  RefusalReason,
  type WorkRequest,
  type WorkResult,
  formatAddress,
} from "../types";
import { HeaderName, readHeader, selectForwardedHeaders } from "./headers";

const CONNECT_TIMEOUT_MS = 400;
const KEEP_ALIVE_TIMEOUT_MS = 30_000;
/** Longer answers and chunked ones are streamed. */
const MAX_BUFFERED_ANSWER_BYTES = 64 * 1024;
const HTTP_PRECONDITION_FAILED = 412;
const STATUSES_WITHOUT_BODY = new Set([204, 304]);
/** Codes of errors while connecting: no byte of the request has been sent, so it did not run. */
const CONNECT_ERROR_CODES = new Set([
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "ENETUNREACH",
  "UND_ERR_CONNECT_TIMEOUT",
]);

/** Options for {@link createServerClient}. */
export interface ServerClientOptions {
  readonly address: Address;
  /** Maximum number of connections. */
  readonly maxConnections: number;
  readonly clock: Clock;
  /** Returns the current load of the server, which is reported with each answer. */
  readonly getLoad: () => LoadReport;
  /** Called when a connection cannot be opened or breaks. */
  readonly onBrokenConnection: () => void;
  /** Called when an answer reports that the server is cold. */
  readonly onCold: () => void;
}

/** A request with the permit to send it. */
export interface PermittedWork {
  readonly work: WorkRequest;
  readonly body: Body;
  readonly permit: WorkPermit;
  readonly generation: Generation;
  /** Local time by which the whole answer must have arrived. */
  readonly deadlineAt: number;
  /** Aborted to cancel the request, for example when the caller has disconnected. */
  readonly signal: AbortSignal;
}

/** HTTP client of one backend server. */
export interface ServerClient {
  /** Sends a request. Ends the permit once the answer is complete or the request has failed. */
  send(permitted: PermittedWork): Promise<WorkResult>;
  /** Accepts no more requests and closes each connection once its request has ended. */
  retire(): void;
  /** Closes all connections immediately, also those with requests in flight. */
  close(): void;
}

/**
 * Creates the client of one backend server. Each connection carries one request at a time.
 *
 * @param options - Address, limits and callbacks.
 * @returns The client.
 */
export function createServerClient(options: ServerClientOptions): ServerClient {
  const { clock } = options;
  const pool = new Pool(`http://${formatAddress(options.address)}`, {
    connections: options.maxConnections,
    pipelining: 1,
    connect: { timeout: CONNECT_TIMEOUT_MS },
    keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
    // 0 disables the timeouts of undici: each request's deadline limits its whole answer.
    headersTimeout: 0,
    bodyTimeout: 0,
  });

  return {
    send,
    retire: () => {
      void pool.close();
    },
    close: () => {
      void pool.destroy();
    },
  };

  async function send(permitted: PermittedWork): Promise<WorkResult> {
    const { work, permit, signal, deadlineAt } = permitted;
    const startedAt = clock.now();
    const abortController = new AbortController();
    const abort = () => {
      abortController.abort();
    };
    let isDeadlineExceeded = false;
    let hasEnded = false;
    const cancelDeadline = clock.schedule(deadlineAt - startedAt, () => {
      isDeadlineExceeded = true;
      abort();
    });
    // Plain listeners that are removed when the request ends: `serverLost` outlives many requests, whose
    // listeners would otherwise accumulate on it.
    signal.addEventListener("abort", abort);
    permit.serverLost.addEventListener("abort", abort);
    if (signal.aborted || permit.serverLost.aborted) {
      abort();
    }

    try {
      const response = await pool.request({
        method: work.method,
        path: work.target,
        headers: createHeaders(permitted),
        body: createRequestBody(permitted.body),
        signal: abortController.signal,
      });
      return await receive(response);
    } catch (error) {
      return fail(error);
    }

    async function receive(response: Dispatcher.ResponseData): Promise<WorkResult> {
      if (readHeader(response.headers, HeaderName.Cold) !== undefined) {
        options.onCold();
      }
      const refusal = isFinalStatus(response.statusCode) ? findServerRefusal(response) : undefined;
      if (refusal !== undefined) {
        await response.body.dump();
        return finish("notSent", { kind: "failure", failure: createFailure(Outcome.NotRun, refusal, work) });
      }
      const unusableReason = findUnusableReason(response, work);
      if (unusableReason !== undefined) {
        response.body.on("error", () => undefined).destroy();
        return finish("unresolved", {
          kind: "failure",
          failure: createFailure(Outcome.Unknown, unusableReason, work),
        });
      }
      return isShort(response) ? receiveWhole(response) : receiveStream(response);
    }

    async function receiveWhole(response: Dispatcher.ResponseData): Promise<WorkResult> {
      const content = await response.body.bytes();
      const result = createAnswer(response, { kind: "buffer", content });
      return finish("answered", result, clock.now() - startedAt);
    }

    function receiveStream(response: Dispatcher.ResponseData): WorkResult {
      const latencyMs = clock.now() - startedAt;
      const stream = response.body;
      stream.on("error", () => undefined);
      stream.once("close", () => {
        endPermit(stream.readableEnded ? "answered" : "unresolved", latencyMs);
      });
      return createAnswer(response, { kind: "stream", stream });
    }

    function createAnswer(response: Dispatcher.ResponseData, body: Body): WorkResult {
      const headers = selectForwardedHeaders(response.headers);
      return {
        kind: "answer",
        answer: { status: response.statusCode, headers, body, load: options.getLoad() },
      };
    }

    function fail(error: unknown): WorkResult {
      const isUnsent = CONNECT_ERROR_CODES.has((error as NodeJS.ErrnoException).code ?? "");
      const outcome = isUnsent ? Outcome.NotRun : Outcome.Unknown;
      const reason = chooseReason(isUnsent);
      if (reason === RefusalReason.ServerUnreachable || reason === RefusalReason.ServerConnectionLost) {
        options.onBrokenConnection();
      }
      const failure = createFailure(outcome, reason, work, describeError(error));
      return finish(isUnsent ? "notSent" : "unresolved", { kind: "failure", failure });
    }

    function chooseReason(isUnsent: boolean): RefusalReason {
      if (isUnsent || permit.serverLost.aborted) {
        return RefusalReason.ServerUnreachable;
      }
      if (isDeadlineExceeded) {
        return RefusalReason.DeadlineExceeded;
      }
      return signal.aborted ? RefusalReason.CallerGone : RefusalReason.ServerConnectionLost;
    }

    function finish(workEnd: WorkEnd, result: WorkResult, latencyMs?: number): WorkResult {
      endPermit(workEnd, latencyMs);
      return result;
    }

    function endPermit(workEnd: WorkEnd, latencyMs: number | undefined): void {
      if (!hasEnded) {
        hasEnded = true;
        cancelDeadline();
        signal.removeEventListener("abort", abort);
        permit.serverLost.removeEventListener("abort", abort);
        permit.end(workEnd, latencyMs);
      }
    }
  }

  function createHeaders(permitted: PermittedWork): Record<string, string | string[]> {
    const { work, permit, generation, deadlineAt } = permitted;
    const headers: Record<string, string | string[]> = {
      ...work.headers,
      [HeaderName.RequestId]: work.id,
      [HeaderName.Timeout]: String(Math.max(0, Math.round(deadlineAt - clock.now()))),
      [HeaderName.Generation]: String(generation),
    };
    if (permit.slot !== undefined && permit.epoch !== undefined) {
      headers[HeaderName.Slot] = String(permit.slot);
      headers[HeaderName.Epoch] = String(permit.epoch);
    }
    return headers;
  }
}

function createRequestBody(body: Body) {
  if (body.kind === "stream") {
    return body.stream;
  }
  return body.content.byteLength === 0 ? null : body.content;
}

/** Finds the reason of a refusal by which the server states that it has not run the request. */
function findServerRefusal(response: Dispatcher.ResponseData): RefusalReason | undefined {
  if (readHeader(response.headers, HeaderName.Outcome) !== Outcome.NotRun) {
    return undefined;
  }
  return response.statusCode === HTTP_PRECONDITION_FAILED
    ? RefusalReason.ServerFenced
    : RefusalReason.ServerShed;
}

/**
 * Finds why an answer cannot be used: it belongs to another request, its status is none, or it has neither a length nor
 * chunks, so that its end cannot be distinguished from a broken connection.
 */
function findUnusableReason(response: Dispatcher.ResponseData, work: WorkRequest): RefusalReason | undefined {
  const echoedId = readHeader(response.headers, HeaderName.RequestId);
  if (echoedId !== undefined && echoedId !== work.id) {
    return RefusalReason.MismatchedAnswer;
  }
  if (!isFinalStatus(response.statusCode)) {
    return RefusalReason.InvalidStatus;
  }
  const coding = readHeader(response.headers, "transfer-encoding");
  const isFramed =
    coding === undefined ? response.headers["content-length"] !== undefined : isChunked(coding);
  const hasNoBody = STATUSES_WITHOUT_BODY.has(response.statusCode) || work.method === "HEAD";
  return isFramed || hasNoBody ? undefined : RefusalReason.UnframedAnswer;
}

/** Returns whether a transfer coding is chunks alone. Others may end with the connection, and are not decoded here. */
function isChunked(coding: string): boolean {
  return coding.trim().toLowerCase() === "chunked";
}

function isShort(response: Dispatcher.ResponseData): boolean {
  const length = readHeader(response.headers, "content-length");
  return length === undefined
    ? response.headers["transfer-encoding"] === undefined
    : Number(length) <= MAX_BUFFERED_ANSWER_BYTES;
}

function createFailure(outcome: Outcome, reason: RefusalReason, work: WorkRequest, detail?: string): Failure {
  return { outcome, reason, step: detail === undefined ? "send" : `send: ${detail}`, peer: work.server };
}
