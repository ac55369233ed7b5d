/** Types of single attempts at backend servers. */
import type { IncomingMessage } from "node:http";

/** Reason why a request got no answer from a backend server. */
export const RejectionReason = {
  NoServer: "no-server",
  NoOwner: "no-owner",
  OwnerUnusable: "owner-unusable",
  Overloaded: "overloaded",
  /** The service is short of capacity, which goes to more urgent requests. */
  Priority: "priority",
  Cold: "cold",
  RateLimited: "rate-limited",
  /** The server has asked this daemon to send nothing for a time that has not passed yet. */
  BackingOff: "backing-off",
  /** The server has announced that it is leaving, or operators have taken its data centre out. */
  Leaving: "leaving",
  Unreachable: "unreachable",
  Shed: "shed",
  Late: "late",
  Broken: "broken",
  Foreign: "foreign-answer",
  Unsigned: "unsigned-answer",
  /** The status of the answer is none that HTTP has. */
  InvalidStatus: "invalid-status",
  /** The answer has no length, and the close that would mark its end would lose requests sent behind it. */
  Unframed: "unframed-answer",
  Abandoned: "abandoned",
  /** This daemon is stopping, and the request may not end before its process exits. */
  Stopping: "stopping",
} as const;
export type RejectionReason = (typeof RejectionReason)[keyof typeof RejectionReason];

/** An attempt at a backend server that got no answer which could be returned to the caller. */
export type UnansweredAttempt =
  /** The server has not run the request and will not run it. */
  | { readonly kind: "notRun"; readonly reason: RejectionReason }
  /** The server may have run the request. */
  | { readonly kind: "unknown"; readonly reason: RejectionReason };

/** Body of an answer. */
export type AnswerBody =
  | { readonly kind: "whole"; readonly content: Buffer }
  /** The body had no length and ended with its connection, so it is not certain to be complete. */
  | { readonly kind: "unframed"; readonly content: Buffer }
  | StreamedBody;

/** Body of an answer of which only the beginning was received. */
export interface StreamedBody {
  readonly kind: "streamed";
  readonly head: Iterable<Buffer>;
  readonly rest: IncomingMessage;
  /** Rejects if the connection was reset, which may have cut off the end; only for a body without a length. */
  readonly confirmEnd?: () => Promise<void>;
}
