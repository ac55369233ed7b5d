/** Follows whether the caller of a request still waits for its answer. */
import type { IncomingMessage, ServerResponse } from "node:http";
import { readArrived } from "./arrivals";

/** View of the caller of one request. */
export interface CallerWatch {
  /** Aborted when the caller has closed its connection or its side of it. */
  readonly signal: AbortSignal;
  /**
   * Reads what has arrived on the caller's connection and returns whether the caller is still there. The
   * signal alone lags while the process is short of processor time: a request is read before the close behind it.
   */
  confirmPresence(): Promise<boolean>;
  /** Calls back once nothing more is to be written to the caller; at once if that is the case already. */
  onEnd(callback: () => void): void;
}

/**
 * Starts to follow the caller of a request, until its answer is finished or its connection is closed.
 *
 * @param message - The request.
 * @param response - The answer to it.
 * @returns The view of the caller.
 */
export function watchCaller(message: IncomingMessage, response: ServerResponse): CallerWatch {
  const { socket } = message;
  const departure = new AbortController();
  const callbacks: (() => void)[] = [];
  let isEnded = false;
  const end = () => {
    isEnded = true;
    callbacks.splice(0).forEach((callback) => {
      callback();
    });
  };
  const recordDeparture = () => {
    departure.abort();
  };
  socket.once("end", recordDeparture);
  // A response behind another one on the connection gets no event when that is closed.
  socket.once("close", recordDeparture);
  socket.once("close", end);
  response.once("close", () => {
    socket.removeListener("end", recordDeparture);
    socket.removeListener("close", recordDeparture);
    socket.removeListener("close", end);
    end();
    if (!response.writableFinished) {
      recordDeparture();
    }
  });
  return {
    signal: departure.signal,
    confirmPresence: async () => {
      await readArrived();
      if (socket.destroyed || socket.readableEnded) {
        recordDeparture();
      }
      return !departure.signal.aborted;
    },
    onEnd: (callback) => {
      if (isEnded) {
        callback();
      } else {
        callbacks.push(callback);
      }
    },
  };
}
