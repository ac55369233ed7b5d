/** Finds free ports below the range of outgoing connections, which would take them in the meantime. */
import { createServer } from "node:net";

/** Address of all processes. */
export const HOST = "127.0.0.1";

const FIRST_PORT = 12_000;
const LAST_PORT = 31_000;
const PORTS_PER_BLOCK = 100;
const PORT_BLOCKS = 180;

let nextPort = FIRST_PORT + (process.pid % PORT_BLOCKS) * PORTS_PER_BLOCK;

/**
 * Finds a free port.
 *
 * @returns A port that nobody listened on just now; it is not given twice by this process.
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
