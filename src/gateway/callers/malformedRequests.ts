/** Answers requests that the HTTP parser rejects, without the HTTP server: they are never routed. */
import { Socket } from "node:net";
import type { Duplex } from "node:stream";
import type { Counters } from "../../observability";
import type { Clock } from "../../types";
import type { CallerConnections } from "./callerConnections";

/** Time for which the answer may be read before its connection is closed, in milliseconds. */
const LINGER_MS = 1000;

/** Options for {@link createMalformedRequestRefusal}. */
export interface MalformedRequestOptions {
  readonly connections: Pick<CallerConnections, "whenAnswered">;
  readonly clock: Clock;
  readonly counters: Pick<Counters, "increment">;
}

/**
 * Creates the listener for errors of the HTTP parser.
 *
 * @param options - Connections, clock and counters.
 * @returns The listener, which answers the requests ahead first.
 */
export function createMalformedRequestRefusal(
  options: MalformedRequestOptions,
): (error: NodeJS.ErrnoException, socket: Duplex) => void {
  const { connections, clock, counters } = options;

  return ({ code }, socket) => {
    counters.increment("callers.refused", `parser:${code ?? "unknown"}`);
    if (!(socket instanceof Socket) || !socket.writable || code === "ECONNRESET") {
      socket.destroy();
      return;
    }
    connections.whenAnswered(socket, () => {
      if (socket.writable) {
        refuse(socket, code);
      }
    });
  };

  function refuse(socket: Socket, code: string | undefined): void {
    socket.end(`HTTP/1.1 ${formatStatus(code)}\r\nconnection: close\r\ncontent-length: 0\r\n\r\n`);
    // A close at once would reset the connection if bytes are unread, and the answer could be lost.
    const cancel = clock.schedule(LINGER_MS, () => {
      socket.destroy();
    });
    socket.once("close", cancel);
  }
}

function formatStatus(code: string | undefined): string {
  if (code === "HPE_HEADER_OVERFLOW") {
    return "431 Request Header Fields Too Large";
  }
  return code === "ERR_HTTP_REQUEST_TIMEOUT" ? "408 Request Timeout" : "400 Bad Request";
}
