/**
 * Control exchanges of a leaseholder with its backend server: one kind for fenced servers, one for unfenced
 * ones.
 */
import type { SlotEpoch } from "../assignments";
import { describeError } from "../errors";
import type { Clock, Epoch, Generation, Slot } from "../types";
import type { LeaseAnswer, ServerControl, ServerReport } from "./types";

/** Time for which a grant is valid, by the server's clock. */
export const GRANT_VALIDITY_MS = 800;
/**
 * The sequence numbers of a session start at its local start time in milliseconds times this factor, so that
 * a later session of the same process starts above all sequence numbers of an earlier one.
 */
const SEQUENCES_PER_MS = 1000;
/** Upper bound on the relative difference between the rates of two clocks. */
const MAX_CLOCK_DRIFT = 0.01;
/** Maximum delay with which a server enforces a deadline. */
const DEADLINE_MARGIN_MS = 250;

/** Result of one control exchange. */
export type ExchangeResult =
  | {
      readonly kind: "reached";
      readonly report: ServerReport;
      /** Whether the server's process is another one than at the last exchange. */
      readonly hasRestarted: boolean;
      /** Whether not all desired slots are granted yet, so that another exchange is due at once. */
      readonly isIncomplete: boolean;
    }
  | { readonly kind: "fenced"; readonly generation: Generation }
  | { readonly kind: "unreached"; readonly error: string };

/** Control exchanges with one server under one lease. */
export interface ServerSession {
  /** Renews the lease of a fenced server, or probes an unfenced one. */
  exchange(): Promise<ExchangeResult>;
  /**
   * Finds the epoch under which requests for a slot may be sent now; undefined when the server has no grant
   * for it.
   */
  findEpochToSend(slot: Slot): Epoch | undefined;
  /** Records a request that was sent and whose end is not known. */
  recordUnresolved(slot: Slot | undefined, deadlineAt: number): void;
  /** Revokes slots that have no requests in flight. Returns those on which work has provably stopped. */
  revoke(slots: readonly Slot[]): Promise<readonly Slot[]>;
  /**
   * Returns whether all work has provably stopped. Call it while the server is unreachable and nothing is
   * sent.
   */
  hasProvablyStopped(): Promise<boolean>;
}

/** Options for {@link createFencedSession}. */
export interface FencedSessionOptions {
  readonly control: ServerControl;
  readonly clock: Clock;
  readonly generation: Generation;
  /** Returns the slots that the server should own now. */
  readonly desiredSlots: () => readonly SlotEpoch[];
  /**
   * Finds the time on the local clock by which all earlier leaseholders had stopped: undefined without
   * evidence, minus infinity when there are none.
   */
  readonly findPredecessorsStoppedAt: () => Promise<number | undefined>;
}

/**
 * Creates the session of a fenced server. Each renewal states its end on the server's own clock, computed
 * from the server's last answer, so that a renewal that arrives late does not extend the grants.
 *
 * @param options - The lease and its dependencies.
 * @returns The session.
 */
export function createFencedSession(options: FencedSessionOptions): ServerSession {
  const { control, clock, generation } = options;
  const granted = new Map<Slot, Epoch>();
  let bootId: string | null = null;
  let lapses = 0;
  let sequence = Math.floor(clock.now() * SEQUENCES_PER_MS);
  let clockSample: { readonly clockMs: number; readonly receivedAt: number } | undefined;
  /** Local time by which the grants of every renewal sent by this session have expired. */
  let allGrantsExpiredAt = Number.NEGATIVE_INFINITY;

  return {
    exchange: async () => {
      const desired = options.desiredSlots();
      const grant = desired.filter(({ slot, epoch }) => granted.get(slot) !== epoch);
      try {
        const answer = await send(grant, []);
        return answer.kind === "fenced" ? answer : applyAnswer(answer, grant, desired.length);
      } catch (error) {
        return { kind: "unreached", error: describeError(error) };
      }
    },
    findEpochToSend: (slot) => granted.get(slot),
    recordUnresolved: () => undefined,
    revoke: async (slots) => {
      for (const slot of slots) {
        granted.delete(slot);
      }
      try {
        const answer = await send([], slots);
        return answer.kind === "fenced" ? [] : slots.filter((slot) => !answer.stillRunning.includes(slot));
      } catch {
        return [];
      }
    },
    hasProvablyStopped: async () => {
      // A server that has answered under this generation refuses calls of the earlier leaseholders.
      const hasAnswered = bootId !== null;
      const stoppedAt = hasAnswered ? Number.NEGATIVE_INFINITY : await options.findPredecessorsStoppedAt();
      if (stoppedAt === undefined) {
        return false;
      }
      const hasExpired = clock.now() > Math.max(allGrantsExpiredAt, stoppedAt + computeMaxValidityMs());
      if (hasExpired) {
        granted.clear();
      }
      return hasExpired;
    },
  };

  function send(grant: readonly SlotEpoch[], revoke: readonly Slot[]): Promise<LeaseAnswer> {
    const validUntilMs = clockSample === undefined ? 0 : clockSample.clockMs + GRANT_VALIDITY_MS;
    if (clockSample !== undefined) {
      allGrantsExpiredAt = Math.max(allGrantsExpiredAt, clockSample.receivedAt + computeMaxValidityMs());
    }
    sequence += 1;
    return control.lease({ generation, sequence, bootId, validUntilMs, grant, revoke });
  }

  function applyAnswer(
    answer: LeaseAnswer & { kind: "accepted" },
    grant: readonly SlotEpoch[],
    desiredCount: number,
  ): ExchangeResult {
    const { report } = answer;
    const isSameBoot = bootId === report.bootId;
    const hasRestarted = bootId !== null && !isSameBoot;
    if (!isSameBoot || lapses !== answer.lapses) {
      // The process is another one, or has dropped all grants because the lease had expired.
      granted.clear();
    } else {
      for (const { slot, epoch } of grant) {
        granted.set(slot, epoch);
      }
    }
    bootId = report.bootId;
    lapses = answer.lapses;
    clockSample = { clockMs: report.clockMs, receivedAt: clock.now() };
    return { kind: "reached", report, hasRestarted, isIncomplete: granted.size < desiredCount };
  }
}

/** Options for {@link createUnfencedSession}. */
export interface UnfencedSessionOptions {
  readonly control: ServerControl;
  readonly clock: Clock;
  readonly desiredSlots: () => readonly SlotEpoch[];
  /** Time for which requests of an earlier leaseholder may still run, in milliseconds; 0 without one. */
  readonly predecessorDeadlineMs: number;
  /** Returns the number of requests in flight of this leaseholder. */
  readonly inFlight: () => number;
  /** Returns whether an operator declared the server stopped under this generation. */
  readonly isDeclaredStopped: () => boolean;
}

interface UnresolvedRequest {
  /** Slot of the request; undefined when it may concern any slot. */
  readonly slot: Slot | undefined;
  /** Local time by which a running server has enforced the deadline. */
  readonly endsAt: number;
}

/**
 * Creates the session of an unfenced server, which checks no grants. The leaseholder is its only sender, so
 * nothing runs there once each request has ended or, at a server that answers, has passed its deadline.
 *
 * @param options - The lease and its dependencies.
 * @returns The session.
 */
export function createUnfencedSession(options: UnfencedSessionOptions): ServerSession {
  const { control, clock } = options;
  let unresolved: readonly UnresolvedRequest[] = [];
  let bootId: string | null = null;
  if (options.predecessorDeadlineMs > 0) {
    recordUnresolved(undefined, clock.now() + options.predecessorDeadlineMs);
  }

  return {
    exchange: async () => {
      const sentAt = clock.now();
      try {
        const report = await control.health();
        const hasRestarted = bootId !== null && bootId !== report.bootId;
        bootId = report.bootId;
        unresolved = hasRestarted ? [] : unresolved.filter((request) => request.endsAt > sentAt);
        return { kind: "reached", report, hasRestarted, isIncomplete: false };
      } catch (error) {
        return { kind: "unreached", error: describeError(error) };
      }
    },
    findEpochToSend: (slot) => options.desiredSlots().find((desired) => desired.slot === slot)?.epoch,
    recordUnresolved,
    revoke: (slots) =>
      Promise.resolve(slots.filter((slot) => !unresolved.some((request) => isForSlot(request, slot)))),
    hasProvablyStopped: async () => {
      const isStopped = options.isDeclaredStopped() || (await control.refusesConnections());
      if (isStopped) {
        unresolved = [];
      }
      return isStopped || (unresolved.length === 0 && options.inFlight() === 0);
    },
  };

  function recordUnresolved(slot: Slot | undefined, deadlineAt: number): void {
    unresolved = [...unresolved, { slot, endsAt: deadlineAt + DEADLINE_MARGIN_MS }];
  }
}

function isForSlot(request: UnresolvedRequest, slot: Slot): boolean {
  return request.slot === undefined || request.slot === slot;
}

function computeMaxValidityMs(): number {
  return GRANT_VALIDITY_MS * (1 + MAX_CLOCK_DRIFT);
}
