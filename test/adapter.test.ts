/** Adapter for the users' platform: what it decodes, rejects and sends. */
import { mkdtempSync, writeFileSync } from "node:fs";
import { type IncomingMessage, type Server, type ServerResponse, createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { afterEach, describe, expect, test, vi } from "vitest";
import { decodeConfiguration, decodeServer } from "../platform/decoding";
import { createWireKeyControl } from "../platform/keyControl";
import { createWireObjectStore } from "../platform/objectStore";
import { wireCallerProtocol, wireServerProtocol } from "../platform/protocols";
import { loadEdgeSettings } from "../platform/settings";
import { type DiscoveredServer, ServerPhase } from "../src/discovery";
import { HistoryGoneError, PlatformUnavailableError } from "../src/errors";
import { CallPriority } from "../src/objectStore";
import { createFakeClock, flushPromises } from "./support/fakeClock";
import { createEndlessAnswer, startRawServer } from "./support/rawServer";

const settings = `
[self]
nodeName = "edge-a-1"
zone = "a"
ip = "127.0.0.1"
[self.limits]
cpuShare = 0.675
cpus = 2
[network]
portRange = [7540, 7555]
[network.listen]
http = "127.0.0.1:80"
readiness = "127.0.0.1:81"
[provider.provider]
address = "127.0.0.1:82"
writesPerS = 400
readsPerS = 2000
[terms.bounds]
drainS = 2
graceS = 6
retryRatio = 0.2
retryWindowS = 10
retrySlack = 64
holdMaxS = 10
`;

describe("settings", () => {
  function load(text: string) {
    const file = join(mkdtempSync(join(tmpdir(), "settings-")), "node.toml");
    writeFileSync(file, text);
    return loadEdgeSettings(file);
  }

  test("durations are decoded to milliseconds, and unknown fields are ignored", () => {
    const loaded = load(`${settings}\nnewField = 1`);
    expect(loaded.limits).toMatchObject({ gracePeriodMs: 6000, maxGrantMs: 10_000, retryWindowMs: 10_000 });
    expect(loaded.limits.allowances).toEqual({ windowMs: 5000, excess: 1.1, slack: 20 });
    expect(loaded.peers).toEqual({ host: "127.0.0.1", port: 7540 });
  });

  // Guards against a daemon that does not start, or a bound below the allowance, when the excess is given as a part.
  test.each([
    [1.1, 1.1],
    [0.1, 1.1],
    [0, 1],
    [1, 1],
  ])("an excess of %d is the multiple %d", (quotaExcess, excess) => {
    const text = `${settings}quotaWindowS = 4\nquotaExcess = ${quotaExcess}\nquotaSlack = 7\n`;
    expect(load(text).limits.allowances).toEqual({ windowMs: 4000, excess, slack: 7 });
  });

  const invalidSettings: readonly (readonly [name: string, text: string, message: RegExp])[] = [
    ["a missing field", settings.replace('zone = "a"\n', ""), /self\.zone/],
    ["a field of another type", settings.replace("graceS = 6", 'graceS = "6"'), /terms\.bounds\.graceS/],
    [
      "an address without port",
      settings.replace("127.0.0.1:81", "127.0.0.1"),
      /readiness: must be HOST:PORT/,
    ],
    ["a file that is not TOML", "[[[", /read .*node\.toml/],
  ];
  test.each(invalidSettings)("the error names the place of %s", (_name, text, message) => {
    expect(() => load(text)).toThrow(message);
  });
});

/** Nests arrays so deep that a recursive reader would exceed its stack. */
function nest(depth: number): unknown {
  return JSON.parse("[".repeat(depth) + "]".repeat(depth));
}

describe("server entries", () => {
  const entry = {
    address: "10.0.0.1:8080",
    born: 1777,
    info: { service: "desk", version: "v1", zone: "a", capacity: 4 },
    status: { state: "ready", seq: 1, warmupLeftS: 1.5 },
  };

  test("an entry is decoded", () => {
    expect(decodeServer("s1", entry)).toEqual({
      name: "s1",
      bornAt: 1777,
      service: "desk",
      address: { host: "10.0.0.1", port: 8080 },
      dataCentre: "a",
      slots: 4,
      phase: ServerPhase.Ready,
      sequence: 1,
      coldForMs: 1500,
    });
  });

  const invalidEntries: readonly (readonly [name: string, entry: unknown])[] = [
    ["no address", { ...entry, address: undefined }],
    ["an address without port", { ...entry, address: "10.0.0.1" }],
    ["a start time with a fraction", { ...entry, born: 1.5 }],
    ["an unknown state", { ...entry, status: { ...entry.status, state: "resting" } }],
    ["slots as a string", { ...entry, info: { ...entry.info, capacity: "4" } }],
    ["slots beyond any machine", { ...entry, info: { ...entry.info, capacity: 9e15 } }],
    ["a port out of range", { ...entry, address: "10.0.0.1:70000" }],
    ["port 0", { ...entry, address: "10.0.0.1:0" }],
    ["a host with spaces", { ...entry, address: "10.0.0.1 x:80" }],
    ["a cold start without end", { ...entry, status: { ...entry.status, warmupLeftS: 1e300 } }],
    ["a state that is deeply nested", { ...entry, status: { ...entry.status, state: nest(100_000) } }],
    ["nothing but deep nesting", nest(100_000)],
    ["a NUL byte as content", "\u0000"],
    ["no content", undefined],
  ];
  test.each(invalidEntries)("an entry with %s is decoded to no server", (_name, value) => {
    expect(decodeServer("s1", value)).toBeUndefined();
  });
});

describe("configurations", () => {
  const route = {
    type: "routes",
    metadata: { name: "r" },
    spec: {
      host: "h",
      pathPrefix: "/p/",
      kind: "safe",
      timeoutS: 0.8,
      aimS: 0.3,
      attempts: 2,
      service: "desk",
    },
  };
  const service = {
    type: "services",
    metadata: { name: "desk" },
    spec: { maxConns: 130, sharded: true, warmupS: 3, warmupPerS: 13 },
  };
  const limits = {
    type: "limits",
    metadata: {},
    spec: { maxHeaderBytes: 1, maxBodyBytes: 2, headerTimeoutS: 3, idleTimeoutS: 15 },
  };

  test("versions are decoded from hexadecimal, and durations to milliseconds", () => {
    const decoded = decodeConfiguration({ version: "0000001a", resources: [route, service, limits] });
    expect(decoded.version).toBe(26);
    expect(decoded.routes[0]).toMatchObject({
      timeoutMs: 800,
      objectiveMs: 300,
      services: [{ service: "desk" }],
    });
    expect(decoded.services.get("desk")).toMatchObject({ isKeyed: true, coldMs: 3000 });
    expect(decoded.limits.idleTimeoutMs).toBe(15_000);
  });

  const tenant = {
    type: "tenants",
    metadata: { name: "North Line" },
    spec: { apiKeys: ["k1", "k2"], priority: 0, ratePerS: 281, burst: 300 },
  };
  const createTenants = (...tenants: readonly unknown[]) => ({ version: "00000001", resources: tenants });

  test("organisations are decoded with their keys, and are absent without such a resource", () => {
    const free = { type: "tenants", metadata: { name: "f" }, spec: { apiKeys: ["k3"], ratePerS: 0 } };
    const open = { ...route, spec: { ...route.spec, public: true } };
    const decoded = decodeConfiguration(createTenants(tenant, free, open));
    const north = {
      name: "North Line",
      priority: 0,
      allowance: { requestsPerSecond: 281, burst: 300 },
    };
    expect(decoded.organisations?.byKey.get("k2")).toEqual(north);
    expect(decoded.organisations?.byName.get("North Line")).toEqual(north);
    expect(decoded.organisations?.byKey.get("k3")).toEqual({ name: "f", priority: null, allowance: null });
    expect(decoded.routes[0]?.isPublic).toBe(true);
    expect(decodeConfiguration(createTenants(route)).organisations).toBeUndefined();
  });

  const invalidConfigurations: readonly (readonly [name: string, value: unknown])[] = [
    ["a version that is not a number", { version: "latest", resources: [] }],
    [
      "a path prefix without slashes",
      { version: "00000001", resources: [{ ...route, spec: { ...route.spec, pathPrefix: "p" } }] },
    ],
    [
      "an unknown kind of route",
      { version: "00000001", resources: [{ ...route, spec: { ...route.spec, kind: "x" } }] },
    ],
    [
      "zero attempts",
      { version: "00000001", resources: [{ ...route, spec: { ...route.spec, attempts: 0 } }] },
    ],
    [
      "an API key of two organisations",
      createTenants(tenant, { ...tenant, metadata: { name: "b" }, spec: { apiKeys: ["k2"] } }),
    ],
    ["an organisation that appears twice", createTenants(tenant, { ...tenant, spec: { apiKeys: [] } })],
    [
      "an organisation whose name would break a header field",
      createTenants({ ...tenant, metadata: { name: "a\r\nb" } }),
    ],
    ["a negative rate", createTenants({ ...tenant, spec: { apiKeys: [], ratePerS: -1 } })],
    ["no content", undefined],
  ];
  test.each(invalidConfigurations)("a configuration with %s is rejected", (_name, value) => {
    expect(() => decodeConfiguration(value)).toThrow(/routing configuration/);
  });
});

describe("header fields", () => {
  const keys: readonly (readonly [text: string | undefined, key: number | undefined])[] = [
    ["0", 0],
    ["65535", 65_535],
    ["65536", undefined],
    ["-1", undefined],
    ["1.5", undefined],
    ["", undefined],
    ["x", undefined],
    [undefined, undefined],
  ];
  test.each(keys)("key %s is decoded to %s", (text, key) => {
    expect(wireCallerProtocol.read({ "shard-key": text }).key).toBe(key);
  });

  test("refusals carry the retry-after time in seconds with fractions", () => {
    expect(wireCallerProtocol.createRefusalFields("q", 150)).toEqual({
      "request-id": "q",
      "retry-after": "0.150",
    });
    expect(wireCallerProtocol.createRefusalFields(undefined, undefined)).toEqual({});
  });

  const loads: readonly (readonly [text: string, load: unknown])[] = [
    ["3,1,8", { running: 3, waiting: 1, slots: 8, slowness: 1 }],
    ["3,1,8,250", { running: 3, waiting: 1, slots: 8, slowness: 2.5 }],
    ["3,1", undefined],
    ["a,b,c", undefined],
  ];
  test.each(loads)("load report %s is decoded or ignored", (text, load) => {
    expect(wireServerProtocol.read(200, { "instance-load": text }).load).toEqual(load);
  });

  test("a request counts as not run only by the server's header field or status 421", () => {
    expect(wireServerProtocol.read(503, {}).isNotRun).toBe(false);
    expect(wireServerProtocol.read(503, { "not-executed": "1" }).isNotRun).toBe(true);
    expect(wireServerProtocol.read(421, {}).isNotRun).toBe(true);
  });
});

type RequestHandler = (request: IncomingMessage, body: string, response: ServerResponse) => void;

let httpServer: Server | undefined;

afterEach(() => {
  httpServer?.closeAllConnections();
  httpServer?.close();
});

async function startHttpServer(handler: RequestHandler): Promise<number> {
  httpServer = createServer((request, response) => {
    let body = "";
    request.on("data", (chunk: Buffer) => (body += chunk.toString()));
    request.on("end", () => {
      handler(request, body, response);
    });
  });
  const server = httpServer;
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  return (server.address() as AddressInfo).port;
}

describe("object store", () => {
  const object = { metadata: { name: "x", rev: 7 }, spec: { a: 1 } };

  test("a write without base version creates, and one with a base version replaces", async () => {
    const calls: string[] = [];
    const port = await startHttpServer((request, body, response) => {
      calls.push(`${request.method} ${request.url} ${body}`);
      response.end(JSON.stringify(object));
    });
    const store = createWireObjectStore({ host: "127.0.0.1", port });
    await store.write("kind/x", { a: 1 }, 0, CallPriority.Ownership);
    await store.write("kind/x", { a: 1 }, 5, CallPriority.Ownership);
    expect(calls).toEqual([
      'POST /hemlockbank/objects/kind {"metadata":{"name":"x"},"spec":{"a":1}}',
      'PUT /hemlockbank/objects/kind/x {"metadata":{"name":"x","rev":5},"spec":{"a":1}}',
    ]);
    await store.close();
  });

  test("a conflict carries the current object", async () => {
    const port = await startHttpServer((_request, _body, response) => {
      response.statusCode = 409;
      response.end(JSON.stringify(object));
    });
    const store = createWireObjectStore({ host: "127.0.0.1", port });
    const result = await store.write("kind/x", {}, 1, CallPriority.Ownership);
    expect(result).toEqual({ kind: "conflict", current: { path: "kind/x", version: 7, value: { a: 1 } } });
    await store.close();
  });

  test("a list reads all pages and omits entries that cannot be decoded", async () => {
    const port = await startHttpServer((request, _body, response) => {
      const isSecond = request.url?.includes("after=x") === true;
      const items = isSecond ? [{ metadata: { name: "y", rev: 9 }, spec: 2 }] : ["?", object];
      response.end(JSON.stringify({ items, more: !isSecond, currentRev: isSecond ? 12 : 11 }));
    });
    const store = createWireObjectStore({ host: "127.0.0.1", port });
    const listed = await store.list("kind/", CallPriority.Configuration);
    expect(listed.objects.map((each) => each.path)).toEqual(["kind/x", "kind/y"]);
    expect(listed.version).toBe(11);
    await store.close();
  });

  // Guards against a list whose pages never end, and which is kept until the memory is full.
  test("a list whose pages together are far too long is given up", async () => {
    const page = { ...object, spec: "x".repeat(8_000_000) };
    let pages = 0;
    const port = await startHttpServer((_request, _body, response) => {
      pages += 1;
      response.end(JSON.stringify({ items: [page], more: pages < 12, currentRev: 7 }));
    });
    const store = createWireObjectStore({ host: "127.0.0.1", port });
    await expect(store.list("kind/", CallPriority.Configuration)).rejects.toThrow("the pages have more");
    expect(pages).toBeLessThan(12);
    await store.close();
  });

  test("a watch returns the latest state of each object", async () => {
    const events = [
      { object, deleted: false },
      { object: { ...object, metadata: { name: "y", rev: 8 } }, deleted: true },
      { object: { ...object, metadata: { name: "x", rev: 9 } }, deleted: true },
      { object: { ...object, metadata: { name: "x", rev: 10 } }, deleted: false },
    ];
    const port = await startHttpServer((_request, _body, response) => {
      response.end(JSON.stringify({ events, currentRev: 10 }));
    });
    const store = createWireObjectStore({ host: "127.0.0.1", port });
    const changes = await store.watch("kind/", 1, { waitMs: 1000, signal: new AbortController().signal });
    expect(changes.objects.map((each) => each.version)).toEqual([10]);
    expect(changes.removed).toEqual(["kind/y"]);
    await store.close();
  });

  describe("restored from a copy", () => {
    const signal = new AbortController().signal;

    /** Starts a store whose answers can be changed, and which counts the writes that it gets. */
    async function startStore() {
      const state = { era: 1, rev: 20, status: 200, writes: 0 };
      const port = await startHttpServer((request, _body, response) => {
        state.writes += request.method === "GET" ? 0 : 1;
        response.setHeader("Store-Era", state.era);
        response.statusCode = state.status;
        const current = { metadata: { name: "x", rev: state.rev }, spec: { a: 1 } };
        const isList = request.url?.endsWith("/kind") === true;
        const isWatch = request.url?.includes("watch=") === true;
        const list = { items: [current], currentRev: state.rev };
        const events = { events: [{ object: current, deleted: false }], currentRev: state.rev };
        response.end(JSON.stringify(isList ? list : isWatch ? events : current));
      });
      return { state, store: createWireObjectStore({ host: "127.0.0.1", port }) };
    }

    // Guards against changes that a watch misses since their revisions had been given out before.
    test("a watch from a version of before the restore has lost its history, though the store has that revision again", async () => {
      const { state, store } = await startStore();
      const { version } = await store.list("kind/", CallPriority.Configuration);
      state.era = 2;
      state.rev = 25;
      await expect(store.watch("kind/", version, { waitMs: 1000, signal })).rejects.toThrow(HistoryGoneError);
      await store.close();
    });

    // Guards against "never older" checks that reject everything the store holds after it went back.
    test("versions are higher than all those before the restore, and increase from there", async () => {
      const { state, store } = await startStore();
      const before = await store.list("kind/", CallPriority.Configuration);
      state.era = 2;
      state.rev = 5;
      const after = await store.list("kind/", CallPriority.Configuration);
      expect(after.version).toBeGreaterThan(before.version);
      expect(after.objects[0]?.version).toBeGreaterThan(before.objects[0]?.version ?? 0);
      state.rev = 6;
      const read = await store.read("kind/x", CallPriority.Configuration);
      expect(read?.version).toBeGreaterThan(after.version);
      const written = await store.write("kind/x", {}, read?.version ?? 0, CallPriority.Ownership);
      expect(written).toEqual({ kind: "written", version: read?.version });
      await store.close();
    });

    // Guards against a write whose condition holds only since its revision was given out again.
    test("a write on a version of before the restore is a conflict and is not sent", async () => {
      const { state, store } = await startStore();
      const before = await store.read("kind/x", CallPriority.Ownership);
      state.era = 2;
      const current = await store.read("kind/x", CallPriority.Ownership);
      const result = await store.write("kind/x", {}, before?.version ?? 0, CallPriority.Ownership);
      expect(result).toEqual({ kind: "conflict", current });
      expect(state.writes).toBe(0);
      await store.close();
    });

    test("a write is in doubt if the store was restored before it took effect", async () => {
      const { state, store } = await startStore();
      const before = await store.read("kind/x", CallPriority.Ownership);
      state.era = 2;
      const write = store.write("kind/x", {}, before?.version ?? 0, CallPriority.Ownership);
      await expect(write).rejects.toThrow(PlatformUnavailableError);
      await store.close();
    });

    test("an answer of before the restore counts as none, also after an answer with an error has shown the restore", async () => {
      const { state, store } = await startStore();
      state.era = 2;
      state.status = 503;
      await expect(store.read("kind/x", CallPriority.Ownership)).rejects.toThrow(PlatformUnavailableError);
      state.era = 1;
      state.status = 200;
      await expect(store.read("kind/x", CallPriority.Ownership)).rejects.toThrow(PlatformUnavailableError);
      await store.close();
    });

    test("a list whose pages are from before and after the restore counts as none", async () => {
      let era = 1;
      const port = await startHttpServer((_request, _body, response) => {
        response.setHeader("Store-Era", era);
        era += 1;
        response.end(JSON.stringify({ items: [object], more: era === 2, currentRev: 7 }));
      });
      const store = createWireObjectStore({ host: "127.0.0.1", port });
      await expect(store.list("kind/", CallPriority.Configuration)).rejects.toThrow(PlatformUnavailableError);
      await store.close();
    });
  });

  /** Starts a store whose answer comes in pieces: the first one at once, the next ones when they are sent. */
  async function startTransfer() {
    const content = JSON.stringify({ events: [{ object, deleted: false }], currentRev: 10 });
    let pending: ServerResponse | undefined;
    const port = await startHttpServer((_request, _body, response) => {
      pending = response;
      response.write(content.slice(0, 20));
    });
    const clock = createFakeClock();
    let timeouts = 0;
    const countingClock = {
      ...clock,
      schedule: (delayMs: number, callback: () => void) => {
        timeouts += 1;
        return clock.schedule(delayMs, callback);
      },
    };
    const store = createWireObjectStore({ host: "127.0.0.1", port }, countingClock);
    const waitForHead = () => vi.waitUntil(() => pending !== undefined);
    let pieces = 0;
    /** Waits until the client has read what was sent: it sets three timeouts before, and one for each piece. */
    const waitForPiece = async () => {
      pieces += 1;
      for (let turn = 0; turn < 1000 && timeouts < pieces + 3; turn += 1) {
        await flushPromises();
      }
    };
    return {
      store,
      clock,
      waitForFirstPiece: () => waitForHead().then(waitForPiece),
      sendPiece: async () => {
        pending?.write(content.slice(20, 40));
        await waitForPiece();
      },
      sendRest: () => pending?.end(content.slice(40)),
    };
  }

  // Guards against giving up a large answer on a slow link, again and again, by a time limit on the whole transfer.
  test("an answer that keeps arriving is read to its end, however long that takes", async () => {
    const { store, clock, waitForFirstPiece, sendPiece, sendRest } = await startTransfer();
    const result = store.watch("kind/", 1, { waitMs: 0, signal: new AbortController().signal }).then(
      (each) => each.version,
      (error: unknown) => error,
    );
    await waitForFirstPiece();
    await clock.advance(600);
    await sendPiece();
    await clock.advance(600);
    sendRest();
    expect(await result).toBe(10);
    await store.close();
  });

  // Guards against cancelling the transfer of the very changes that a lagging daemon is asked to read.
  test("a cancelled watch whose answer is arriving still returns it", async () => {
    const { store, waitForFirstPiece, sendRest, sendPiece } = await startTransfer();
    const cancel = new AbortController();
    const result = store.watch("kind/", 1, { waitMs: 25_000, signal: cancel.signal }).then(
      (each) => each.version,
      (error: unknown) => error,
    );
    await waitForFirstPiece();
    cancel.abort();
    await sendPiece();
    sendRest();
    expect(await result).toBe(10);
    await store.close();
  });

  test("an answer that stops arriving fails the call", async () => {
    const { store, clock, waitForFirstPiece } = await startTransfer();
    const result = store
      .watch("kind/", 1, { waitMs: 0, signal: new AbortController().signal })
      .catch((error: unknown) => error);
    await waitForFirstPiece();
    await clock.advance(1000);
    expect(await result).toBeInstanceOf(PlatformUnavailableError);
    await store.close();
  });

  // Guards against a connection that goes silent while it is idle and is used again a long time later.
  test("an idle connection is closed soon, though the store would keep it for longer", async () => {
    const port = await startHttpServer((request, _body, response) => {
      closed = new Promise((resolve) => request.socket.once("close", resolve));
      response.end(JSON.stringify(object));
    });
    let closed: Promise<unknown> = Promise.reject(new Error("no connection"));
    closed.catch(() => undefined);
    if (httpServer !== undefined) {
      httpServer.keepAliveTimeout = 600_000;
    }
    const store = createWireObjectStore({ host: "127.0.0.1", port });
    await store.read("kind/x", CallPriority.Ownership);
    await closed;
    await store.close();
  });

  /** Outlasts the delays of a busy machine. */
  const WAIT_MS = 20_000;
  const unanswered = [
    { name: "a call without an answer in time", isCancelled: false },
    { name: "a watch that was cancelled since its connection may be dead", isCancelled: true },
  ];
  // Guards against calls that wait in vain on one silent connection after the other while new ones work.
  test.each(unanswered)("after $name no connection from before is used again", async ({ isCancelled }) => {
    const answer = JSON.stringify(object);
    const waiting: ServerResponse[] = [];
    /** Connections that went silent. */
    const silent = new Set<unknown>();
    const port = await startHttpServer((request, _body, response) => {
      if (!silent.has(request.socket) && request.url?.includes("watch") !== true) {
        waiting.push(response);
      }
    });
    const clock = createFakeClock();
    const store = createWireObjectStore({ host: "127.0.0.1", port }, clock);
    const read = () => store.read("kind/x", CallPriority.Ownership);
    const answerAll = async (count: number) => {
      await vi.waitUntil(() => waiting.length === count, { timeout: WAIT_MS });
      waiting.splice(0).forEach((response) => response.end(answer));
    };
    const reads = Promise.all([read(), read(), read()]);
    await vi.waitUntil(() => waiting.length === 3, { timeout: WAIT_MS });
    waiting.forEach(({ socket }) => silent.add(socket));
    await answerAll(3);
    await reads;
    const cancel = new AbortController();
    const lost = store
      .watch("kind/", 7, { waitMs: 0, signal: cancel.signal })
      .catch((error: unknown) => error);
    if (isCancelled) {
      cancel.abort();
    } else {
      await clock.advance(1000);
    }
    expect(await lost).toBeInstanceOf(PlatformUnavailableError);
    const next = read();
    await answerAll(1);
    expect((await next)?.version).toBe(7);
    await store.close();
  });

  const largeHistories = [
    { name: "whose length is announced", isAnnounced: true },
    { name: "that comes in chunks", isAnnounced: false },
  ];

  // Guards against reading a history that is larger than the state, which a list would have returned sooner.
  test.each(largeHistories)(
    "a history above the size limit $name counts as gone",
    async ({ isAnnounced }) => {
      const { behaviour, closed } = createEndlessAnswer(
        () => `HTTP/1.1 200 OK\r\n${isAnnounced ? "Content-Length: 1000000000\r\n" : ""}\r\n`,
        "x".repeat(10_000),
      );
      const rawServer = await startRawServer();
      rawServer.setBehaviour(behaviour);
      const store = createWireObjectStore({ host: "127.0.0.1", port: rawServer.port });
      const options = { waitMs: 1000, signal: new AbortController().signal, maxBytes: 100_000 };
      await expect(store.watch("kind/", 1, options)).rejects.toThrow(HistoryGoneError);
      await closed;
      await store.close();
      await rawServer.close();
    },
  );

  const errorResponses: readonly (readonly [status: number, error: unknown])[] = [
    [429, PlatformUnavailableError],
    [503, PlatformUnavailableError],
    [410, HistoryGoneError],
  ];
  test.each(errorResponses)(
    "a watch that is answered %s fails with the error for that status",
    async (status, error) => {
      const port = await startHttpServer((_request, _body, response) => {
        response.statusCode = status;
        response.end();
      });
      const store = createWireObjectStore({ host: "127.0.0.1", port });
      await expect(
        store.watch("kind/", 1, { waitMs: 1000, signal: new AbortController().signal }),
      ).rejects.toThrow(error);
      await store.close();
    },
  );
});

describe("key control", () => {
  const cases: readonly (readonly [status: number, grant: string, release: string])[] = [
    [200, "granted", "released"],
    [409, "fenced", "unanswered"],
    [421, "misdirected", "misdirected"],
    [400, "unanswered", "misdirected"],
    [500, "unanswered", "unanswered"],
  ];
  test.each(cases)(
    "status %s is mapped to the results of grant and release",
    async (status, granted, released) => {
      const bodies: string[] = [];
      const port = await startHttpServer((_request, body, response) => {
        bodies.push(body);
        response.writeHead(status, { Handover: "h2" }).end();
      });
      const server = { name: "s1", address: { host: "127.0.0.1", port } } as DiscoveredServer;
      const control = createWireKeyControl();
      const grant = { from: 1, to: 2, token: 3, durationMs: 4500, handover: "h1" };
      expect((await control.grant(server, grant, () => true)).kind).toBe(granted);
      const release = await control.release(server, { from: 1, to: 2 }, 3);
      expect(release.kind).toBe(released);
      expect(release.kind === "released" ? release.handover : "h2").toBe("h2");
      expect(bodies).toEqual([
        '{"from":1,"to":2,"fence":3,"holdS":4.5,"handover":"h1"}',
        '{"from":1,"to":2,"fence":3}',
      ]);
      control.close();
    },
  );

  // Guards against a grant by a daemon that lost the right to send it while the connection was being made.
  test("a grant is not sent if it is no longer permitted once there is a connection", async () => {
    const received: unknown[] = [];
    const port = await startHttpServer((_request, body, response) => {
      received.push(body);
      response.end();
    });
    const server = { name: "s1", address: { host: "127.0.0.1", port } } as DiscoveredServer;
    const control = createWireKeyControl();
    const grant = { from: 1, to: 2, token: 3, durationMs: 4500, handover: null };
    expect(await control.grant(server, grant, () => false)).toMatchObject({ kind: "notSent" });
    expect((await control.grant(server, grant, () => true)).kind).toBe("granted");
    expect((await control.grant(server, grant, () => false)).kind).toBe("notSent");
    expect(received).toHaveLength(1);
    control.close();
  });

  // Guards against a listener that stays on a kept connection after each call over it.
  test("calls over a kept connection leave no listeners on it", async () => {
    const port = await startHttpServer((_request, _body, response) => {
      response.end();
    });
    const warnings: string[] = [];
    const collectWarning = (warning: Error) => warnings.push(warning.name);
    process.on("warning", collectWarning);
    const server = { name: "s1", address: { host: "127.0.0.1", port } } as DiscoveredServer;
    const control = createWireKeyControl();
    const grant = { from: 1, to: 2, token: 3, durationMs: 4500, handover: null };
    for (let call = 0; call < 20; call += 1) {
      await control.grant(server, grant, () => true);
      await flushPromises();
    }
    expect(warnings).toEqual([]);
    process.removeListener("warning", collectWarning);
    control.close();
  });

  // Guards against draining an answer without end, which would occupy the link and the connection forever.
  test("a control call whose answer never ends is answered, and its connection is closed", async () => {
    const { behaviour, closed } = createEndlessAnswer(() => "HTTP/1.1 200 OK\r\n\r\n", "x".repeat(10_000));
    const rawServer = await startRawServer();
    rawServer.setBehaviour(behaviour);
    const server = { name: "s1", address: { host: "127.0.0.1", port: rawServer.port } } as DiscoveredServer;
    const control = createWireKeyControl();
    const grant = { from: 1, to: 2, token: 3, durationMs: 4500, handover: null };
    expect((await control.grant(server, grant, () => true)).kind).toBe("granted");
    await closed;
    control.close();
    await rawServer.close();
  });
});
