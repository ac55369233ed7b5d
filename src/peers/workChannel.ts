/** Transfers requests and answers over one link, in both directions. */
import { PeerError } from "../errors";
import {
  type Body,
  type Failure,
  Outcome,
  RefusalReason,
  type WorkAnswer,
  type WorkHandler,
  type WorkRequest,
  type WorkResult,
} from "../types";
import {
  type BodyReceiver,
  type BodySender,
  createBodyReceiver,
  createBodySender,
  findBufferedContent,
} from "./bodyStreams";
import type { PeerLink } from "./link";
import type { PeerMessage } from "./messages";

/** Peer messages that transfer requests and answers. */
export type WorkMessage = Extract<
  PeerMessage,
  {
    kind:
      | "request"
      | "requestBody"
      | "requestCredit"
      | "requestAborted"
      | "cancel"
      | "answer"
      | "failure"
      | "answerBody"
      | "answerCredit"
      | "answerAborted";
  }
>;

/** The requests and answers on one link. */
export interface WorkChannel {
  /** Sends a request and waits for its answer or failure. */
  forward(work: WorkRequest, body: Body, signal: AbortSignal): Promise<WorkResult>;
  /** Handles a message from the other side. */
  handleMessage(message: WorkMessage): void;
  /** Returns the number of requests from the other side whose answers have not been sent in full. */
  countReceived(): number;
  /** Fails sent requests with an unknown outcome and cancels received ones, after the link was lost. */
  failAll(): void;
}

interface SentRequest {
  readonly settle: (result: WorkResult) => void;
  readonly bodySender: BodySender;
  answerReceiver: BodyReceiver | undefined;
}

interface ReceivedRequest {
  readonly abortController: AbortController;
  readonly answerSender: BodySender;
  readonly bodyReceiver: BodyReceiver | undefined;
}

/**
 * Creates the channel for a link.
 *
 * @param link - The link.
 * @param handleWork - Executes requests from the other side.
 * @returns The channel.
 */
export function createWorkChannel(link: PeerLink, handleWork: WorkHandler): WorkChannel {
  const sentRequests = new Map<number, SentRequest>();
  const receivedRequests = new Map<number, ReceivedRequest>();
  let lastId = 0;

  return { forward, handleMessage, countReceived: () => receivedRequests.size, failAll };

  function forward(work: WorkRequest, body: Body, signal: AbortSignal): Promise<WorkResult> {
    lastId += 1;
    const id = lastId;
    return new Promise((resolve) => {
      const onAbort = () => {
        link.send({ kind: "cancel", id });
        sentRequests.get(id)?.bodySender.stop();
        sentRequests
          .get(id)
          ?.answerReceiver?.abort(new PeerError("request cancelled", { props: { step: "forward" } }));
        sentRequests.delete(id);
        resolve(createFailure(RefusalReason.CallerGone));
      };
      const settle = (result: WorkResult) => {
        resolve(result);
      };
      const bodySender = createBodySender({
        sendChunk: (chunk, isLast) => {
          link.send({ kind: "requestBody", id, chunk, isLast });
        },
        sendAborted: () => {
          link.send({ kind: "requestAborted", id });
        },
      });
      sentRequests.set(id, { settle, bodySender, answerReceiver: undefined });
      signal.addEventListener("abort", onAbort, { once: true });
      link.send({ kind: "request", id, work, body: findBufferedContent(body) });
      if (body.kind === "stream") {
        void bodySender.send(body.stream);
      }
      if (signal.aborted) {
        onAbort();
      }
    });
  }

  function handleMessage(message: WorkMessage): void {
    switch (message.kind) {
      case "request":
        void handleRequest(message);
        break;
      case "requestBody":
        receivedRequests.get(message.id)?.bodyReceiver?.push(message.chunk, message.isLast);
        break;
      case "requestCredit":
        sentRequests.get(message.id)?.bodySender.addCredit(message.bytes);
        break;
      case "requestAborted":
        receivedRequests
          .get(message.id)
          ?.bodyReceiver?.abort(
            new PeerError("request body aborted by the peer", { props: { step: "receive" } }),
          );
        break;
      case "cancel":
        receivedRequests.get(message.id)?.answerSender.stop();
        receivedRequests.get(message.id)?.abortController.abort();
        break;
      case "answer":
        handleAnswer(message);
        break;
      case "failure":
        finishSent(message.id, { kind: "failure", failure: message.failure });
        break;
      case "answerBody":
        sentRequests.get(message.id)?.answerReceiver?.push(message.chunk, message.isLast);
        break;
      case "answerCredit":
        receivedRequests.get(message.id)?.answerSender.addCredit(message.bytes);
        break;
      case "answerAborted":
        sentRequests
          .get(message.id)
          ?.answerReceiver?.abort(
            new PeerError("answer body aborted by the peer", { props: { step: "answer" } }),
          );
        break;
      default:
        message satisfies never;
    }
  }

  function handleAnswer(message: WorkMessage & { kind: "answer" }): void {
    const request = sentRequests.get(message.id);
    if (request === undefined) {
      return;
    }
    const { status, headers, load } = message;
    if (message.body !== null) {
      finishSent(message.id, {
        kind: "answer",
        answer: { status, headers, load, body: { kind: "buffer", content: message.body } },
      });
      return;
    }
    const receiver = createBodyReceiver(
      (bytes) => {
        link.send({ kind: "answerCredit", id: message.id, bytes });
      },
      () => {
        endAnswerStream(message.id);
      },
    );
    request.answerReceiver = receiver;
    request.settle({
      kind: "answer",
      answer: { status, headers, load, body: { kind: "stream", stream: receiver.stream } },
    });
  }

  /** Removes a request whose answer was read to the end or abandoned, and cancels it at the peer. */
  function endAnswerStream(id: number): void {
    if (sentRequests.delete(id)) {
      link.send({ kind: "cancel", id });
    }
  }

  function finishSent(id: number, result: WorkResult): void {
    const request = sentRequests.get(id);
    if (request === undefined) {
      return;
    }
    sentRequests.delete(id);
    request.bodySender.stop();
    request.settle(result);
  }

  async function handleRequest(message: WorkMessage & { kind: "request" }): Promise<void> {
    const { id, work } = message;
    const abortController = new AbortController();
    const bodyReceiver = message.body === null ? createRequestReceiver(id) : undefined;
    const answerSender = createAnswerSender(id);
    receivedRequests.set(id, { abortController, answerSender, bodyReceiver });
    const body: Body =
      bodyReceiver === undefined
        ? { kind: "buffer", content: message.body ?? new Uint8Array(0) }
        : { kind: "stream", stream: bodyReceiver.stream };
    const result = await handleWork(work, body, abortController.signal);
    if (result.kind === "failure") {
      link.send({ kind: "failure", id, failure: result.failure });
    } else {
      await sendAnswer(id, result.answer, answerSender);
    }
    receivedRequests.delete(id);
    bodyReceiver?.stream.destroy();
  }

  async function sendAnswer(id: number, answer: WorkAnswer, sender: BodySender): Promise<void> {
    const { status, headers, load } = answer;
    link.send({ kind: "answer", id, status, headers, load, body: findBufferedContent(answer.body) });
    if (answer.body.kind === "stream") {
      await sender.send(answer.body.stream);
    }
  }

  function createRequestReceiver(id: number): BodyReceiver {
    return createBodyReceiver(
      (bytes) => {
        link.send({ kind: "requestCredit", id, bytes });
      },
      () => undefined,
    );
  }

  function createAnswerSender(id: number): BodySender {
    return createBodySender({
      sendChunk: (chunk, isLast) => {
        link.send({ kind: "answerBody", id, chunk, isLast });
      },
      sendAborted: () => {
        link.send({ kind: "answerAborted", id });
      },
    });
  }

  function failAll(): void {
    const error = new PeerError("peer connection lost", {
      props: { step: "forward", peer: link.remote.daemon },
    });
    for (const [id, request] of sentRequests) {
      request.answerReceiver?.abort(error);
      finishSent(id, createFailure(RefusalReason.PeerConnectionLost));
    }
    for (const request of receivedRequests.values()) {
      request.bodyReceiver?.abort(error);
      request.answerSender.stop();
      request.abortController.abort();
    }
  }

  function createFailure(reason: RefusalReason): WorkResult {
    const failure: Failure = { outcome: Outcome.Unknown, reason, step: "forward", peer: link.remote.daemon };
    return { kind: "failure", failure };
  }
}
