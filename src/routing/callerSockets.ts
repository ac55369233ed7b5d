/** Connections of callers: which of them carry a request that is not answered in full, and when they are closed. */
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { Server as NetServer, type Socket } from "node:net";
import { readArrivals } from "../http";

/** Connections of callers. */
export interface CallerSockets {
  /** Returns the number of requests whose answers have not been written to their sockets in full. */
  countUnwritten(): number;
  /**
   * Returns whether an answer, whose head must be written next, may close its connection: no request is behind it.
   * Then requests that arrive behind it later must not be run.
   */
  closeAfter(response: ServerResponse): boolean;
  /** Returns whether an answer ahead of a request closes its connection, so that it cannot be answered. */
  isBehindLastAnswer(message: IncomingMessage): boolean;
  /** Stops accepting connections and closes each one once it is idle. Resolves when all have closed. */
  close(): Promise<void>;
}

interface Connection {
  /** Requests whose answers have not been written to the socket in full. */
  readonly unwritten: Set<ServerResponse>;
  /** Bytes received up to the end of the last request. */
  completeBytes: number;
  /** Whether an answer whose head is written closes the connection. */
  hasLastAnswer: boolean;
}

/**
 * Follows the connections of a server.
 *
 * @param server - The server, before its first connection.
 * @returns Its connections.
 */
export function createCallerSockets(server: Server): CallerSockets {
  const connections = new Map<Socket, Connection>();
  let arrivals = 0;
  let isClosing = false;

  server.on("connection", (socket) => {
    arrivals += 1;
    connections.set(socket, { unwritten: new Set(), completeBytes: 0, hasLastAnswer: false });
    // A response behind another one gets no event when the connection is closed.
    socket.once("close", () => connections.delete(socket));
  });
  server.prependListener("request", addRequest);

  return {
    countUnwritten: () => [...connections.values()].reduce((sum, { unwritten }) => sum + unwritten.size, 0),
    closeAfter: (response) => {
      const connection = connections.get(response.req.socket);
      if (connection === undefined || [...connection.unwritten].at(-1) !== response) {
        return false;
      }
      connection.hasLastAnswer = true;
      return true;
    },
    isBehindLastAnswer: ({ socket }) => connections.get(socket)?.hasLastAnswer === true,
    close,
  };

  async function close(): Promise<void> {
    await readArrivals(() => arrivals);
    isClosing = true;
    const closed = new Promise<void>((resolve) => {
      // `close` of an HTTP server also destroys connections whose answers are ended but not written yet.
      NetServer.prototype.close.call(server, () => {
        resolve();
      });
    });
    [...connections.keys()].forEach(closeIfIdle);
    await closed;
  }

  function addRequest(message: IncomingMessage, response: ServerResponse): void {
    arrivals += 1;
    const { socket } = message;
    const connection = connections.get(socket);
    if (connection === undefined) {
      return;
    }
    connection.unwritten.add(response);
    connection.completeBytes = socket.bytesRead;
    if (hasBody(message)) {
      message.once("end", () => {
        connection.completeBytes = socket.bytesRead;
        void closeOnceIdle(socket);
      });
    }
    response.once("close", () => {
      connection.unwritten.delete(response);
      void closeOnceIdle(socket);
    });
  }

  async function closeOnceIdle(socket: Socket): Promise<void> {
    if (isClosing) {
      await readArrivals(() => socket.bytesRead);
      closeIfIdle(socket);
    }
  }

  function closeIfIdle(socket: Socket): void {
    const connection = connections.get(socket);
    const isIdle = connection?.unwritten.size === 0 && connection.completeBytes === socket.bytesRead;
    if (isIdle) {
      socket.destroySoon();
    }
  }
}

function hasBody({ headers }: IncomingMessage): boolean {
  return headers["transfer-encoding"] !== undefined || (headers["content-length"] ?? "0") !== "0";
}
