/** Connections to backend servers that are kept between requests, and which of them a request may be sent on. */
import { Agent, type IncomingMessage } from "node:http";
import type { Socket } from "node:net";
import { destroyOnData } from "../../http";
import type { Clock } from "../../types";

/** Maximum idle time of a connection that is reused, unless its server states a timeout. */
const MAX_IDLE_MS = 4000;
/** The same if the server states a timeout that is longer by {@link IDLE_MARGIN_MS}. */
const MAX_STATED_IDLE_MS = 8000;
/** A connection is not used in the last part of its stated timeout, in which its server may be closing it. */
const IDLE_MARGIN_MS = 1500;
/**
 * A backend server may have dropped a connection that was idle for longer than this. A request that must not run twice
 * would be lost on it: only its head is sent at first, which cannot run, but meets the reset of a dropped connection.
 */
const MAX_IDLE_UNCONFIRMED_MS = 250;
const MILLISECONDS_PER_SECOND = 1000;

/** A request for which a kept connection is wanted. */
export interface KeptConnectionUse {
  readonly id: string;
  readonly isIdempotent: boolean;
  readonly body: readonly Buffer[];
}

/** Kept connections. */
export interface KeptConnections {
  /** Creates the connections to one server. */
  createAgent(): Agent;
  /** Returns whether a connection is kept. */
  hasAny(agent: Agent): boolean;
  /** Closes all kept connections. */
  closeAll(agent: Agent): void;
  /**
   * Closes kept connections on which a request must not be sent: those that the server may have dropped, and one that
   * carried the same request before, on which a repeated answer would pass for the new one.
   */
  closeUnfit(agent: Agent, use: KeptConnectionUse): void;
  /** Records that a request is sent on a connection. */
  recordUse(socket: Socket, requestId: string): void;
  /** Records the timeout that a server states in an answer. */
  recordAnswer(answer: IncomingMessage): void;
  /** Returns whether the server may have dropped the connection since its last answer. */
  mayBeDropped(socket: Socket): boolean;
}

/**
 * Creates the record of kept connections.
 *
 * @param clock - Clock that idle times are measured by.
 * @returns The record.
 */
export function createKeptConnections(clock: Clock): KeptConnections {
  const idleSince = new WeakMap<Socket, number>();
  /** Maximum idle time of each connection, in milliseconds. */
  const maxIdleMs = new WeakMap<Socket, number>();
  /** Identifier of the last request on each connection. */
  const lastRequests = new WeakMap<Socket, string>();

  return {
    createAgent,
    hasAny: (agent) => listKept(agent).some((socket) => !socket.destroyed),
    closeAll: (agent) => {
      listKept(agent).forEach((socket) => socket.destroy());
    },
    closeUnfit,
    recordUse: (socket, requestId) => {
      socket.removeListener("data", destroyOnData);
      lastRequests.set(socket, requestId);
    },
    recordAnswer: (answer) => {
      maxIdleMs.set(answer.socket, readMaxIdleMs(answer));
    },
    mayBeDropped: (socket) => getIdleMs(socket) > MAX_IDLE_UNCONFIRMED_MS,
  };

  function createAgent(): Agent {
    const agent = new Agent({ keepAlive: true, scheduling: "lifo", noDelay: true });
    agent.on("free", (socket: Socket) => {
      idleSince.set(socket, clock.now());
      socket.on("data", destroyOnData);
    });
    return agent;
  }

  function getIdleMs(socket: Socket): number {
    return clock.now() - (idleSince.get(socket) ?? clock.now());
  }

  function closeUnfit(agent: Agent, { id, isIdempotent, body }: KeptConnectionUse): void {
    // Without a body, the head is the whole request and may run.
    const isConfirmable = isIdempotent || body.length > 0;
    for (const socket of listKept(agent)) {
      const limitMs = isConfirmable ? (maxIdleMs.get(socket) ?? MAX_IDLE_MS) : MAX_IDLE_UNCONFIRMED_MS;
      if (getIdleMs(socket) > limitMs || lastRequests.get(socket) === id) {
        socket.destroy();
      }
    }
  }
}

function listKept(agent: Agent): readonly Socket[] {
  return Object.values(agent.freeSockets).flatMap((sockets) => sockets ?? []);
}

/** Returns for how long a connection may be idle, from the timeout that its server states. */
function readMaxIdleMs({ headers }: IncomingMessage): number {
  const [, seconds] = /timeout=(\d{1,6})/.exec(String(headers["keep-alive"] ?? "")) ?? [];
  if (seconds === undefined) {
    return MAX_IDLE_MS;
  }
  const statedMs = Number(seconds) * MILLISECONDS_PER_SECOND;
  return Math.min(MAX_STATED_IDLE_MS, Math.max(0, statedMs - IDLE_MARGIN_MS));
}
