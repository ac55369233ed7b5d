/** A daemon's shutdown with its real server for callers; a test supplies the rest and advances the clock. */
import { type Socket, connect, createServer } from "node:net";
import type { AddressInfo } from "node:net";
import { CONFIGURATION_PATH } from "../../src/configuration";
import { type GracefulShutdownOptions, shutDownGracefully } from "../../src/daemon/gracefulShutdown";
import { createCounters, silentLogger } from "../../src/observability";
import type { Membership } from "../../src/membership";
import { PEER_PROTOCOL, type PeerHandlers, type Peers, createPeers } from "../../src/peers";
import { type CallerServer, type Router, createCallerServer } from "../../src/routing";
import { createSnapshotStore } from "../../src/snapshots";
import {
  type Address,
  type Body,
  type WorkHandler,
  type WorkResult,
  sleep,
  systemClock,
} from "../../src/types";
import { type FakeClock, createFakeClock } from "./fakeClock";

const SHUTDOWN_TIMEOUT_MS = 30_000;
const STEP_MS = 20;
const HEAD_END = "\r\n\r\n";
const source = {
  data_centres: {},
  services: { desk: { divided_by_key: true }, slow: { divided_by_key: true } },
  servers: {},
};

/** Peer addresses by daemon. */
const addresses = new Map<string, Address>();

/** A daemon that can be shut down. */
export interface StoppingDaemon {
  readonly clock: FakeClock;
  readonly port: number;
  readonly callers: CallerServer;
  /** Targets of the routed requests, in order. */
  readonly routed: string[];
  /** Starts the shutdown. Subsystems that `overrides` does not name do nothing, at once. */
  stop(overrides?: Partial<GracefulShutdownOptions>): void;
  /** Returns whether the shutdown has ended. */
  hasStopped(): boolean;
  /** Advances the clock, step by step, until a condition holds. */
  advanceUntil(isMet: () => boolean): Promise<void>;
}

/**
 * Starts the server for callers of a daemon.
 *
 * @param router - Answers the requests.
 * @returns The daemon.
 */
export async function startStoppingDaemon(router: Router): Promise<StoppingDaemon> {
  const clock = createFakeClock();
  const counters = createCounters("test");
  const snapshots = createSnapshotStore(silentLogger, counters);
  snapshots.apply({ path: CONFIGURATION_PATH, version: 1, value: { number: 1, author: "a", source } });
  const routed: string[] = [];
  const port = await findFreePort();
  const callers = await createCallerServer({
    address: { host: "127.0.0.1", port },
    router: (request, body, signal) => {
      routed.push(request.target);
      return router(request, body, signal);
    },
    snapshots,
    clock,
    logger: silentLogger,
    counters,
  });
  let hasStopped = false;
  const idle = {
    clock,
    logger: silentLogger,
    membership: { setLeaving: () => undefined, leave: () => undefined },
    leases: { all: () => [], handOver: () => Promise.resolve(), stop: () => Promise.resolve() },
    snapshots,
    callers,
    dispatcher: { countInFlight: () => 0, drain: () => undefined },
    peers: { countUnfinished: () => 0, readArrived: () => Promise.resolve() },
    timeoutMs: SHUTDOWN_TIMEOUT_MS,
    logHandoverError: () => undefined,
    stopSubsystems: () => Promise.resolve(),
  } as unknown as GracefulShutdownOptions;

  return {
    clock,
    port,
    callers,
    routed,
    stop: (overrides = {}) => {
      void shutDownGracefully({ ...idle, ...overrides }).then(() => {
        hasStopped = true;
      });
    },
    hasStopped: () => hasStopped,
    advanceUntil: async (isMet) => {
      while (!isMet()) {
        await clock.advance(STEP_MS);
      }
    },
  };
}

/** A caller on a raw TCP connection. */
export interface RawCaller {
  readonly socket: Socket;
  /** Sends a GET request, at once if the connection is open. */
  send(path: string, field?: string): void;
  /** Returns what was received so far. */
  received(): string;
  /** Counts the bytes after the first head. */
  countBodyBytes(): number;
  /** Returns whether the connection was closed or reset. */
  isClosed(): boolean;
}

/**
 * Connects a caller. It reads what it receives until its socket is paused.
 *
 * @param port - Port of the server for callers.
 * @returns The caller, whose connection may not be open yet.
 */
export function connectCaller(port: number): RawCaller {
  const socket = connect(port, "127.0.0.1");
  const chunks: Buffer[] = [];
  let bytes = 0;
  socket.on("data", (chunk: Buffer) => {
    bytes += chunk.byteLength;
    chunks.push(chunk);
  });
  socket.on("error", () => undefined);
  return {
    socket,
    send: (path, field = "accept: a") =>
      socket.write(`GET ${path} HTTP/1.1\r\nHost: a.example\r\n${field}\r\n\r\n`),
    received: () => Buffer.concat(chunks).toString("latin1"),
    countBodyBytes: () => bytes - (chunks[0]?.indexOf(HEAD_END) ?? 0) - HEAD_END.length,
    isClosed: () => socket.destroyed,
  };
}

/**
 * Listens for other daemons.
 *
 * @param daemon - Name of the daemon.
 * @param handleWork - Executes the requests that others forward.
 * @returns The connections.
 */
export async function startStoppingPeer(daemon: string, handleWork: WorkHandler): Promise<Peers> {
  const address = { host: "127.0.0.1", port: await findFreePort() };
  addresses.set(daemon, address);
  const handlers: Partial<PeerHandlers> = {
    handleWork,
    listOwnStatuses: () => [],
    applyStatuses: () => undefined,
  };
  return createPeers({
    hello: {
      kind: "hello",
      protocol: PEER_PROTOCOL,
      cluster: "test",
      daemon,
      incarnation: 1,
      dataCentre: "north",
      release: "0",
    },
    address,
    membership: {
      get: (name: string) => ({ address: addresses.get(name) }),
      probeNow: () => undefined,
    } as unknown as Membership,
    handlers: handlers as PeerHandlers,
    clock: systemClock,
    logger: silentLogger,
    counters: createCounters("test"),
  });
}

/** Returns the port on which a daemon listens for others. */
export function getPeerPort(daemon: string): number {
  return addresses.get(daemon)?.port ?? 0;
}

/** Creates the answer of a backend server with a body. */
export function createBodyAnswer(body: Body, headers: Record<string, string> = {}): WorkResult {
  const load = { inFlight: 0, queued: 0, limit: 1, latencyMs: 1 };
  return { kind: "answer", answer: { status: 200, headers, body, load } };
}

/** Waits, without advancing any clock of a test, until a condition holds. */
export async function waitUntil(isMet: () => boolean): Promise<void> {
  while (!isMet()) {
    await sleep(systemClock, 1);
  }
}

function findFreePort(): Promise<number> {
  return new Promise((resolve) => {
    const probe = createServer().listen(0, "127.0.0.1", () => {
      const { port } = probe.address() as AddressInfo;
      probe.close(() => {
        resolve(port);
      });
    });
  });
}
