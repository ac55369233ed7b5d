/** Lets the process read what the kernel has received for it. */

/** The first turn of the event loop may end a poll that has passed a socket already. */
const TURNS = 2;

/**
 * Waits until waiting connections have been accepted and the bytes that had arrived on open ones have been read.
 *
 * @returns A promise that resolves right after the event loop has polled its sockets.
 */
export async function readArrived(): Promise<void> {
  for (let turn = 0; turn < TURNS; turn += 1) {
    await new Promise((resolve) => setImmediate(resolve));
  }
}
