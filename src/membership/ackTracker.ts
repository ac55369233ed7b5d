/** Waits for answers to pings. */
import type { Clock } from "../types";

/** Answers that are awaited, by the sequence number of the ping. */
export interface AckTracker {
  /** Calls `onMissing` unless an answer comes in time. */
  notifyOnTimeout(sequence: number, timeoutMs: number, onTimeout: () => void): void;
  /** Calls `onAck` if an answer comes in time. */
  notifyOnAck(sequence: number, timeoutMs: number, onAck: () => void): void;
  /** Takes an answer. */
  receive(sequence: number): void;
}

/**
 * Creates a tracker.
 *
 * @param clock - Clock of the timeouts.
 * @returns The tracker.
 */
export function createAckTracker(clock: Clock): AckTracker {
  const pending = new Map<number, () => void>();

  return {
    notifyOnTimeout: (sequence, timeoutMs, onTimeout) => {
      const cancel = clock.schedule(timeoutMs, () => {
        pending.delete(sequence);
        onTimeout();
      });
      pending.set(sequence, cancel);
    },
    notifyOnAck: (sequence, timeoutMs, onAck) => {
      pending.set(sequence, onAck);
      clock.schedule(timeoutMs, () => {
        pending.delete(sequence);
      });
    },
    receive: (sequence) => {
      const finish = pending.get(sequence);
      pending.delete(sequence);
      finish?.();
    },
  };
}
