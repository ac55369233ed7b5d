/** Stand-in for the users' backend servers: slots, queue, key grants, draining, crashes and run records. */
import { type IncomingMessage, type Server, type ServerResponse, createServer } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { StoreKind, WireHeader, WirePath } from "../../platform/wireNames";
import { readText, reply } from "../http";
import type { EdgeObjectStore } from "./objectStore";

const HOST = "127.0.0.1";
const HEARTBEAT_INTERVAL_MS = 800;
const REGISTRATION_TTL_MS = 3 * HEARTBEAT_INTERVAL_MS;
const MILLISECONDS_PER_SECOND = 1000;
const MAX_QUEUED_PER_SLOT = 4;

const Status = { Ok: 200, NotRun: 503, Fenced: 409, Misdirected: 421 } as const;

/** Properties of a server to start. */
export interface EdgeServerOptions {
  readonly name: string;
  readonly service: string;
  readonly dataCentre: string;
  readonly slots: number;
  readonly workMs: number;
  readonly isKeyed: boolean;
  /** Length of each answer in bytes. */
  readonly answerBytes: number;
}

/** A key range and its fencing token. */
interface HeldRange {
  readonly from: number;
  readonly to: number;
  readonly token: number;
  /** End of the grant on the clock of `performance.now()`; 0 and unused in the tokens seen so far. */
  readonly validUntil: number;
}

/** A request that a server has started to process. */
export interface RunRecord {
  readonly requestId: string;
  readonly server: string;
  /** Start of the server's process. */
  readonly bornAt: number;
  /** Whether the server says in the answer that it is leaving. */
  readonly saysLeaving: boolean;
  readonly service: string;
  readonly isUnsafe: boolean;
  /** When the server read the request, which may then have waited in its queue. */
  readonly arrivedAt: number;
  readonly at: number;
  /** When the server announced that it is draining; undefined when it had not. */
  readonly drainingSince: number | undefined;
  /** The limit that the server named when the request arrived; undefined when it named none. */
  readonly rateLimit: RateLimit | undefined;
  /** The organisation that the request named; undefined when it named none. */
  readonly organisation: string | undefined;
  /** Whether the request carried an API key, which only daemons should see. */
  readonly hasApiKey: boolean;
}

/** A limit of requests per second, and since when a server has named it. */
export interface RateLimit {
  readonly requestsPerSecond: number;
  readonly since: number;
}

/** A refusal with which a server asks a daemon for no requests for a time. */
export interface BackOffRecord {
  readonly requestId: string;
  readonly server: string;
  readonly at: number;
  readonly durationMs: number;
}

/** Callbacks for events at the servers. */
export interface ServerObserver {
  onRunStarted(run: RunRecord): void;
  onBackOff(backOff: BackOffRecord): void;
  /** Called when a server is granted a key that another server still owns. */
  onOwnershipConflict(detail: string): void;
}

/** A server in the process of the soak, which simulates its crashes and restarts. */
export interface EdgeServer {
  readonly options: EdgeServerOptions;
  /** Announces that the server is draining. */
  drain(): void;
  /** Says in all answers that the server is leaving, while its entry says that it is ready. */
  sayLeaving(): void;
  /** Refuses all requests for a time, in seconds, and asks for none until its end. */
  backOff(seconds: number): void;
  /** Names a limit of requests per second in all answers, or none if undefined. */
  setRateLimit(requestsPerSecond: number | undefined): void;
  /** Stops without notice: resets connections and lets the entry expire. Does nothing when not up. */
  crash(): Promise<void>;
  /** Starts again with the same name, as a new process without grants would. Does nothing while up. */
  restart(): Promise<void>;
  isUp(): boolean;
  /** Writes its entry again after the store was restored; that of a server that is not up expires. */
  recordStoreRestore(): void;
  /** Returns whether the server owns a key at the given time. */
  isOwner(key: number, now: number): boolean;
  /** Registers the server with a port, which may be that of a proxy in front of it. */
  advertise(port: number): void;
  readonly getPort: () => number;
  /** Stops the server and its heartbeats for good. */
  close(): Promise<void>;
}

/**
 * Starts a server.
 *
 * @param options - Properties of the server.
 * @param store - Object store in which the server registers.
 * @param getSiblings - Returns all servers of the deployment, to detect keys that two of them own.
 * @param observer - Callbacks for runs and for keys with two owners.
 * @returns The server; it registers when its port is advertised.
 */
export async function startEdgeServer(
  options: EdgeServerOptions,
  store: EdgeObjectStore,
  getSiblings: () => readonly EdgeServer[],
  observer: ServerObserver,
): Promise<EdgeServer> {
  let bornAt = Date.now();
  let heldRanges: HeldRange[] = [];
  let seenTokens: HeldRange[] = [];
  let running = 0;
  let queue: (() => void)[] = [];
  let sequence = 0;
  let drainingSince: number | undefined;
  let isUp = true;
  let rateLimit: RateLimit | undefined;
  let saysLeaving = false;
  /** End of the time for which no requests are wanted. */
  let backOffUntil = 0;
  let advertisedPort: number | undefined;
  let expiryTimer: NodeJS.Timeout | undefined;
  const sockets = new Set<Socket>();
  let server = await listen(0);
  const address = server.address() as AddressInfo;
  const heartbeat = setInterval(register, HEARTBEAT_INTERVAL_MS);
  heartbeat.unref();

  const self: EdgeServer = {
    options,
    getPort: () => address.port,
    isUp: () => isUp,
    isOwner: (key, now) =>
      isUp && heldRanges.some((range) => range.from <= key && key <= range.to && range.validUntil > now),
    advertise: (port) => {
      advertisedPort = port;
      register();
    },
    drain: () => {
      drainingSince = performance.now();
      register();
    },
    sayLeaving: () => {
      saysLeaving = true;
    },
    backOff: (seconds) => {
      backOffUntil = performance.now() + seconds * MILLISECONDS_PER_SECOND;
    },
    setRateLimit: (requestsPerSecond) => {
      rateLimit =
        requestsPerSecond === undefined ? undefined : { requestsPerSecond, since: performance.now() };
    },
    crash: async () => {
      if (!isUp) {
        return;
      }
      await stop();
      expireRegistration();
    },
    recordStoreRestore: () => {
      if (isUp) {
        register();
      } else {
        expireRegistration();
      }
    },
    close: async () => {
      clearInterval(heartbeat);
      clearTimeout(expiryTimer);
      if (isUp) {
        await stop();
      }
    },
    restart: async () => {
      if (isUp) {
        return;
      }
      clearTimeout(expiryTimer);
      heldRanges = [];
      seenTokens = [];
      queue = [];
      running = 0;
      drainingSince = undefined;
      rateLimit = undefined;
      saysLeaving = false;
      backOffUntil = 0;
      bornAt = Date.now();
      server = await listen(address.port);
      isUp = true;
      register();
    },
  };
  return self;

  function expireRegistration(): void {
    clearTimeout(expiryTimer);
    expiryTimer = setTimeout(() => {
      store.remove(StoreKind.Servers, options.name);
    }, REGISTRATION_TTL_MS);
    expiryTimer.unref();
  }

  async function stop(): Promise<void> {
    isUp = false;
    const closed = new Promise<void>((resolve) => {
      server.close(() => {
        resolve();
      });
    });
    sockets.forEach((socket) => socket.resetAndDestroy());
    await closed;
  }

  function listen(port: number): Promise<Server> {
    const created = createServer((request, response) => {
      void handle(request, response).catch(() => {
        response.destroy();
      });
    });
    created.on("connection", (socket: Socket) => {
      sockets.add(socket);
      socket.once("close", () => sockets.delete(socket));
    });
    return new Promise((resolve, reject) => {
      created.once("error", reject);
      created.listen(port, HOST, () => {
        resolve(created);
      });
    });
  }

  function register(): void {
    if (!isUp || advertisedPort === undefined) {
      return;
    }
    sequence += 1;
    store.put(StoreKind.Servers, options.name, {
      address: `${HOST}:${advertisedPort}`,
      born: bornAt,
      info: { service: options.service, version: "v1", zone: options.dataCentre, capacity: options.slots },
      status: {
        state: drainingSince === undefined ? "ready" : "draining",
        seq: sequence,
        warmupLeftS: 0,
      },
    });
  }

  async function handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const expected = request.headers[WireHeader.ExpectedServer];
    const text = await readText(request);
    if (expected !== undefined && expected !== options.name) {
      reply(response, Status.Misdirected, {});
      return;
    }
    if (request.url === WirePath.Grant) {
      reply(response, grant(JSON.parse(text) as GrantCall), {});
      return;
    }
    if (request.url === WirePath.Release) {
      await release(JSON.parse(text) as GrantCall);
      response.setHeader(WireHeader.Handover, "h");
      reply(response, Status.Ok, {});
      return;
    }
    await handleWork(request, response);
  }

  interface GrantCall {
    readonly from: number;
    readonly to: number;
    readonly fence: number;
    readonly holdS: number;
  }

  function grant({ from, to, fence, holdS }: GrantCall): number {
    if (seenTokens.some((seen) => seen.from <= to && seen.to >= from && seen.token > fence)) {
      return Status.Fenced;
    }
    const now = performance.now();
    // Checks only the ends and the middle of the range, not each of its keys.
    for (const sibling of getSiblings()) {
      const isOtherServerOfService = sibling !== self && sibling.options.service === options.service;
      const key = isOtherServerOfService
        ? [from, to, (from + to) >> 1].find((each) => sibling.isOwner(each, now))
        : undefined;
      if (key !== undefined) {
        observer.onOwnershipConflict(
          `${options.name} was granted key ${key} with fencing token ${fence}, but ${sibling.options.name} owns it`,
        );
      }
    }
    const validUntil = now + holdS * MILLISECONDS_PER_SECOND;
    heldRanges = [...subtractRange(heldRanges, from, to), { from, to, token: fence, validUntil }];
    recordToken(from, to, fence);
    return Status.Ok;
  }

  /** Releases a key range; resolves when no request runs at the server. */
  async function release({ from, to, fence }: GrantCall): Promise<void> {
    heldRanges = subtractRange(heldRanges, from, to);
    recordToken(from, to, fence);
    while (running > 0 && isUp) {
      await new Promise((resolve) => setTimeout(resolve, 10));
    }
  }

  function recordToken(from: number, to: number, token: number): void {
    seenTokens = [...seenTokens.filter((seen) => seen.token > token || seen.from < from || seen.to > to)];
    seenTokens.push({ from, to, token, validUntil: 0 });
  }

  async function handleWork(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const requestId = String(request.headers[WireHeader.RequestId] ?? "");
    const key = Number(request.headers[WireHeader.Key]);
    const arrivedAt = performance.now();
    const rateLimitOnArrival = rateLimit;
    response.setHeader(WireHeader.RequestId, requestId);
    response.setHeader(WireHeader.Load, `${running},${queue.length},${options.slots}`);
    if (saysLeaving) {
      response.setHeader(WireHeader.Leaving, "1");
    }
    const backOffMs = backOffUntil - arrivedAt;
    if (backOffMs > 0) {
      observer.onBackOff({ requestId, server: options.name, at: arrivedAt, durationMs: backOffMs });
      response.setHeader(WireHeader.RetryAfter, (backOffMs / MILLISECONDS_PER_SECOND).toFixed(3));
      refuse(response, Status.NotRun);
      return;
    }
    if (rateLimit !== undefined) {
      response.setHeader(WireHeader.RateLimit, rateLimit.requestsPerSecond);
    }
    if (options.isKeyed && !self.isOwner(key, performance.now())) {
      refuse(response, Status.Misdirected);
      return;
    }
    if (queue.length >= options.slots * MAX_QUEUED_PER_SLOT) {
      refuse(response, Status.NotRun);
      return;
    }
    if (running >= options.slots) {
      await new Promise<void>((resolve) => queue.push(resolve));
    }
    if (response.destroyed || !isUp) {
      startNext();
      return;
    }
    if (options.isKeyed && !self.isOwner(key, performance.now())) {
      startNext();
      refuse(response, Status.Misdirected);
      return;
    }
    running += 1;
    observer.onRunStarted({
      requestId,
      server: options.name,
      bornAt,
      saysLeaving,
      service: options.service,
      isUnsafe: request.method === "POST",
      arrivedAt,
      at: performance.now(),
      drainingSince,
      rateLimit: rateLimitOnArrival,
      organisation: request.headers[WireHeader.Tenant]?.toString(),
      hasApiKey: request.headers[WireHeader.Authorization] !== undefined,
    });
    const bornAtRunStart = bornAt;
    await new Promise((resolve) => setTimeout(resolve, options.workMs * (0.5 + Math.random())));
    // A restart in the meantime has reset `running` and the queue.
    if (bornAtRunStart === bornAt) {
      running -= 1;
      startNext();
    }
    response.setHeader(WireHeader.Signature, `signed-${requestId}`);
    response.end(createAnswer(requestId, options.answerBytes));
  }

  function refuse(response: ServerResponse, status: number): void {
    response.setHeader(WireHeader.NotRun, "1");
    reply(response, status, {});
  }

  function startNext(): void {
    queue.shift()?.();
  }
}

function subtractRange(ranges: readonly HeldRange[], from: number, to: number): HeldRange[] {
  return ranges.flatMap((range) =>
    [
      { ...range, to: Math.min(range.to, from - 1) },
      { ...range, from: Math.max(range.from, to + 1) },
    ].filter((part) => part.from <= part.to && (part.to < from || part.from > to)),
  );
}

/**
 * Creates the answer to a request. It repeats the request id, so that callers can verify it.
 *
 * @param requestId - Id of the request.
 * @param bytes - Length of the answer in bytes.
 * @returns The answer.
 */
export function createAnswer(requestId: string, bytes: number): Buffer {
  return Buffer.alloc(bytes, `${requestId};`);
}
