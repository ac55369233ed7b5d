/** Helpers shared by the HTTP servers of a daemon. */
import type { Server } from "node:http";
import type { Address } from "../types";

export * from "./answerFraming";
export * from "./answerStatus";
export * from "./arrivals";
export * from "./callerWatch";
export * from "./discardBody";
export * from "./hopByHopHeaders";
export * from "./joinedChunks";
export * from "./readHeader";
export * from "./resetConnection";

/**
 * Binds an HTTP server to an address.
 *
 * @param server - The server.
 * @param address - The address.
 * @returns A promise that resolves once the server is listening.
 * @throws Error when the address cannot be bound.
 */
export function listen(server: Server, address: Address): Promise<void> {
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(address.port, address.host, () => {
      server.removeListener("error", reject);
      resolve();
    });
  });
}
