/** Connections to backend servers: sends a request and reports whether it was answered or may have run. */
import {
  type Agent,
  type ClientRequest,
  type IncomingMessage,
  type OutgoingHttpHeaders,
  request,
} from "node:http";
import type { Socket } from "node:net";
import { finished } from "node:stream";
import type { DiscoveredServer } from "../../discovery";
import { describeError } from "../../errors";
import { type CallerWatch, discardBody, limitHead } from "../../http";
import { type Clock, formatAddress } from "../../types";
import type { AnswerBody, UnansweredAttempt } from "../attemptTypes";
import { type AnswerMemory, createAnswerBodies } from "./answerBody";
import { CUT_DETAIL, createConnectionEnds } from "./connectionEnds";
import { createKeptConnections } from "./keptConnections";

/** Connecting takes a round trip of a few milliseconds; no reply for this long means a lost path. */
const CONNECT_TIMEOUT_MS = 300;
/**
 * A server resets connections beyond those that it accepts, and those that it has dropped. After this time, which is
 * more than a round trip between data centres and the server's own handshake, the reset would have arrived.
 */
const ACCEPTANCE_DELAY_MS = 5;
/** No new connection is opened to a server that has reset one before any request for this time. */
const TURNED_AWAY_PAUSE_MS = 250;
/** For this time after such a reset, also one after the request was sent, requests on new connections wait for {@link ACCEPTANCE_DELAY_MS}. */
const TURNED_AWAY_MEMORY_MS = 3000;
/** A request for one backend server. */
export interface OutgoingRequest {
  readonly id: string;
  readonly server: DiscoveredServer;
  readonly method: string;
  /** Path and query as the caller sent them. */
  readonly path: string;
  readonly headers: OutgoingHttpHeaders;
  /** The body in pieces, which are sent as they are. */
  readonly body: readonly Buffer[];
  /** Whether the request may run more than once, so that a connection that was idle for long may be used. */
  readonly isIdempotent: boolean;
  /** Local time after which the answer is no longer waited for; a streamed one is broken off. */
  readonly deadlineAt: number;
  readonly caller: CallerWatch;
  /** Returns why an answer is not returned to the caller; its body is not waited for then. */
  readonly findRejection: (
    head: IncomingMessage,
    isReusedConnection: boolean,
  ) => UnansweredAttempt | undefined;
}

/** Result of sending a request. */
export type SendResult =
  | {
      readonly kind: "answered";
      readonly message: IncomingMessage;
      readonly body: AnswerBody;
    }
  /** The head of the answer was rejected. */
  | { readonly kind: "rejected"; readonly rejection: UnansweredAttempt }
  /** No byte of the request has been sent. */
  | { readonly kind: "notSent"; readonly detail: string }
  /** The server closed a new connection before any byte of the request was sent: it accepts no more of them. */
  | { readonly kind: "turnedAway"; readonly detail: string }
  /** A kept connection was closed before the request was sent in full, so it has not run. */
  | { readonly kind: "dropped"; readonly detail: string }
  /** The connection failed or the answer was cut short; the request may have run. */
  | { readonly kind: "broken"; readonly detail: string }
  /** The deadline expired first; the request may have run. */
  | { readonly kind: "late" }
  /** The caller disconnected; the request may have run if it was sent by then. */
  | { readonly kind: "abandoned" };

/** Connections to all backend servers. */
export interface ServerConnections {
  /** Sends a request. Never throws. */
  send(outgoing: OutgoingRequest): Promise<SendResult>;
  /** Returns whether a connection is available for a further request, or may be opened. */
  hasRoom(server: DiscoveredServer): boolean;
  /** Closes connections to addresses that none of the servers has, unless requests are in flight there. */
  retain(servers: readonly DiscoveredServer[]): void;
  /** Returns the number of connections opened so far. */
  countOpened(): number;
  /** Closes all connections. */
  close(): void;
}

interface ServerPool {
  readonly agent: Agent;
  inFlight: number;
  /** Local time at which the server last closed a new connection before the request was sent. */
  turnedAwayAt: number;
  /** Local time at which the server last closed a new connection before its answer, and may have turned it away. */
  suspectedAt: number;
}

/**
 * Creates the connection pools. Each connection carries one request at a time.
 *
 * @param clock - Clock that deadlines and idle times are measured by.
 * @param getMaxConnections - Returns the maximum number of connections of this daemon to a server.
 * @param memory - Counts the answers that are held for callers.
 * @returns The connections.
 */
export function createServerConnections(
  clock: Clock,
  getMaxConnections: (server: DiscoveredServer) => number,
  memory?: AnswerMemory,
): ServerConnections {
  const pools = new Map<string, ServerPool>();
  const kept = createKeptConnections(clock);
  const bodies = createAnswerBodies(memory);
  const ends = createConnectionEnds();
  let openedCount = 0;

  return {
    send,
    hasRoom: (server) => {
      const pool = pools.get(formatAddress(server.address));
      if (pool === undefined) {
        return getMaxConnections(server) > 0;
      }
      const mayOpen = clock.now() - pool.turnedAwayAt >= TURNED_AWAY_PAUSE_MS || kept.hasAny(pool.agent);
      return mayOpen && pool.inFlight < getMaxConnections(server);
    },
    retain: (servers) => {
      const present = new Set(servers.map((server) => formatAddress(server.address)));
      for (const [address, pool] of pools) {
        if (!present.has(address) && pool.inFlight === 0) {
          pool.agent.destroy();
          pools.delete(address);
        }
      }
    },
    countOpened: () => openedCount,
    close: () => {
      for (const pool of pools.values()) {
        pool.agent.destroy();
      }
    },
  };

  async function send(outgoing: OutgoingRequest): Promise<SendResult> {
    const pool = getPool(outgoing.server);
    kept.closeUnfit(pool.agent, outgoing);
    pool.inFlight += 1;
    const firstResult = await exchange(pool, outgoing);
    if (firstResult.kind === "dropped") {
      // The other idle connections are likely to be dropped, too.
      kept.closeAll(pool.agent);
    }
    const result = firstResult.kind === "dropped" ? await exchange(pool, outgoing) : firstResult;
    onTransferEnd(result, () => {
      pool.inFlight -= 1;
    });
    return result;
  }

  function exchange(pool: ServerPool, outgoing: OutgoingRequest): Promise<SendResult> {
    const { agent } = pool;
    const { server, caller, deadlineAt } = outgoing;
    return new Promise((resolve) => {
      let isConnected = false;
      let isKept = false;
      let isSent = false;
      let isAnswering = false;
      let isSettled = false;
      let cancelConnectTimeout: (() => void) | undefined;
      if (caller.signal.aborted) {
        resolve({ kind: "abandoned" });
        return;
      }
      let clientRequest: ClientRequest;
      try {
        clientRequest = createClientRequest();
      } catch (error) {
        resolve({ kind: "notSent", detail: describeError(error) });
        return;
      }
      const onAbort = () => {
        settle({ kind: "abandoned" });
        resetConnection();
      };
      const cancelDeadline = clock.schedule(Math.max(0, deadlineAt - clock.now()), () => {
        settle(
          isSent
            ? { kind: "late" }
            : { kind: "notSent", detail: "deadline expired before a connection was made" },
        );
        resetConnection();
      });
      caller.signal.addEventListener("abort", onAbort);
      clientRequest.on("socket", onSocket);
      clientRequest.on("error", (error) => {
        fail(describeError(error));
      });
      limitHead(clientRequest, (detail) => {
        fail(detail);
        resetConnection();
      });
      clientRequest.on("response", (answer) => {
        isAnswering = true;
        if (!isSent) {
          // The server has answered the head alone and reads the body later.
          cancelConnectTimeout?.();
          sendRequest();
        }
        kept.recordAnswer(answer);
        const rejection = outgoing.findRejection(answer, clientRequest.reusedSocket);
        if (rejection === undefined) {
          void receive(answer);
        } else {
          reject(answer, rejection);
        }
      });
      clientRequest.on("close", () => {
        // Once an answer has started, its own events show whether it is complete.
        if (!isAnswering) {
          fail("connection closed without an answer");
        }
      });

      function createClientRequest(): ClientRequest {
        return request({
          agent,
          host: server.address.host,
          port: server.address.port,
          method: outgoing.method,
          path: outgoing.path,
          headers: outgoing.headers,
          setHost: false,
        });
      }

      function onSocket(socket: Socket): void {
        kept.recordUse(socket, outgoing.id);
        if (!socket.connecting) {
          sendOnKeptConnection(socket);
          return;
        }
        openedCount += 1;
        ends.follow(socket);
        cancelConnectTimeout = clock.schedule(CONNECT_TIMEOUT_MS, () => {
          fail("connection attempt timed out");
          clientRequest.destroy();
        });
        socket.once("connect", () => {
          cancelConnectTimeout?.();
          isConnected = true;
          const isSuspected = clock.now() - pool.suspectedAt < TURNED_AWAY_MEMORY_MS;
          if (outgoing.isIdempotent && !isSuspected) {
            void sendToPresentCaller();
          } else {
            cancelConnectTimeout = clock.schedule(ACCEPTANCE_DELAY_MS, () => void sendToPresentCaller());
          }
        });
      }

      function sendOnKeptConnection(socket: Socket): void {
        if (outgoing.isIdempotent || !kept.mayBeDropped(socket)) {
          sendRequest();
          return;
        }
        isKept = true;
        clientRequest.flushHeaders();
        cancelConnectTimeout = clock.schedule(ACCEPTANCE_DELAY_MS, () => {
          if (!isSettled) {
            sendRequest();
          }
        });
      }

      /** Sends the request on a new connection, unless its caller has left while the connection was made. */
      async function sendToPresentCaller(): Promise<void> {
        const isPresent = await caller.confirmPresence();
        if (isSettled) {
          return;
        }
        if (isPresent) {
          sendRequest();
        } else {
          onAbort();
        }
      }

      function sendRequest(): void {
        isSent = true;
        outgoing.body.slice(0, -1).forEach((piece) => clientRequest.write(piece));
        clientRequest.end(outgoing.body.at(-1));
      }

      async function receive(answer: IncomingMessage): Promise<void> {
        const { socket } = answer;
        try {
          const body = await bodies.read(answer, caller);
          if (body.kind === "streamed") {
            settle({ kind: "answered", message: answer, body: ends.guard(body) });
            return;
          }
          // Without a length the body ends with its connection; after a reset it is not known to be complete.
          const isClosed = body.kind === "whole" ? !ends.hasFailed(socket) : await ends.wasClosed(socket);
          if (isClosed && answer.complete) {
            settle({ kind: "answered", message: answer, body });
          } else {
            fail(CUT_DETAIL);
          }
        } catch (error) {
          fail(describeError(error));
        }
      }

      function reject(answer: IncomingMessage, rejection: UnansweredAttempt): void {
        settle({ kind: "rejected", rejection });
        if (rejection.kind === "notRun") {
          discardBody(answer, clock);
        } else {
          // After bytes that are no proper answer, the next ones may belong to any request.
          answer.destroy();
        }
      }

      /**
       * Resets the connection: after a plain close, a request in transit could run once the network heals.
       */
      function resetConnection(): void {
        clientRequest.socket?.resetAndDestroy();
        clientRequest.destroy();
      }

      function fail(detail: string): void {
        if (isSettled) {
          return;
        }
        const wasTurnedAway = isConnected && !isSent;
        if (isConnected && !isAnswering) {
          pool.suspectedAt = clock.now();
          pool.turnedAwayAt = wasTurnedAway ? clock.now() : pool.turnedAwayAt;
        }
        if (isSent) {
          settle({ kind: "broken", detail });
        } else if (isKept) {
          settle({ kind: "dropped", detail });
        } else {
          settle({ kind: wasTurnedAway ? "turnedAway" : "notSent", detail });
        }
      }

      function settle(result: SendResult): void {
        if (isSettled) {
          return;
        }
        isSettled = true;
        cancelConnectTimeout?.();
        onTransferEnd(result, () => {
          cancelDeadline();
          caller.signal.removeEventListener("abort", onAbort);
        });
        resolve(result);
      }
    });
  }

  function getPool(server: DiscoveredServer): ServerPool {
    const address = formatAddress(server.address);
    let pool = pools.get(address);
    if (pool === undefined) {
      const never = Number.NEGATIVE_INFINITY;
      pool = { agent: kept.createAgent(), inFlight: 0, turnedAwayAt: never, suspectedAt: never };
      pools.set(address, pool);
    }
    return pool;
  }
}

/** Calls back when nothing more is to be received: at once, or at the end of the answer that is streamed. */
function onTransferEnd(result: SendResult, callback: () => void): void {
  if (result.kind === "answered" && result.body.kind === "streamed") {
    finished(result.body.rest, callback);
  } else {
    callback();
  }
}
