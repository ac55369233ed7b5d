/** Maps keys to slots and ranks candidates by rendezvous hashing. */
import murmurhash from "murmurhash";
import type { Slot } from "../types";

/**
 * Computes the slot of a key.
 *
 * @param key - Key of a request.
 * @param slotCount - Number of slots of the service, a power of two.
 * @returns The slot.
 */
export function computeSlot(key: string, slotCount: number): Slot {
  return murmurhash.v3(key) & (slotCount - 1);
}

/**
 * Computes the rendezvous hash of a subject and a candidate; the candidate with the highest score is elected.
 * Elections are spread evenly over the candidates, and removing one changes only the elections that it had
 * won.
 *
 * @param subject - Name of the task or server that candidates are elected for.
 * @param candidate - Name of the candidate.
 * @returns The score.
 */
export function scoreRendezvous(subject: string, candidate: string): number {
  return murmurhash.v3(`${subject}\u0000${candidate}`);
}

/**
 * Orders candidates by rendezvous score for a subject.
 *
 * @param subject - Name of the task or server that candidates are elected for.
 * @param candidates - Names of the candidates.
 * @returns The candidates, best first.
 */
export function rankCandidates(subject: string, candidates: readonly string[]): readonly string[] {
  return candidates
    .map((candidate) => ({ candidate, score: scoreRendezvous(subject, candidate) }))
    .sort((left, right) => right.score - left.score || left.candidate.localeCompare(right.candidate))
    .map((entry) => entry.candidate);
}
