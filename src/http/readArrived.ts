/** Lets the process read what the kernel has received for it. */
import type { Server } from "node:net";

/** The first turn of the event loop may end a poll that has passed a socket already. */
const TURNS = 2;
/** Maximum connections that wait to be accepted: the default backlog of Node.js. */
const MAX_WAITING_CONNECTIONS = 511;

/**
 * Waits until a waiting connection has been accepted and the bytes that had arrived on open ones have been read.
 *
 * @returns A promise that resolves right after the event loop has polled its sockets.
 */
export async function readArrived(): Promise<void> {
  for (let turn = 0; turn < TURNS; turn += 1) {
    await new Promise((resolve) => setImmediate(resolve));
  }
}

/**
 * Accepts the connections that wait. Node.js accepts only one in each turn of the event loop.
 *
 * @param server - Server that listens.
 * @returns A promise that resolves once none waits, or as many as can wait have been accepted.
 */
export async function acceptArrived(server: Server): Promise<void> {
  let acceptedCount = 0;
  const count = () => {
    acceptedCount += 1;
  };
  server.on("connection", count);
  let acceptedBefore: number;
  do {
    acceptedBefore = acceptedCount;
    await readArrived();
  } while (acceptedCount > acceptedBefore && acceptedCount < MAX_WAITING_CONNECTIONS);
  server.removeListener("connection", count);
}
