/**
 * Order of the requests on callers' connections. A caller may send further requests before the first one is answered.
 * Answers go out in the order of the requests, which Node.js sees to; here it is decided which of them may be sent to
 * backend servers, and which answer may close the connection.
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { Clock } from "../../types";
import type { CallerAccount } from "./callerAccount";
import type { CallerMemory } from "./callerMemory";
import { openConnectionInput } from "./connectionInput";
import {
  type ConnectionPlaces,
  type Place,
  countFieldBytes,
  hasWorkBehind,
  isBehindClose,
  isBodyArriving,
  isWaitingForCaller,
  listBehind,
} from "./connectionPlaces";
import { type PacedInput, createPacedInputs } from "./pacedInput";
import { type PendingRequest, type RequestPlace, Turn } from "./requestPlace";

/** Maximum requests of one connection that are at backend servers at the same time. */
const MAX_DISPATCHED_PER_CONNECTION = 8;
/** Maximum requests of one connection that are read before the first of them is answered. */
const MAX_READ_AHEAD = 16;
/** Maximum requests behind others that are at backend servers; their answers are kept in memory until their turn. */
const MAX_DISPATCHED_BEHIND = 200;
/** A caller that has just connected has a request to send; its connection is not idle for this time. */
const NEW_CONNECTION_MS = 500;
/** Time for which a refusal may be read while the rest of its request is not, before the connection is closed. */
const REFUSAL_LINGER_MS = 1000;

/** Order of the requests on all connections. */
export interface CallerConnections {
  /** Follows a connection that was just accepted, until it closes. */
  open(socket: Socket): void;
  /** Adds a request that was just read, behind the other requests of its connection. */
  add(message: IncomingMessage, response: ServerResponse, requestId: string | undefined): RequestPlace;
  /** Returns the requests of all connections that are not answered, or whose answers are not written in full. */
  listPending(): readonly PendingRequest[];
  /** Returns the number of such requests. */
  countPending(): number;
  /** Returns the number of open connections. */
  countOpen(): number;
  /**
   * Closes the connections on which nothing is pending: no request, not even a part of one, and no unwritten answer.
   * Returns their number.
   */
  closeIdle(): number;
  /**
   * Calls back when all requests that were read from a connection in full have been answered; at once when there is
   * none. The connection must not be read from any more.
   */
  whenAnswered(socket: Socket, callback: () => void): void;
}

interface Connection extends ConnectionPlaces {
  readonly openedAt: number;
  readonly account: CallerAccount;
  readonly input: PacedInput;
  /** Counts the bytes that the body of the latest request still lacks; 0 when it is not known. */
  countBodyRest: () => number;
  /** Requests that were read so far. */
  requestCount: number;
  /** Bytes that had been read from the connection at the end of the last request; more are a part of the next one. */
  bytesAtRest: number;
  isCloseWanted: boolean;
  onAnswered: (() => void) | undefined;
}

/**
 * Creates the order of connections without requests.
 *
 * @param clock - Clock that deadlines are measured by.
 * @param memory - Count of what is held for callers.
 * @returns The order.
 */
export function createCallerConnections(clock: Clock, memory: CallerMemory): CallerConnections {
  const inputs = createPacedInputs();
  const connections = new Map<Socket, Connection>();
  let dispatchedBehind = 0;
  let pendingCount = 0;

  return {
    open: (socket) => {
      getConnection(socket);
    },
    add,
    listPending: () =>
      [...connections.values()].flatMap(({ places }) =>
        places.map(({ requestId, arrivedAt, response }) => ({
          requestId,
          arrivedAt,
          isAnswered: response.writableEnded,
        })),
      ),
    countPending: () => pendingCount,
    countOpen: () => connections.size,
    closeIdle: () => {
      const idle = [...connections].filter(([socket, connection]) => isIdle(socket, connection));
      idle.forEach(([socket]) => socket.destroy());
      return idle.length;
    },
    whenAnswered: (socket, callback) => {
      const connection = connections.get(socket);
      connection?.input.discard();
      const latest = connection?.places.at(-1);
      if (connection !== undefined && latest?.message.complete === false) {
        connection.places.pop();
        pendingCount -= 1;
        connection.account.addRequests(-1);
        connection.account.addFieldBytes(-latest.fieldBytes);
      }
      if (connection === undefined || connection.places.length === 0) {
        callback();
      } else {
        connection.onAnswered = callback;
      }
    },
  };

  function add(
    message: IncomingMessage,
    response: ServerResponse,
    requestId: string | undefined,
  ): RequestPlace {
    const { socket } = message;
    const connection = getConnection(socket);
    const arrivedAt = clock.now();
    const place: Place = {
      message,
      response,
      requestId,
      arrivedAt,
      fieldBytes: countFieldBytes(message),
      isDispatched: false,
      isOwed: false,
      check: undefined,
    };
    connection.places.push(place);
    pendingCount += 1;
    connection.countBodyRest = () => 0;
    connection.requestCount += 1;
    connection.account.addRequests(1);
    connection.account.addFieldBytes(place.fieldBytes);
    const finish = () => {
      response.removeListener("close", finish);
      socket.removeListener("close", finish);
      remove(connection, place);
    };
    response.once("close", finish);
    // A response that waits for its turn gets no event when the connection is closed.
    socket.once("close", finish);
    message.once("end", () => {
      // Trailer fields are not passed on, and need not be kept until the request is answered.
      message.rawTrailers = [];
      message.trailers = {};
    });
    // An answer may be written before the end of the request's body has arrived.
    message.once("close", () => {
      connection.bytesAtRest = socket.bytesRead;
    });
    return {
      waitForTurn: (isIdempotent, deadlineAt) => waitForTurn(connection, place, isIdempotent, deadlineAt),
      closeAfter: () => closeAfter(connection, place),
      endConnection: () => {
        endConnection(connection, place);
      },
      hasWorkBehind: () => hasWorkBehind(connection, place),
      mustClose: () => connection.isCloseWanted,
      account: connection.account,
      followBody: (countRest) => {
        connection.countBodyRest = countRest;
      },
      stopReading: () => {
        connection.input.stop();
        endConnection(connection, place);
        // A close with unread bytes resets the connection, and the refusal could be lost.
        socket.destroySoon = () => {
          socket.end();
          const cancel = clock.schedule(REFUSAL_LINGER_MS, () => {
            socket.destroy();
          });
          // The timer would keep the request in memory.
          socket.once("close", cancel);
        };
      },
    };
  }

  function getConnection(socket: Socket): Connection {
    return connections.get(socket) ?? createConnection(socket);
  }

  function createConnection(socket: Socket): Connection {
    const places: Place[] = [];
    const account = memory.open({
      socket,
      isWaitingForCaller: () => isWaitingForCaller(socket, places),
      isIdle: () => isIdle(socket, connection),
    });
    const input = openConnectionInput(inputs, socket, {
      account,
      mayRead: () => places.length < MAX_READ_AHEAD,
      countRequests: () => connection.requestCount,
      countBodyRest: () => connection.countBodyRest(),
    });
    const connection: Connection = {
      openedAt: clock.now(),
      account,
      input,
      countBodyRest: () => 0,
      places,
      requestCount: 0,
      bytesAtRest: 0,
      isCloseWanted: false,
      closingPlace: undefined,
      onAnswered: undefined,
    };
    connections.set(socket, connection);
    // Each request that is read adds a few listeners until it is answered.
    socket.setMaxListeners(0);
    socket.once("close", () => connections.delete(socket));
    return connection;
  }

  function isIdle(socket: Socket, { places, openedAt, bytesAtRest, input }: Connection): boolean {
    const isNew = bytesAtRest === 0 && clock.now() - openedAt < NEW_CONNECTION_MS;
    const isQuiet = socket.bytesRead === bytesAtRest && input.countWaiting() === 0;
    return places.length === 0 && !isNew && isQuiet && socket.writableLength === 0;
  }

  function remove(connection: Connection, place: Place): void {
    const index = connection.places.indexOf(place);
    if (index === -1) {
      return;
    }
    pendingCount -= 1;
    if (place.isDispatched && index > 0) {
      dispatchedBehind -= 1;
    }
    connection.places.splice(index, 1);
    connection.account.addFieldBytes(-place.fieldBytes);
    const [first] = connection.places;
    if (index === 0 && first?.isDispatched === true) {
      dispatchedBehind -= 1;
    }
    connection.account.addRequests(-1);
    connection.input.update();
    [...connection.places].forEach((waiting) => waiting.check?.());
    if (first === undefined) {
      connection.onAnswered?.();
      connection.onAnswered = undefined;
    }
  }

  function waitForTurn(
    connection: Connection,
    place: Place,
    isIdempotent: boolean,
    deadlineAt: number,
  ): Promise<Turn> {
    return new Promise((resolve) => {
      const settle = (turn: Turn) => {
        cancel();
        place.check = undefined;
        resolve(turn);
      };
      const cancel = clock.schedule(Math.max(0, deadlineAt - clock.now()), () => {
        settle(Turn.Late);
      });
      place.check = () => {
        if (isBehindClose(connection, place)) {
          settle(Turn.Dropped);
        } else if (mayDispatch(connection, place, isIdempotent)) {
          place.isDispatched = true;
          dispatchedBehind += connection.places[0] === place ? 0 : 1;
          settle(Turn.Dispatch);
        }
      };
      place.check();
    });
  }

  function mayDispatch(connection: Connection, place: Place, isIdempotent: boolean): boolean {
    if (connection.places[0] === place || !connection.places.includes(place)) {
      return true;
    }
    const dispatched = connection.places.filter((each) => each.isDispatched).length;
    const isFull = dispatched >= MAX_DISPATCHED_PER_CONNECTION || dispatchedBehind >= MAX_DISPATCHED_BEHIND;
    // Behind an answer that may close the connection, work could be lost.
    return isIdempotent && !isFull && !connection.isCloseWanted;
  }

  function closeAfter(connection: Connection, place: Place): boolean {
    if (connection.closingPlace === place) {
      return true;
    }
    const behind = listBehind(connection, place);
    if (!connection.isCloseWanted) {
      connection.isCloseWanted = true;
      connection.places.forEach((each) => {
        each.isOwed = !isBodyArriving(each.message);
      });
    }
    if (isBodyArriving(place.message)) {
      // A close while its body arrives would reset the connection, and the answer could be lost.
      return false;
    }
    const { closingPlace } = connection;
    if (behind.some((each) => each.isDispatched || each.isOwed || each === closingPlace)) {
      return false;
    }
    endConnection(connection, place);
    return true;
  }

  function endConnection(connection: Connection, place: Place): void {
    connection.isCloseWanted = true;
    connection.closingPlace = place;
    listBehind(connection, place).forEach((waiting) => waiting.check?.());
  }
}
