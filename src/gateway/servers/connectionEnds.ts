/** How connections to backend servers end: without a length, only a plain close shows that an answer is complete. */
import type { Socket } from "node:net";
import type { StreamedBody } from "../attemptTypes";
import { isFramed } from "./answerBody";

/** Description of an answer that was cut short. */
export const CUT_DETAIL = "connection closed before the end of the answer";

/** Ends of connections. */
export interface ConnectionEnds {
  /** Follows a connection that is being opened. */
  follow(socket: Socket): void;
  /** Returns whether a connection is known to have failed. */
  hasFailed(socket: Socket): boolean;
  /** Returns whether a connection that has ended was closed, and not reset. */
  wasClosed(socket: Socket): Promise<boolean>;
  /** Lets a streamed body fail if it has no length and its connection is reset. */
  guard(body: StreamedBody): StreamedBody;
}

/**
 * Creates the record of connections.
 *
 * @returns The record.
 */
export function createConnectionEnds(): ConnectionEnds {
  const failed = new WeakSet<Socket>();
  const checks = new WeakMap<Socket, Promise<void>>();

  return {
    follow: (socket) => {
      socket.once("error", () => failed.add(socket));
      // Before the listeners that end this side of the connection, after which nothing can be written.
      socket.prependOnceListener("end", () => {
        checks.set(socket, check(socket));
      });
    },
    hasFailed: (socket) => failed.has(socket),
    wasClosed,
    guard: (body) => {
      const { rest } = body;
      if (isFramed(rest)) {
        return body;
      }
      const { socket } = rest;
      const breakOff = () => rest.destroy(new Error(CUT_DETAIL));
      socket.once("error", breakOff);
      if (failed.has(socket)) {
        breakOff();
      }
      const confirmEnd = async () => {
        if (!(await wasClosed(socket))) {
          throw new Error(CUT_DETAIL);
        }
      };
      return { ...body, confirmEnd };
    },
  };

  async function wasClosed(socket: Socket): Promise<boolean> {
    await checks.get(socket);
    return !failed.has(socket);
  }

  /**
   * Writes nothing, which fails on a connection that was reset: Node.js (libuv) reports a reset that arrives together
   * with data as a plain end.
   */
  function check(socket: Socket): Promise<void> {
    return new Promise((resolve) => {
      socket.write("", (error) => {
        if (error instanceof Error) {
          failed.add(socket);
        }
        resolve();
      });
    });
  }
}
