/** Tracks pending acknowledgements of pings. */
import type { Clock } from "../types";

/** Pending acknowledgements, by the sequence number of the ping. */
export interface AckTracker {
  /** Calls `onTimeout` unless the ping is acknowledged in time. */
  notifyOnTimeout(sequence: number, timeoutMs: number, onTimeout: () => void): void;
  /** Calls `onAck` if the ping is acknowledged in time. */
  notifyOnAck(sequence: number, timeoutMs: number, onAck: () => void): void;
  /** Handles a received acknowledgement. */
  receive(sequence: number): void;
}

/**
 * Creates an acknowledgement tracker.
 *
 * @param clock - Clock that schedules the timeouts.
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
