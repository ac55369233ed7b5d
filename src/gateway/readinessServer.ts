/** Answers the load balancer's readiness probes. */
import { createServer } from "node:http";
import { listen } from "../http";
import type { Address } from "../types";

const Status = { Ready: 200, NotFound: 404, NotReady: 503 } as const;

/**
 * Starts the server.
 *
 * @param address - Address that is probed.
 * @param path - Path that is probed.
 * @param isReady - Returns whether the daemon accepts callers.
 * @throws Error when the address cannot be bound.
 */
export async function startReadinessServer(
  address: Address,
  path: string,
  isReady: () => boolean,
): Promise<void> {
  const server = createServer((message, response) => {
    const readiness = isReady() ? Status.Ready : Status.NotReady;
    response.statusCode = message.url === path ? readiness : Status.NotFound;
    response.end();
  });
  await listen(server, address);
}
