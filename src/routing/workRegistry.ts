/** Records which requests this leaseholder has seen, so that each runs at most once. */
import type { Clock, WorkRequest, WorkResult } from "../types";

const RETENTION_MS = 120_000;
const MAX_ENTRIES = 200_000;
const MAX_REPLAYABLE_ANSWER_BYTES = 16 * 1024;
const PURGE_BATCH_SIZE = 64;

/** State of an idempotency key that a caller sent. */
export type IdempotencyKeyState =
  /** No request with this key is recorded. */
  | { readonly kind: "first" }
  /** A request with this key is being executed. */
  | { readonly kind: "running" }
  /** A request with this key has ended, with this result. */
  | { readonly kind: "ended"; readonly result: WorkResult };

/** Record of the requests that this leaseholder has seen. */
export interface WorkRegistry {
  /** Records an attempt. Returns false if it was seen or queried before; then it must not run. */
  admitAttempt(workId: string): boolean;
  /** Returns whether an attempt was seen; one that was not is recorded, so it is refused from then on. */
  blockUnlessSeen(workId: string): boolean;
  /** Looks up the idempotency key of a request and records a new one. After `first`, call `finish`. */
  begin(work: WorkRequest): IdempotencyKeyState;
  /** Records the result of a request with an idempotency key. */
  finish(work: WorkRequest, result: WorkResult): void;
}

interface KeyedRequest {
  readonly result: WorkResult | undefined;
  readonly recordedAt: number;
}

/**
 * Creates an empty registry.
 *
 * @param clock - Clock by which entries expire.
 * @returns The registry.
 */
export function createWorkRegistry(clock: Clock): WorkRegistry {
  /** In insertion order, so the oldest entries come first. */
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

  /** Records an attempt and returns whether it was recorded before. */
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

/** Returns whether a request may have run. One that certainly did not may be repeated with the same key. */
function hasPossiblyRun(result: WorkResult): boolean {
  return result.kind === "answer" || result.failure.outcome !== "not-run";
}

function getRegistryKey(work: WorkRequest): string {
  return JSON.stringify([work.service, work.key, work.idempotencyKey]);
}

/**
 * Returns whether a result can be kept for repeated requests: a failure, or an answer that is small enough.
 *
 * @param result - The result.
 * @returns True if the result can be replayed.
 */
export function isReplayable(result: WorkResult): boolean {
  return (
    result.kind === "failure" ||
    (result.answer.body.kind === "buffer" &&
      result.answer.body.content.byteLength <= MAX_REPLAYABLE_ANSWER_BYTES)
  );
}
