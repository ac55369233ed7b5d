/** Carries requests and answers over one link, in both directions. */
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
  wholeContent,
} from "./bodyStreams";
import type { PeerLink } from "./link";
import type { PeerMessage } from "./messages";

/** Messages that belong to requests and answers. */
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

/** Requests and answers on one link. */
export interface WorkChannel {
  /** Sends a request and waits for its end. */
  forward(work: WorkRequest, body: Body, signal: AbortSignal): Promise<WorkResult>;
  /** Takes a message of the other side. */
  receive(message: WorkMessage): void;
  /** Ends everything that is open, since the link broke. */
  breakAll(): void;
}

interface SentRequest {
  readonly settle: (result: WorkResult) => void;
  readonly bodySender: BodySender;
  answerReceiver: BodyReceiver | undefined;
}

interface ReceivedRequest {
  readonly abort: AbortController;
  readonly answerSender: BodySender;
  readonly bodyReceiver: BodyReceiver | undefined;
}

/**
 * Creates the channel of a link.
 *
 * @param link - The link.
 * @param handleWork - Carries out requests of the other side.
 * @returns The channel.
 */
export function createWorkChannel(link: PeerLink, handleWork: WorkHandler): WorkChannel {
  const sent = new Map<number, SentRequest>();
  const received = new Map<number, ReceivedRequest>();
  let lastId = 0;

  return { forward, receive, breakAll };

  function forward(work: WorkRequest, body: Body, signal: AbortSignal): Promise<WorkResult> {
    lastId += 1;
    const id = lastId;
    return new Promise((resolve) => {
      const onAbort = () => {
        link.send({ kind: "cancel", id });
        sent.get(id)?.bodySender.stop();
        sent.get(id)?.answerReceiver?.abort(new PeerError("cancelled", { props: { step: "forward" } }));
        sent.delete(id);
        resolve(fail(RefusalReason.CallerGone));
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
      sent.set(id, { settle, bodySender, answerReceiver: undefined });
      signal.addEventListener("abort", onAbort, { once: true });
      link.send({ kind: "request", id, work, body: wholeContent(body) });
      if (body.kind === "stream") {
        void bodySender.send(body.stream);
      }
      if (signal.aborted) {
        onAbort();
      }
    });
  }

  function receive(message: WorkMessage): void {
    switch (message.kind) {
      case "request":
        void startReceived(message);
        break;
      case "requestBody":
        received.get(message.id)?.bodyReceiver?.push(message.chunk, message.isLast);
        break;
      case "requestCredit":
        sent.get(message.id)?.bodySender.addCredit(message.bytes);
        break;
      case "requestAborted":
        received
          .get(message.id)
          ?.bodyReceiver?.abort(new PeerError("request broken", { props: { step: "receive" } }));
        break;
      case "cancel":
        received.get(message.id)?.answerSender.stop();
        received.get(message.id)?.abort.abort();
        break;
      case "answer":
        takeAnswer(message);
        break;
      case "failure":
        finishSent(message.id, { kind: "failure", failure: message.failure });
        break;
      case "answerBody":
        sent.get(message.id)?.answerReceiver?.push(message.chunk, message.isLast);
        break;
      case "answerCredit":
        received.get(message.id)?.answerSender.addCredit(message.bytes);
        break;
      case "answerAborted":
        sent
          .get(message.id)
          ?.answerReceiver?.abort(new PeerError("answer broken", { props: { step: "answer" } }));
        break;
      default:
        message satisfies never;
    }
  }

  function takeAnswer(message: WorkMessage & { kind: "answer" }): void {
    const request = sent.get(message.id);
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

  /** The reader has all of the answer, or has left it. */
  function endAnswerStream(id: number): void {
    if (sent.delete(id)) {
      link.send({ kind: "cancel", id });
    }
  }

  function finishSent(id: number, result: WorkResult): void {
    const request = sent.get(id);
    if (request === undefined) {
      return;
    }
    sent.delete(id);
    request.bodySender.stop();
    request.settle(result);
  }

  async function startReceived(message: WorkMessage & { kind: "request" }): Promise<void> {
    const { id, work } = message;
    const abort = new AbortController();
    const bodyReceiver = message.body === null ? createRequestReceiver(id) : undefined;
    const answerSender = createAnswerSender(id);
    received.set(id, { abort, answerSender, bodyReceiver });
    const body: Body =
      bodyReceiver === undefined
        ? { kind: "buffer", content: message.body ?? new Uint8Array(0) }
        : { kind: "stream", stream: bodyReceiver.stream };
    const result = await handleWork(work, body, abort.signal);
    if (result.kind === "failure") {
      link.send({ kind: "failure", id, failure: result.failure });
    } else {
      await sendAnswer(id, result.answer, answerSender);
    }
    received.delete(id);
    bodyReceiver?.stream.destroy();
  }

  async function sendAnswer(id: number, answer: WorkAnswer, sender: BodySender): Promise<void> {
    const { status, headers, load } = answer;
    link.send({ kind: "answer", id, status, headers, load, body: wholeContent(answer.body) });
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

  function breakAll(): void {
    const broken = new PeerError("peer connection lost", {
      props: { step: "forward", peer: link.remote.daemon },
    });
    for (const [id, request] of sent) {
      request.answerReceiver?.abort(broken);
      finishSent(id, fail(RefusalReason.PeerConnectionLost));
    }
    for (const request of received.values()) {
      request.bodyReceiver?.abort(broken);
      request.answerSender.stop();
      request.abort.abort();
    }
  }

  function fail(reason: RefusalReason): WorkResult {
    const failure: Failure = { outcome: Outcome.Unknown, reason, step: "forward", peer: link.remote.daemon };
    return { kind: "failure", failure };
  }
}
