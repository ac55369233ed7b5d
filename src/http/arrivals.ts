/** Lets the event loop read what has arrived before connections are closed. */

/** The first turn may end a poll that has passed a socket already; the second one polls it again. */
const QUIET_TURNS = 2;
/** More than the 511 connections that a listener of Node.js queues, of which each turn accepts one. */
const MAX_TURNS = 1024;

/**
 * Runs turns of the event loop until nothing new arrives. A timer runs before the sockets are polled, so after a
 * stall of the process it would close connections whose requests have arrived, but are not read.
 *
 * @param countArrivals - Counts what has arrived so far, for example accepted connections.
 * @returns A promise that resolves after two turns without an arrival, or after {@link MAX_TURNS} turns.
 */
export async function readArrivals(countArrivals: () => number): Promise<void> {
  let quietTurns = 0;
  for (let turn = 0; turn < MAX_TURNS && quietTurns < QUIET_TURNS; turn += 1) {
    const before = countArrivals();
    await new Promise((resolve) => setImmediate(resolve));
    quietTurns = countArrivals() === before ? quietTurns + 1 : 0;
  }
}
