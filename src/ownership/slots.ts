/** Maps keys to slots. */
import murmurhash from "murmurhash";
import type { Slot } from "../types";

/**
 * Computes the slot of a key.
 *
 * @param key - The key.
 * @param slotCount - Number of slots of the service, a power of two.
 * @returns The slot.
 */
export function computeSlot(key: string, slotCount: number): Slot {
  return murmurhash.v3(key) & (slotCount - 1);
}

/**
 * Scores a pair of names; the highest score wins an election. Each name wins its fair share, and
 * a name that leaves changes only the elections it had won.
 *
 * @param subject - What is elected for.
 * @param candidate - The candidate.
 * @returns The score.
 */
export function scoreRendezvous(subject: string, candidate: string): number {
  return murmurhash.v3(`${subject}\u0000${candidate}`);
}

/**
 * Orders candidates by rendezvous score for a subject.
 *
 * @param subject - What is elected for.
 * @param candidates - Names of the candidates.
 * @returns The candidates, best first.
 */
export function rankCandidates(subject: string, candidates: readonly string[]): readonly string[] {
  return candidates
    .map((candidate) => ({ candidate, score: scoreRendezvous(subject, candidate) }))
    .sort((left, right) => right.score - left.score || left.candidate.localeCompare(right.candidate))
    .map((entry) => entry.candidate);
}
