/** Resets a connection, so that the other side cannot take its end for a regular one. */
import type { Socket } from "node:net";

/**
 * Resets a connection at once and drops what is not written yet.
 *
 * @param socket - The connection; nothing happens when it is closed already.
 */
export function resetConnection(socket: Socket): void {
  if (!socket.destroyed) {
    // `resetAndDestroy` calls it, and would end the connection regularly first.
    socket.destroySoon = () => {
      socket.destroy();
    };
    socket.resetAndDestroy();
  }
}
