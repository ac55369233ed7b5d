/** Remembers which requests this leaseholder has seen, so that each runs at most once. */
import type { Clock, WorkRequest, WorkResult } from "../types";

const KEPT_MS = 120_000;
const MAX_ENTRIES = 200_000;
const MAX_KEPT_ANSWER_BYTES = 16 * 1024;
const PURGE_BATCH = 64;

/** How a repeated request is to be treated. */
export type Repetition =
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
  wasSeen(workId: string): boolean;
  /** Looks up a caller's idempotency key. After "first" call `finish`. */
  begin(work: WorkRequest): Repetition;
  /** Takes note of the end of a request with an idempotency key. */
  finish(work: WorkRequest, result: WorkResult): void;
}

interface KeyedRequest {
  readonly result: WorkResult | undefined;
  readonly at: number;
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
    admitAttempt: (workId) => !record(workId),
    wasSeen: (workId) => record(workId),
    begin: (work) => {
      purge(keyed, (entry) => entry.at);
      const name = nameOf(work);
      const known = keyed.get(name);
      if (known === undefined) {
        keyed.set(name, { result: undefined, at: clock.now() });
        return { kind: "first" };
      }
      return known.result === undefined ? { kind: "running" } : { kind: "ended", result: known.result };
    },
    finish: (work, result) => {
      const name = nameOf(work);
      keyed.delete(name);
      if (mustRemember(result)) {
        keyed.set(name, { result, at: clock.now() });
      }
    },
  };

  /** Returns whether the attempt was known. */
  function record(workId: string): boolean {
    purge(attempts, (at) => at);
    if (attempts.has(workId)) {
      return true;
    }
    attempts.set(workId, clock.now());
    return false;
  }

  function purge<Entry>(entries: Map<string, Entry>, ageOf: (entry: Entry) => number): void {
    let inspected = 0;
    for (const [name, entry] of entries) {
      const isOld = clock.now() - ageOf(entry) > KEPT_MS;
      if ((!isOld && entries.size <= MAX_ENTRIES) || inspected >= PURGE_BATCH) {
        return;
      }
      entries.delete(name);
      inspected += 1;
    }
  }
}

/** A request that certainly did not run may be sent again under the same key. */
function mustRemember(result: WorkResult): boolean {
  return result.kind === "answer" || result.failure.outcome !== "not-run";
}

function nameOf(work: WorkRequest): string {
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
    (result.answer.body.kind === "buffer" && result.answer.body.content.byteLength <= MAX_KEPT_ANSWER_BYTES)
  );
}
