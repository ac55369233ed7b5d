/** Writes answers and refusals to callers. */
import type { ServerResponse } from "node:http";
import { pipeline } from "node:stream/promises";
import { describeError } from "../../errors";
import { resetConnection } from "../../http";
import { type Counters, Event, type Logger } from "../../observability";
import type { Clock } from "../../types";
import { dropBody } from "../servers";
import { RejectionReason, type StreamedBody } from "../attemptTypes";
import type { DispatchResult, RoutedRequest } from "../dispatchTypes";
import type { CallerFields, CallerProtocol } from "../protocols";
import type { RequestPlace } from "./requestPlace";
import { selectForwardedHeaders } from "./forwardedHeaders";

const NO_NAMES: ReadonlySet<string> = new Set();

/** HTTP statuses of answers that hemlockbank generates itself. */
export const Status = {
  BadRequest: 400,
  Unauthorized: 401,
  NotFound: 404,
  PayloadTooLarge: 413,
  ExpectationFailed: 417,
  TooManyRequests: 429,
  HeadersTooLarge: 431,
  BadGateway: 502,
  ServiceUnavailable: 503,
  GatewayTimeout: 504,
} as const;

/** A caller's request that is to be answered. */
export interface PendingAnswer {
  readonly response: ServerResponse;
  readonly fields: CallerFields;
  readonly place: RequestPlace;
}

/** A refusal. */
export interface Refusal {
  readonly status: number;
  readonly detail: string;
  /** When the caller should return, in milliseconds; only for a request that has not run. */
  readonly retryAfterMs?: number;
}

/** Writes answers. */
export interface CallerAnswers {
  /** Forwards the answer of a backend server. */
  forward(
    pending: PendingAnswer,
    request: RoutedRequest,
    answer: Extract<DispatchResult, { kind: "answered" }>,
  ): Promise<void>;
  /** Answers with a refusal of this daemon. */
  refuse(pending: PendingAnswer, refusal: Refusal): void;
  /** Closes connections after their next answers, so that callers connect to other daemons. */
  drain(): void;
}

/** Options for {@link createCallerAnswers}. */
export interface CallerAnswersOptions {
  readonly protocol: CallerProtocol;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly counters: Counters;
}

/**
 * Creates the writer.
 *
 * @param options - Protocol of the callers, clock, logger and counters.
 * @returns The writer.
 */
export function createCallerAnswers(options: CallerAnswersOptions): CallerAnswers {
  const { clock, logger, counters } = options;
  let isDraining = false;

  return {
    forward,
    refuse,
    drain: () => {
      isDraining = true;
    },
  };

  async function forward(
    pending: PendingAnswer,
    request: RoutedRequest,
    { message, body }: Extract<DispatchResult, { kind: "answered" }>,
  ): Promise<void> {
    const { response, place } = pending;
    const status = message.statusCode ?? Status.BadGateway;
    const headers = selectForwardedHeaders(message.rawHeaders, NO_NAMES);
    if (body.kind === "unframed" && place.hasWorkBehind()) {
      // It may be incomplete, so it must not get a length; and a close would lose the requests behind it.
      refuse(pending, { status: Status.BadGateway, detail: RejectionReason.Unframed });
      return;
    }
    if (body.kind === "unframed") {
      place.endConnection();
      // The backend server sent no length, so the end of the connection marks the end of the body here too.
      response.useChunkedEncodingByDefault = false;
      response.writeHead(status, { ...headers, connection: "close" });
      response.end(body.content);
      return;
    }
    const connection = createConnectionField(place);
    if (body.kind === "streamed") {
      // Without a length it is sent in chunks: some callers take a reset connection for a plain end.
      response.writeHead(status, { ...headers, ...connection });
      await stream(pending, request, body, response.chunkedEncoding || "content-length" in headers);
      return;
    }
    const length = request.method === "HEAD" ? {} : { "content-length": String(body.content.byteLength) };
    response.writeHead(status, { ...headers, ...length, ...connection });
    response.end(body.content);
  }

  /** Streams a body, whose announced end shows the caller that it is complete if `isFramed`. */
  async function stream(
    { response }: PendingAnswer,
    request: RoutedRequest,
    body: StreamedBody,
    isFramed: boolean,
  ): Promise<void> {
    const abort = new AbortController();
    const breakOff = () => {
      const { socket } = response;
      if (isFramed || socket === null) {
        // Closing before the announced end of the body shows the caller that the answer is incomplete.
        response.destroy();
      } else {
        // A caller of HTTP/1.0 would take a plain close for the end of the body.
        resetConnection(socket);
      }
      abort.abort();
    };
    // A caller that does not read does not keep an answer that has broken off.
    body.rest.once("close", () => {
      if (!body.rest.readableEnded) {
        breakOff();
      }
    });
    if (body.rest.destroyed) {
      breakOff();
    }
    try {
      await pipeline(joinBody(body, breakOff), response, { signal: abort.signal });
    } catch (error) {
      dropBody(body);
      logger.log(Event.AnswerBrokenOff, {
        requestId: request.id,
        service: request.service.name,
        heldMs: Math.round(clock.now() - request.arrivedAt),
        leftMs: Math.round(request.deadlineAt - clock.now()),
        error: describeError(error),
      });
      response.destroy();
    }
  }

  function refuse(pending: PendingAnswer, { status, detail, retryAfterMs }: Refusal): void {
    const { response, fields, place } = pending;
    counters.increment("callers.refused", `${status}:${detail}`);
    if (response.destroyed) {
      return;
    }
    const content = Buffer.from(JSON.stringify({ error: detail }));
    const canRetry = status === Status.ServiceUnavailable || status === Status.TooManyRequests;
    response.writeHead(status, {
      ...options.protocol.createRefusalFields(fields.requestId, canRetry ? retryAfterMs : undefined),
      "content-type": "application/json",
      "content-length": String(content.byteLength),
      ...createConnectionField(place),
    });
    response.end(content);
  }

  function createConnectionField(place: RequestPlace): { readonly connection?: "close" } {
    const isCloseWanted = isDraining || place.mustClose();
    return isCloseWanted && place.closeAfter() ? { connection: "close" } : {};
  }
}

async function* joinBody(
  { head, rest, confirmEnd }: StreamedBody,
  onFailure: () => void,
): AsyncGenerator<Buffer> {
  try {
    yield* head;
    yield* rest as AsyncIterable<Buffer>;
    await confirmEnd?.();
  } catch (error) {
    // Before the pipeline closes the connection to the caller.
    onFailure();
    throw error;
  }
}
