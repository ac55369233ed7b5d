/** Remembers which requests this leaseholder has seen, so that each runs at most once. */
import type { Clock, WorkRequest, WorkResult } from "../types";

const RETENTION_MS = 120_000;
const MAX_ENTRIES = 200_000;
const MAX_REPLAYABLE_ANSWER_BYTES = 16 * 1024;
const PURGE_BATCH_SIZE = 64;

/** How a repeated request is to be treated. */
export type IdempotencyKeyState =
  | { readonly kind: "first" }
  /** The same request is being carried out. */
  | { readonly kind: "running" }
  /** It has ended; its end is known. */
  | { readonly kind: "ended"; readonly result: WorkResult };

/** Requests seen by this leaseholder. */
export interface WorkRegistry {
  /** Takes note of an attempt. Returns false when it was asked for, or seen, before: it must not run then. */
  admitAttempt(workId: string): boolean;
  /** Whether an attempt was seen. One that was not is refused from now on. */
  blockUnlessSeen(workId: string): boolean;
  /** Looks up a caller's idempotency key. After "first" call `finish`. */
  begin(work: WorkRequest): IdempotencyKeyState;
  /** Takes note of the end of a request with an idempotency key. */
  finish(work: WorkRequest, result: WorkResult): void;
}

interface KeyedRequest {
  readonly result: WorkResult | undefined;
  readonly recordedAt: number;
}

/**
 * Creates an empty registry.
 *
 * @param clock - Clock of the entries' age.
 * @returns The registry.
 */
export function createWorkRegistry(clock: Clock): WorkRegistry {
  /** Insertion order is order of age. */
  const attempts = new Map<string, number>();
  const keyed = new Map<string, KeyedRequest>();

  return {
    admitAttempt: (workId) => !recordAttempt(workId),
    blockUnlessSeen: (workId) => recordAttempt(workId),
    begin: (work) => {
      purge(keyed, (entry) => entry.recordedAt);
      const registryKey = getRegistryKey(work);
      const existing = keyed.get(registryKey);
      if (existing === undefined) {
        keyed.set(registryKey, { result: undefined, recordedAt: clock.now() });
        return { kind: "first" };
      }
      return existing.result === undefined ? { kind: "running" } : { kind: "ended", result: existing.result };
    },
    finish: (work, result) => {
      const registryKey = getRegistryKey(work);
      keyed.delete(registryKey);
      if (hasPossiblyRun(result)) {
        keyed.set(registryKey, { result, recordedAt: clock.now() });
      }
    },
  };

  /** Returns whether the attempt was known. */
  function recordAttempt(workId: string): boolean {
    purge(attempts, (at) => at);
    if (attempts.has(workId)) {
      return true;
    }
    attempts.set(workId, clock.now());
    return false;
  }

  function purge<Entry>(entries: Map<string, Entry>, getRecordedAt: (entry: Entry) => number): void {
    let removedCount = 0;
    for (const [name, entry] of entries) {
      const isExpired = clock.now() - getRecordedAt(entry) > RETENTION_MS;
      if ((!isExpired && entries.size <= MAX_ENTRIES) || removedCount >= PURGE_BATCH_SIZE) {
        return;
      }
      entries.delete(name);
      removedCount += 1;
    }
  }
}

/** A request that certainly did not run may be sent again under the same key. */
function hasPossiblyRun(result: WorkResult): boolean {
  return result.kind === "answer" || result.failure.outcome !== "not-run";
}

function getRegistryKey(work: WorkRequest): string {
  return JSON.stringify([work.service, work.key, work.idempotencyKey]);
}

/**
 * Tells whether an answer is small enough to be kept for repeated requests.
 *
 * @param result - The result.
 * @returns True when it can be replayed.
 */
export function isReplayable(result: WorkResult): boolean {
  return (
    result.kind === "failure" ||
    (result.answer.body.kind === "buffer" &&
      result.answer.body.content.byteLength <= MAX_REPLAYABLE_ANSWER_BYTES)
  );
}
