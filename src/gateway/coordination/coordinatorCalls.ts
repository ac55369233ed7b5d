/** Calls from a daemon to the coordinator by datagrams, for permits of limits that all daemons share. */
import { z } from "zod";
import { type DatagramChannel, addressSchema } from "../../membership";
import { Event, type Logger } from "../../observability";
import { type Address, type Clock, formatAddress } from "../../types";

/** Several round trips between data centres; a request is not kept waiting longer for a permit. */
export const REPLY_TIMEOUT_MS = 50;
/** A call without a reply is sent again at this interval: some datagrams are lost on every network. */
const REPEAT_INTERVAL_MS = 20;
/** The coordinator repeats its answer to a call that it has answered within this time, and computes none. */
const ANSWER_RETENTION_MS = 200;
/**
 * The coordinator counts as silent when no call has been answered for this time. A single call may get no reply because
 * large answers fill the link of a small VM for some 100 ms.
 */
const SILENCE_MS = 300;
/** A silent coordinator is not called for this time. */
export const SILENCE_PAUSE_MS = 500;

/** What the calls need from the daemon. */
export interface CoordinatorAccess {
  readonly channel: DatagramChannel;
  /** Address at which this daemon receives replies. */
  readonly address: Address;
  readonly isCoordinator: () => boolean;
  /** Returns the coordinator's address; undefined while it is not known. */
  readonly findCoordinator: () => Address | undefined;
  readonly clock: Clock;
  readonly logger: Logger;
}

/** Options for {@link createCoordinatorCalls}. */
export interface CoordinatorCallsOptions<Question, Answer> extends CoordinatorAccess {
  /** Identifies the messages of these calls. */
  readonly name: string;
  readonly questionSchema: z.ZodType<Question>;
  readonly answerSchema: z.ZodType<Answer>;
  /** Time within which a reply is waited for; {@link REPLY_TIMEOUT_MS} unless set. */
  readonly timeoutMs?: number;
  /** Answers a call of another daemon. Called only on the coordinator. */
  readonly answer: (question: Question) => Answer;
}

/** Calls to the coordinator. */
export interface CoordinatorCalls<Question, Answer> {
  /** Returns whether there is a coordinator to call that has not just failed to answer. */
  canCall(): boolean;
  /**
   * Calls the coordinator.
   *
   * @param question - Content of the call.
   * @param subject - What the call is about, for the log.
   * @returns The answer; undefined when none came in time.
   */
  call(question: Question, subject: Readonly<Record<string, string>>): Promise<Answer | undefined>;
}

/**
 * Creates the calls of one daemon, which answers other daemons while it is the coordinator.
 *
 * @param options - Messages, and access to the coordinator.
 * @returns The calls.
 */
export function createCoordinatorCalls<Question extends object, Answer extends object>(
  options: CoordinatorCallsOptions<Question, Answer>,
): CoordinatorCalls<Question, Answer> {
  const { channel, clock, timeoutMs = REPLY_TIMEOUT_MS } = options;
  const requestKind = `${options.name}Request`;
  const replyKind = `${options.name}Reply`;
  const pending = new Map<number, (answer: Answer) => void>();
  /** Latest answers of this daemon as coordinator, the oldest first, by caller and call. */
  const answered = new Map<string, { readonly answer: Answer; readonly at: number }>();
  let lastId = 0;
  /** Start of the first call that got no reply since the last one that did; undefined when there is none. */
  let unansweredSince: number | undefined;
  let silentUntil = Number.NEGATIVE_INFINITY;
  const requestSchema = z.object({ id: z.int(), address: addressSchema }).and(options.questionSchema);
  const replySchema = z.object({ id: z.int() }).and(options.answerSchema);

  channel.receive(requestKind, requestSchema, (request) => {
    if (options.isCoordinator()) {
      channel.send(request.address, replyKind, { id: request.id, ...answerOnce(request) });
    }
  });
  channel.receive(replyKind, replySchema, (reply) => {
    unansweredSince = undefined;
    pending.get(reply.id)?.(reply);
  });

  return {
    canCall: () => options.findCoordinator() !== undefined && clock.now() >= silentUntil,
    call: (question, subject) => {
      const coordinator = options.findCoordinator();
      if (coordinator === undefined) {
        return Promise.resolve(undefined);
      }
      lastId += 1;
      const id = lastId;
      return new Promise((resolve) => {
        const settle = (answer: Answer | undefined) => {
          cancel();
          cancelRepeat();
          pending.delete(id);
          resolve(answer);
        };
        const send = () => {
          channel.send(coordinator, requestKind, { id, address: options.address, ...question });
        };
        const startedAt = clock.now();
        let cancelRepeat = clock.schedule(REPEAT_INTERVAL_MS, repeat);
        function repeat(): void {
          send();
          cancelRepeat = clock.schedule(REPEAT_INTERVAL_MS, repeat);
        }
        const cancel = clock.schedule(timeoutMs, () => {
          unansweredSince ??= startedAt;
          if (clock.now() - unansweredSince >= SILENCE_MS) {
            silentUntil = clock.now() + SILENCE_PAUSE_MS;
          }
          options.logger.log(Event.PermitReplyMissing, { ...subject, coordinator: coordinator.host });
          settle(undefined);
        });
        pending.set(id, settle);
        send();
      });
    },
  };

  function answerOnce(request: z.output<typeof requestSchema>): Answer {
    const now = clock.now();
    for (const [call, { at }] of answered) {
      if (now - at < ANSWER_RETENTION_MS) {
        break;
      }
      answered.delete(call);
    }
    const call = `${formatAddress(request.address)}/${request.id}`;
    const answer = answered.get(call)?.answer ?? options.answer(request);
    answered.set(call, { answer, at: now });
    return answer;
  }
}

/** Keeps state to one term as coordinator: what an earlier term has left must not be used again. */
export interface CoordinatorTerm {
  /** Resets the state unless it belongs to the present term; to be called before each use. */
  ensureCurrent(): void;
  /** Notices the end of a term; to be called periodically. */
  update(): void;
}

/**
 * Creates the check of terms.
 *
 * @param isCoordinator - Returns whether this daemon is the coordinator.
 * @param reset - Empties the state.
 * @returns The check.
 */
export function createCoordinatorTerm(isCoordinator: () => boolean, reset: () => void): CoordinatorTerm {
  let isCurrent = false;
  return {
    ensureCurrent: () => {
      if (!isCurrent) {
        reset();
        isCurrent = true;
      }
    },
    update: () => {
      isCurrent &&= isCoordinator();
    },
  };
}
