/**
 * Finds free ports below the ephemeral port range: an outgoing connection could take a port of that range
 * between the check and its use.
 */
import { createServer } from "node:net";

/** Address on which all processes listen. */
export const HOST = "127.0.0.1";

const FIRST_PORT = 12_000;
const LAST_PORT = 31_000;
/** Processes start their search in different blocks, so that concurrent ones rarely find the same port. */
const PORTS_PER_BLOCK = 100;
const PORT_BLOCKS = 180;

let nextPort = FIRST_PORT + (process.pid % PORT_BLOCKS) * PORTS_PER_BLOCK;

/**
 * Finds a free port.
 *
 * @returns A port on which nothing listened when it was checked; this process does not return it again before
 *   it has gone through the whole range.
 */
export async function findFreePort(): Promise<number> {
  for (;;) {
    nextPort = nextPort + 1 > LAST_PORT ? FIRST_PORT : nextPort + 1;
    const port = nextPort;
    if (await isFree(port)) {
      return port;
    }
  }
}

function isFree(port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const server = createServer();
    server.once("error", () => {
      resolve(false);
    });
    server.listen(port, HOST, () => {
      server.close(() => {
        resolve(true);
      });
    });
  });
}
