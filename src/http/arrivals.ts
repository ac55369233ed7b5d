/** Lets the event loop read what has arrived before connections are closed. */
import type { Server } from "node:net";

/** The first turn of the event loop may end a poll that has passed a socket already; the second one polls it again. */
const QUIET_TURNS = 2;
/** More than the 511 connections that a listener of Node.js queues, of which each turn accepts one. */
const MAX_TURNS = 1024;

/**
 * Waits until the bytes that had arrived on open connections have been read. A timer runs before the sockets are
 * polled, so after a pause of the process it knows nothing of what has come in the meantime.
 *
 * @returns A promise that resolves right after the event loop has polled its sockets.
 */
export async function readArrived(): Promise<void> {
  await readArrivals(() => 0);
}

/**
 * Runs turns of the event loop until nothing new arrives.
 *
 * @param countArrivals - Counts what has arrived so far, for example accepted connections.
 * @param mayContinue - Returns whether another turn may be run.
 * @returns A promise that resolves after two turns without an arrival, after {@link MAX_TURNS} turns, or when no
 * further turn may be run.
 */
export async function readArrivals(
  countArrivals: () => number,
  mayContinue: () => boolean = () => true,
): Promise<void> {
  let quietTurns = 0;
  for (let turn = 0; turn < MAX_TURNS && quietTurns < QUIET_TURNS && mayContinue(); turn += 1) {
    const before = countArrivals();
    await new Promise((resolve) => setImmediate(resolve));
    quietTurns = countArrivals() === before ? quietTurns + 1 : 0;
  }
}

/**
 * Accepts the connections that wait for it.
 *
 * @param server - The listener.
 * @param mayContinue - Returns whether further connections may be accepted.
 * @returns A promise that resolves once none waits, as many as can wait have been accepted, or no more may be accepted.
 */
export async function acceptArrived(server: Server, mayContinue: () => boolean): Promise<void> {
  let acceptedCount = 0;
  const count = () => {
    acceptedCount += 1;
  };
  server.on("connection", count);
  await readArrivals(() => acceptedCount, mayContinue);
  server.removeListener("connection", count);
}
