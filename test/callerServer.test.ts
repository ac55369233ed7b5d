/**
 * The HTTP server for callers. Guards against invalid input that stops the server or gets no clear refusal,
 * and against answers that break off but look complete to the caller.
 */
import { connect } from "node:net";
import { Readable } from "node:stream";
import { request } from "undici";
import { afterEach, beforeEach, describe, expect, test } from "vitest";
import { CONFIGURATION_PATH } from "../src/configuration";
import { createCounters, silentLogger } from "../src/observability";
import { type CallerServer, type Router, createCallerServer } from "../src/routing";
import { createSnapshotStore } from "../src/snapshots";
import { type WorkResult, emptyBody, systemClock } from "../src/types";

const load = { inFlight: 0, queued: 0, limit: 1, latencyMs: 1 };
const source = {
  data_centres: {},
  services: {
    desk: { divided_by_key: true },
    book: { divided_by_key: true, key_from: "header", key_name: "X-Member" },
    stock: { divided_by_key: true, key_from: "query", key_name: "id" },
    vault: { divided_by_key: false, host: "vault.example" },
  },
  servers: {},
};

let server: CallerServer;
let baseUrl: string;
let port: number;
let routedRequests: { readonly key: string | undefined; readonly target: string; readonly service: string }[];
let respond: () => WorkResult;

beforeEach(async () => {
  routedRequests = [];
  respond = () => createAnswer(200, { content: "ok" });
  await startServer(true);
});

afterEach(async () => {
  await server.close();
});

interface InvalidInput {
  readonly name: string;
  readonly path: string;
  readonly headers?: Record<string, string>;
  readonly status: number;
  readonly reason: string;
}

const invalidInputs: readonly InvalidInput[] = [
  { name: "unknown service", path: "/nothing/k", status: 404, reason: "unknown-service" },
  {
    name: "name of a property that every object has",
    path: "/constructor/k",
    status: 404,
    reason: "unknown-service",
  },
  { name: "missing key in the path", path: "/desk", status: 400, reason: "missing-key" },
  {
    name: "malformed percent-encoding in the key",
    path: "/desk/%E0%A4%A",
    status: 400,
    reason: "missing-key",
  },
  { name: "missing header", path: "/book/x", status: 400, reason: "missing-key" },
  { name: "missing query parameter", path: "/stock/x?other=1", status: 400, reason: "missing-key" },
  {
    name: "key that exceeds the maximum length",
    path: `/desk/${"k".repeat(2000)}`,
    status: 400,
    reason: "invalid-request",
  },
  {
    name: "timeout that is not a number",
    path: "/desk/k",
    headers: { "x-hemlockbank-timeout-ms": "soon" },
    status: 400,
    reason: "invalid-request",
  },
  {
    name: "oversized header",
    path: "/desk/k",
    headers: { "x-large": "y".repeat(20_000) },
    status: 431,
    reason: "headers-too-large",
  },
];

describe("caller server", () => {
  // Guards against routing a request whose caller's departure already waits in the socket, behind the request.
  test("a request is not routed if its caller closes the connection before it is read", async () => {
    const send = async (path: string) => {
      const caller = connect(port, "127.0.0.1");
      await new Promise<void>((resolve) => caller.once("connect", resolve));
      caller.write(`GET ${path} HTTP/1.1\r\nHost: a.example\r\n\r\n`);
      return caller;
    };
    // Both happen before the event loop reads the request.
    (await send("/desk/left")).destroy();
    const staying = await send("/desk/stays");
    await new Promise((resolve) => staying.once("data", resolve));
    staying.destroy();
    expect(routedRequests.map((each) => each.key)).toEqual(["stays"]);
  });

  test.each(invalidInputs)(
    "$name: status $status, outcome not-run, and the next request is served",
    async ({ path, headers, status, reason }) => {
      const response = await request(`${baseUrl}${path}`, { headers: headers ?? {} });
      expect(response.statusCode).toBe(status);
      expect(response.headers["x-hemlockbank-outcome"]).toBe("not-run");
      expect(await response.body.json()).toMatchObject({ reason, outcome: "not-run" });
      expect((await request(`${baseUrl}/desk/k`)).statusCode).toBe(200);
    },
  );

  test("bytes that are not HTTP are answered with status 400 and the outcome not-run", async () => {
    const text = await new Promise<string>((resolve) => {
      const socket = connect(port, "127.0.0.1", () => socket.write("gibberish\r\n\r\n"));
      let received = "";
      socket.on("data", (chunk) => (received += chunk.toString()));
      socket.on("close", () => {
        resolve(received);
      });
    });
    expect(text).toContain("400 Bad Request");
    expect(text).toContain("x-hemlockbank-outcome: not-run");
  });

  const keyCases: readonly (readonly [string, string, Record<string, string>, string | undefined, string])[] =
    [
      ["key in the path", "/desk/a%20b/status?x=1", {}, "a b", "/a%20b/status?x=1"],
      ["key in a header", "/book/sheet", { "x-member": "m7" }, "m7", "/sheet"],
      ["key in the query", "/stock/list?id=9", {}, "9", "/list?id=9"],
      [
        "service selected by host, without a key",
        "/bundle",
        { host: "vault.example:80" },
        undefined,
        "/bundle",
      ],
    ];

  test.each(keyCases)("key and target of a routed request: %s", async (_name, path, headers, key, target) => {
    await request(`${baseUrl}${path}`, { headers });
    expect(routedRequests[0]).toMatchObject({ key, target });
  });

  test("the answer to a failed request states outcome, step, peer and request identifier", async () => {
    respond = () => ({
      kind: "failure",
      failure: { outcome: "unknown", reason: "server-connection-lost", step: "send", peer: "one" },
    });
    const response = await request(`${baseUrl}/desk/k`, { headers: { "x-request-id": "r1" } });
    expect(response.statusCode).toBe(502);
    expect(await response.body.json()).toMatchObject({
      outcome: "unknown",
      step: "send",
      peer: "one",
      requestId: "r1",
    });
  });

  test("an answer that breaks off fails at the caller too", async () => {
    respond = () => {
      const stream = new Readable({ read: () => undefined });
      stream.push("half");
      setImmediate(() => stream.destroy(new Error("broken")));
      return createAnswer(200, { stream, length: "100" });
    };
    const response = await request(`${baseUrl}/desk/k`).catch(() => undefined);
    await expect(
      response === undefined ? Promise.reject(new Error("broken")) : response.body.text(),
    ).rejects.toThrow();
  });

  test("before the first configuration requests are refused with status 503 as not-ready", async () => {
    await server.close();
    await startServer(false);
    const response = await request(`${baseUrl}/desk/k`);
    expect(response.statusCode).toBe(503);
    expect(response.headers["x-hemlockbank-reason"]).toBe("not-ready");
  });
});

async function startServer(hasConfiguration: boolean): Promise<void> {
  const counters = createCounters("test");
  const snapshots = createSnapshotStore(silentLogger, counters);
  if (hasConfiguration) {
    snapshots.apply({ path: CONFIGURATION_PATH, version: 1, value: { number: 1, author: "a", source } });
  }
  const router: Router = (callerRequest) => {
    routedRequests.push(callerRequest);
    return Promise.resolve(respond());
  };
  port = await findFreePort();
  baseUrl = `http://127.0.0.1:${port}`;
  server = await createCallerServer({
    address: { host: "127.0.0.1", port },
    router,
    snapshots,
    clock: systemClock,
    logger: silentLogger,
    counters,
  });
}

function createAnswer(
  status: number,
  bodyOptions: { content?: string; stream?: Readable; length?: string },
): WorkResult {
  const headers = bodyOptions.length === undefined ? {} : { "content-length": bodyOptions.length };
  const body =
    bodyOptions.stream === undefined
      ? { kind: "buffer" as const, content: Buffer.from(bodyOptions.content ?? "") }
      : { kind: "stream" as const, stream: bodyOptions.stream };
  return {
    kind: "answer",
    answer: { status, headers, body: bodyOptions.content === "" ? emptyBody : body, load },
  };
}

function findFreePort(): Promise<number> {
  return new Promise((resolve) => {
    void import("node:net").then(({ createServer }) => {
      const probe = createServer();
      probe.listen(0, "127.0.0.1", () => {
        const address = probe.address();
        probe.close(() => {
          resolve(typeof address === "object" && address !== null ? address.port : 0);
        });
      });
    });
  });
}
