/** Stand-in for the users' object store: conditional updates, lists, watches, and faults for each daemon. */
import { type IncomingMessage, type Server, type ServerResponse, createServer } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { WireHeader, WirePath } from "../../platform/wireNames";
import { readText, reply } from "../http";

const HOST = "127.0.0.1";
const HISTORY_RETENTION_MS = 20_000;
/** Copies that are older than this are dropped, except the newest of them. */
const COPY_RETENTION_MS = 20_000;
const MAX_WRITE_DELAY_MS = 3000;
const MILLISECONDS_PER_SECOND = 1000;
/** Responses take turns on a slow link in pieces of this size. */
const PIECE_BYTES = 16_384;
/** HTTP status codes of the store's responses. */
const Status = { Ok: 200, Created: 201, NotFound: 404, Conflict: 409, Gone: 410, Busy: 503 } as const;

/** Faults that can be injected at an endpoint. */
export const StoreFault = {
  None: "none",
  /** Calls take no effect and get no response. */
  Silent: "silent",
  /** Calls take no effect and are rejected with 503. */
  Busy: "busy",
  /** Writes take effect, half of them late, but get no response. */
  LostAnswers: "lost answers",
  /** Calls are handled 200 ms late. */
  Slow: "slow",
} as const;
export type StoreFault = (typeof StoreFault)[keyof typeof StoreFault];

interface StoredRecord {
  readonly metadata: { readonly name: string; readonly rev: number; readonly createRevision: number };
  readonly spec: unknown;
}

interface HistoryEvent {
  readonly kind: string;
  readonly rev: number;
  readonly at: number;
  readonly object: StoredRecord;
  readonly deleted: boolean;
}

type ObjectTable = ReadonlyMap<string, ReadonlyMap<string, StoredRecord>>;

/** The store's state after a change, from which it can be restored. */
interface Copy {
  readonly at: number;
  readonly rev: number;
  readonly objectsByKind: ObjectTable;
}

/** Result of a call. */
interface CallResult {
  readonly status: number;
  readonly body: unknown;
}

/** An endpoint of the store, used by a single daemon. */
export interface StoreEndpoint {
  readonly port: number;
  setFault(fault: StoreFault): void;
  /** Returns whether the endpoint had no fault for `ms`. */
  isHealthyFor(ms: number): boolean;
}

/** An object store in memory. */
export interface EdgeObjectStore {
  /** Opens an endpoint that has a fault setting of its own, and answers at most `bytesPerSecond`. */
  openEndpoint(bytesPerSecond?: number): Promise<StoreEndpoint>;
  /** Writes an object unconditionally, as operators and backend servers do. */
  put(kind: string, name: string, spec: unknown): void;
  remove(kind: string, name: string): void;
  /** Discards the event history, so that watchers must list again. */
  compact(): void;
  /**
   * Goes back to its state of `ageMs` ago. The revisions since then are given out again, and no history is left.
   * Objects that operators and backend servers have written since are lost until they write them again.
   */
  restore(ageMs: number): void;
  close(): Promise<void>;
}

/**
 * Creates an empty store.
 *
 * @param random - Uniform random numbers in [0, 1), for the delays of late writes.
 * @returns The store.
 */
export function createEdgeObjectStore(random: () => number): EdgeObjectStore {
  let objectsByKind = new Map<string, Map<string, StoredRecord>>();
  let copies: Copy[] = [];
  let era = 1;
  const servers = new Set<Server>();
  const waiters = new Set<() => void>();
  let history: HistoryEvent[] = [];
  let oldestRev = 0;
  let rev = 1;

  return {
    openEndpoint,
    put: (kind, name, spec) => {
      apply(kind, name, spec);
    },
    remove,
    compact: () => {
      history = [];
      oldestRev = rev;
      wakeAll();
    },
    restore,
    close: async () => {
      wakeAll();
      await Promise.all([...servers].map((server) => closeServer(server)));
    },
  };

  async function openEndpoint(bytesPerSecond = Number.POSITIVE_INFINITY): Promise<StoreEndpoint> {
    let fault: StoreFault = StoreFault.None;
    let healthySince = performance.now();
    const send = createPacedSender(bytesPerSecond);
    const server = createServer((request, response) => {
      void handle(request, response, fault, send).catch(() => {
        response.destroy();
      });
    });
    servers.add(server);
    await new Promise<void>((resolve) => server.listen(0, HOST, resolve));
    return {
      port: (server.address() as AddressInfo).port,
      setFault: (next) => {
        fault = next;
        healthySince = performance.now();
      },
      isHealthyFor: (ms) => fault === StoreFault.None && performance.now() - healthySince >= ms,
    };
  }

  async function handle(
    request: IncomingMessage,
    response: ServerResponse,
    fault: StoreFault,
    send: PacedSender,
  ): Promise<void> {
    const body = await readText(request);
    switch (fault) {
      case StoreFault.Silent:
        return;
      case StoreFault.Busy:
        response.setHeader(WireHeader.StoreEra, era);
        reply(response, Status.Busy, {});
        return;
      case StoreFault.Slow:
        await delay(200);
        break;
      case StoreFault.LostAnswers:
        if (request.method !== "GET") {
          await delay(random() < 0.5 ? 0 : random() * MAX_WRITE_DELAY_MS);
          execute(request, body);
          response.destroy();
          return;
        }
        break;
      case StoreFault.None:
        break;
      default:
        fault satisfies never;
    }
    const url = new URL(request.url ?? "/", `http://${HOST}`);
    const isWatch = url.searchParams.has("watch");
    const result = isWatch ? await watch(url, request) : execute(request, body);
    response.setHeader(WireHeader.StoreEra, era);
    await send(response, result.status, result.body);
  }

  function execute(request: IncomingMessage, text: string): CallResult {
    const url = new URL(request.url ?? "/", `http://${HOST}`);
    const [kind = "", name] = url.pathname
      .slice(WirePath.Objects.length + 1)
      .split("/")
      .map(decodeURIComponent);
    if (request.method === "GET") {
      return name === undefined ? list(kind) : read(kind, name);
    }
    const object = JSON.parse(text) as { metadata: { name: string; rev?: number }; spec: unknown };
    return request.method === "POST" ? create(kind, object) : replace(kind, object);
  }

  function list(kind: string) {
    const items = [...(objectsByKind.get(kind)?.values() ?? [])];
    return { status: Status.Ok, body: { items, more: false, currentRev: rev } };
  }

  function read(kind: string, name: string) {
    const found = objectsByKind.get(kind)?.get(name);
    return found === undefined ? { status: Status.NotFound, body: {} } : { status: Status.Ok, body: found };
  }

  function create(kind: string, object: { metadata: { name: string }; spec: unknown }) {
    const current = objectsByKind.get(kind)?.get(object.metadata.name);
    return current === undefined
      ? { status: Status.Created, body: apply(kind, object.metadata.name, object.spec) }
      : { status: Status.Conflict, body: current };
  }

  function replace(kind: string, object: { metadata: { name: string; rev?: number }; spec: unknown }) {
    const { name, rev: expected } = object.metadata;
    const current = objectsByKind.get(kind)?.get(name);
    if (current === undefined) {
      return { status: Status.NotFound, body: {} };
    }
    return current.metadata.rev === expected
      ? { status: Status.Ok, body: apply(kind, name, object.spec) }
      : { status: Status.Conflict, body: current };
  }

  async function watch(url: URL, request: IncomingMessage): Promise<CallResult> {
    const kind = decodeURIComponent(url.pathname.slice(WirePath.Objects.length + 1));
    const since = Number(url.searchParams.get("watch"));
    const endAt = performance.now() + Number(url.searchParams.get("waitMs"));
    request.socket.once("close", wakeAll);
    try {
      return await waitForEvents(kind, since, endAt, request.socket);
    } finally {
      request.socket.removeListener("close", wakeAll);
    }
  }

  async function waitForEvents(
    kind: string,
    since: number,
    endAt: number,
    socket: Socket,
  ): Promise<CallResult> {
    for (;;) {
      if (since < oldestRev || since > rev) {
        return { status: Status.Gone, body: {} };
      }
      const events = history.filter((event) => event.kind === kind && event.rev > since);
      if (events.length > 0 || performance.now() >= endAt || socket.destroyed) {
        return { status: Status.Ok, body: { events, currentRev: rev } };
      }
      await waitForChange(endAt - performance.now());
    }
  }

  function apply(kind: string, name: string, spec: unknown): StoredRecord {
    const objects = objectsByKind.get(kind) ?? new Map<string, StoredRecord>();
    objectsByKind.set(kind, objects);
    rev += 1;
    const createRevision = objects.get(name)?.metadata.createRevision ?? rev;
    const object = { metadata: { name, rev, createRevision }, spec };
    objects.set(name, object);
    recordEvent(kind, object, false);
    keepCopy();
    return object;
  }

  function remove(kind: string, name: string): void {
    const current = objectsByKind.get(kind)?.get(name);
    if (current !== undefined) {
      objectsByKind.get(kind)?.delete(name);
      rev += 1;
      recordEvent(kind, { ...current, metadata: { ...current.metadata, rev } }, true);
      keepCopy();
    }
  }

  function keepCopy(): void {
    const at = performance.now();
    const firstKept = copies.findLastIndex((copy) => at - copy.at >= COPY_RETENTION_MS);
    copies = [...copies.slice(Math.max(0, firstKept)), { at, rev, objectsByKind: copyTable(objectsByKind) }];
  }

  function restore(ageMs: number): void {
    const restoredAt = performance.now() - ageMs;
    const copy = copies.findLast(({ at }) => at <= restoredAt) ?? copies[0];
    if (copy === undefined) {
      throw new RangeError("the store holds no copy to go back to");
    }
    objectsByKind = copyTable(copy.objectsByKind);
    ({ rev } = copy);
    copies = copies.filter(({ at }) => at <= copy.at);
    era += 1;
    history = [];
    oldestRev = rev;
    wakeAll();
  }

  function recordEvent(kind: string, object: StoredRecord, deleted: boolean): void {
    const at = performance.now();
    history = history.filter((event) => at - event.at < HISTORY_RETENTION_MS);
    history.push({ kind, rev, at, object, deleted });
    oldestRev = Math.max(oldestRev, (history[0]?.rev ?? rev) - 1);
    wakeAll();
  }

  function waitForChange(maxMs: number): Promise<void> {
    return new Promise((resolve) => {
      const finish = () => {
        clearTimeout(timer);
        waiters.delete(finish);
        resolve();
      };
      const timer = setTimeout(finish, maxMs);
      waiters.add(finish);
    });
  }

  function wakeAll(): void {
    [...waiters].forEach((wake) => {
      wake();
    });
  }
}

function copyTable(table: ObjectTable): Map<string, Map<string, StoredRecord>> {
  return new Map([...table].map(([kind, objects]) => [kind, new Map(objects)]));
}

type PacedSender = (response: ServerResponse, status: number, body: unknown) => Promise<void>;

/** Creates a sender of JSON responses that share a link: together they send at most `bytesPerSecond`. */
function createPacedSender(bytesPerSecond: number): PacedSender {
  let linkFreeAt = 0;
  return async (response, status, body) => {
    const content = Buffer.from(JSON.stringify(body));
    response.writeHead(status, {
      "content-type": "application/json",
      "content-length": String(content.byteLength),
    });
    for (let sent = 0; sent < content.byteLength && !response.destroyed; sent += PIECE_BYTES) {
      const piece = content.subarray(sent, sent + PIECE_BYTES);
      linkFreeAt =
        Math.max(linkFreeAt, performance.now()) +
        (piece.byteLength / bytesPerSecond) * MILLISECONDS_PER_SECOND;
      const waitMs = linkFreeAt - performance.now();
      if (waitMs > 1) {
        await delay(waitMs);
      }
      response.write(piece);
    }
    response.end();
  };
}

function delay(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

function closeServer(server: Server): Promise<void> {
  return new Promise((resolve) => {
    server.close(() => {
      resolve();
    });
    server.closeAllConnections();
  });
}
