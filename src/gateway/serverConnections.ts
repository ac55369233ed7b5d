/** Connections to backend servers: sends one request and tells how far it came. */
import {
  Agent,
  type ClientRequest,
  type IncomingMessage,
  type OutgoingHttpHeaders,
  request,
} from "node:http";
import type { Socket } from "node:net";
import type { DiscoveredServer } from "../discovery";
import { describeError } from "../errors";
import { type Clock, formatAddress } from "../types";

/** A connection is made within a round trip of a few milliseconds; silence for this long is a lost path. */
const CONNECT_TIMEOUT_MS = 300;
/** Below the idle timeouts that backend servers state, so that a request does not cross their close. */
const MAX_IDLE_MS = 4000;
/** Backend servers may forget a connection that rested longer; a request that may not be repeated needs one that is alive. */
const MAX_IDLE_UNSAFE_MS = 250;
/** Longer answers are streamed, which bounds memory; shorter ones are whole before the caller gets a byte. */
const MAX_BUFFERED_ANSWER_BYTES = 1_048_576;

/** A request for one backend server. */
export interface OutgoingRequest {
  readonly server: DiscoveredServer;
  readonly method: string;
  /** Path and query as the caller sent them. */
  readonly path: string;
  readonly headers: OutgoingHttpHeaders;
  readonly body: Buffer;
  /** Whether it may run again, so that an old connection may be tried. */
  readonly isIdempotent: boolean;
  /** Local time at which waiting for the answer ends. */
  readonly deadlineAt: number;
  /** Aborted when nobody waits for the answer any more. */
  readonly signal: AbortSignal;
}

/** Body of an answer. */
export type AnswerBody =
  | { readonly kind: "whole"; readonly content: Buffer }
  /** It had no length and ended with its connection, so nobody knows for certain that it is whole. */
  | { readonly kind: "unframed"; readonly content: Buffer }
  | { readonly kind: "streamed"; readonly head: readonly Buffer[]; readonly rest: IncomingMessage };

/** How sending ended. */
export type SendResult =
  | {
      readonly kind: "answered";
      readonly message: IncomingMessage;
      readonly body: AnswerBody;
      /** Closes the connection, whose next bytes may belong to any request. */
      readonly discardConnection: () => void;
    }
  /** No byte of the request has left. */
  | { readonly kind: "notSent"; readonly detail: string }
  /** The request may have run. */
  | { readonly kind: "broken"; readonly detail: string }
  /** The deadline came first; the request may have run. */
  | { readonly kind: "late" }
  /** The caller left; the request may have run. */
  | { readonly kind: "abandoned" };

/** Connections to all backend servers. */
export interface ServerConnections {
  /** Sends a request. Never throws. */
  send(outgoing: OutgoingRequest): Promise<SendResult>;
  /** Whether a further request would find a connection. */
  hasRoom(server: DiscoveredServer): boolean;
  /** Closes idle connections to addresses that no present server has. */
  retain(servers: readonly DiscoveredServer[]): void;
  /** Connections made so far. */
  countOpened(): number;
  /** Closes all connections. */
  close(): void;
}

interface ServerPool {
  readonly agent: Agent;
  inFlight: number;
}

/**
 * Creates the connections. Each carries one request at a time.
 *
 * @param clock - Clock of deadlines and idle times.
 * @param maxConnections - Most connections of this daemon to one server.
 * @returns The connections.
 */
export function createServerConnections(
  clock: Clock,
  maxConnections: (server: DiscoveredServer) => number,
): ServerConnections {
  const pools = new Map<string, ServerPool>();
  const idleSince = new WeakMap<Socket, number>();
  const failedSockets = new WeakSet<Socket>();
  let openedCount = 0;

  return {
    send,
    hasRoom: (server) => getPool(server).inFlight < maxConnections(server),
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
    closeIdle(pool.agent, outgoing.isIdempotent ? MAX_IDLE_MS : MAX_IDLE_UNSAFE_MS);
    pool.inFlight += 1;
    try {
      return await exchange(pool.agent, outgoing);
    } finally {
      pool.inFlight -= 1;
    }
  }

  function exchange(agent: Agent, outgoing: OutgoingRequest): Promise<SendResult> {
    const { server, signal, deadlineAt } = outgoing;
    return new Promise((resolve) => {
      let isConnected = false;
      let isAnswering = false;
      let isSettled = false;
      let cancelConnectTimeout: (() => void) | undefined;
      if (signal.aborted) {
        resolve({ kind: "notSent", detail: "the caller has left" });
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
        settle(isConnected ? { kind: "late" } : { kind: "notSent", detail: "deadline before a connection" });
        resetConnection();
      });
      signal.addEventListener("abort", onAbort);
      clientRequest.on("socket", onSocket);
      clientRequest.on("error", (error) => {
        fail(describeError(error));
      });
      clientRequest.on("response", (answer) => {
        isAnswering = true;
        void receive(answer);
      });
      clientRequest.on("close", () => {
        // With an answer on its way, the answer's own events tell whether it is whole.
        if (!isAnswering) {
          fail("connection closed without an answer");
        }
      });
      clientRequest.end(outgoing.body.byteLength === 0 ? undefined : outgoing.body);

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
        socket.removeListener("data", destroyOnData);
        if (!socket.connecting) {
          isConnected = true;
          return;
        }
        openedCount += 1;
        socket.once("error", () => failedSockets.add(socket));
        cancelConnectTimeout = clock.schedule(CONNECT_TIMEOUT_MS, () => {
          fail("connection timed out");
          clientRequest.destroy();
        });
        socket.once("connect", () => {
          isConnected = true;
          cancelConnectTimeout?.();
        });
      }

      async function receive(answer: IncomingMessage): Promise<void> {
        const { socket } = answer;
        try {
          const body = await readBody(answer);
          // Without a length the body ends with its connection; after a reset nobody knows whether it was whole.
          if (body.kind !== "streamed" && (failedSockets.has(socket) || !answer.complete)) {
            fail("answer broken off");
            return;
          }
          settle({ kind: "answered", message: answer, body, discardConnection: () => socket.destroy() });
        } catch (error) {
          fail(describeError(error));
        }
      }

      /** A plain close would leave the request on its way, to be run when a cut heals. */
      function resetConnection(): void {
        clientRequest.socket?.resetAndDestroy();
        clientRequest.destroy();
      }

      function fail(detail: string): void {
        settle(isConnected ? { kind: "broken", detail } : { kind: "notSent", detail });
      }

      function settle(result: SendResult): void {
        if (isSettled) {
          return;
        }
        isSettled = true;
        cancelDeadline();
        cancelConnectTimeout?.();
        signal.removeEventListener("abort", onAbort);
        resolve(result);
      }
    });
  }

  function getPool(server: DiscoveredServer): ServerPool {
    const address = formatAddress(server.address);
    let pool = pools.get(address);
    if (pool === undefined) {
      pool = { agent: createAgent(), inFlight: 0 };
      pools.set(address, pool);
    }
    return pool;
  }

  function createAgent(): Agent {
    const agent = new Agent({ keepAlive: true, scheduling: "lifo", noDelay: true });
    agent.on("free", (socket: Socket) => {
      idleSince.set(socket, clock.now());
      // Data without a pending request means that the connection is out of step.
      socket.on("data", destroyOnData);
    });
    return agent;
  }

  function closeIdle(agent: Agent, maxIdleMs: number): void {
    const now = clock.now();
    for (const sockets of Object.values(agent.freeSockets)) {
      for (const socket of [...(sockets ?? [])]) {
        if (now - (idleSince.get(socket) ?? now) > maxIdleMs) {
          socket.destroy();
        }
      }
    }
  }
}

function destroyOnData(this: Socket): void {
  this.destroy();
}

/** Reads an answer until its end, or until it is too long to be held. */
function readBody(answer: IncomingMessage): Promise<AnswerBody> {
  return new Promise((resolve, reject) => {
    const chunks: Buffer[] = [];
    let bytes = 0;
    const onData = (chunk: Buffer) => {
      chunks.push(chunk);
      bytes += chunk.byteLength;
      if (bytes > MAX_BUFFERED_ANSWER_BYTES) {
        answer.pause();
        answer.removeListener("data", onData);
        resolve({ kind: "streamed", head: chunks, rest: answer });
      }
    };
    answer.on("data", onData);
    answer.once("end", () => {
      resolve({ kind: isFramed(answer) ? "whole" : "unframed", content: Buffer.concat(chunks, bytes) });
    });
    answer.once("error", reject);
    answer.once("close", () => {
      reject(new Error("answer broken off"));
    });
  });
}

const STATUS_WITHOUT_BODY: ReadonlySet<number> = new Set([204, 304]);

function isFramed(answer: IncomingMessage): boolean {
  const { headers, statusCode = 0 } = answer;
  const hasLength = headers["content-length"] !== undefined || headers["transfer-encoding"] !== undefined;
  return hasLength || STATUS_WITHOUT_BODY.has(statusCode);
}
