/** Entries that another writer left among those of the servers: none of them may end a loop or hide the others. */
import { createServer } from "node:http";
import { pack } from "msgpackr";
import type { AddressInfo } from "node:net";
import { describe, expect, test } from "vitest";
import { createFreshnessCheck, createPeerStates, createServerDirectory } from "../src/discovery";
import { createDatagramChannel } from "../src/membership";
import { CallPriority } from "../src/objectStore";
import { type EventKind, Event, createCounters, silentLogger } from "../src/observability";
import { repeat, systemClock } from "../src/types";
import { decodeServer } from "../platform/decoding";
import { createWireKeyControl } from "../platform/keyControl";
import { createWireObjectStore } from "../platform/objectStore";
import { createFakeClock } from "./support/fakeClock";
import { createTestServer, unsharedState } from "./support/gateway";

const HOST = "127.0.0.1";

function formatEntry(name: string, fields: string): string {
  const spec = `{"address":"10.0.0.1:80","born":1,"info":{"service":"desk","zone":"a","capacity":4},"status":{"state":"ready","warmupLeftS":0}${fields}}`;
  return `{"metadata":{"name":"${name}","rev":3},"spec":${spec}}`;
}

const deep = `${"[".repeat(200_000)}${"]".repeat(200_000)}`;
const oddItems = [
  { name: "deeply nested", item: formatEntry("odd", `,"address":${deep}`) },
  { name: "deeply nested in an unknown field", item: formatEntry("odd", `,"more":${deep}`), isUsable: true },
  { name: "with a number too large", item: formatEntry("odd", ',"born":1e999') },
  { name: "with a revision too large", item: '{"metadata":{"name":"odd","rev":1e300},"spec":{}}' },
  { name: "with a port out of range", item: formatEntry("odd", ',"address":"10.0.0.1:70000"') },
  { name: "without any field", item: "{}" },
  { name: "that is no object", item: "7" },
];

/** Answers every call with a list of raw items, the last page of which has the odd item only. */
async function startStore(pages: readonly (readonly string[])[]) {
  const server = createServer((request, response) => {
    const after = new URL(request.url ?? "/", "http://store").searchParams.get("after");
    const page = after === null ? 0 : 1;
    const items = (pages[page] ?? []).join(",");
    response.end(`{"items":[${items}],"more":${page + 1 < pages.length},"currentRev":9}`);
  });
  await new Promise<void>((resolve) => server.listen(0, HOST, resolve));
  const { port } = server.address() as AddressInfo;
  const objects = createWireObjectStore({ host: HOST, port });
  const close = async () => {
    await objects.close();
    server.close();
  };
  return { objects, close };
}

describe("an odd entry", () => {
  test.each(oddItems)("$name leaves the others usable", async ({ item, isUsable = false }) => {
    const { objects, close } = await startStore([[formatEntry("s1", ""), item], [formatEntry("s2", "")]]);
    const listed = await objects.list("servers/", CallPriority.Configuration);
    const directory = createServerDirectory({
      clock: systemClock,
      logger: silentLogger,
      decode: decodeServer,
      getColdMs: () => 0,
    });
    directory.replaceAll(listed.objects);
    const names = directory.getUsable("desk").map((server) => server.name);
    expect([...names].sort()).toEqual(isUsable ? ["odd", "s1", "s2"] : ["s1", "s2"]);
    await close();
  });

  test("on which the decoder fails is logged once and leaves the others usable", () => {
    const logged: EventKind[] = [];
    const directory = createServerDirectory({
      clock: systemClock,
      logger: { ...silentLogger, log: (kind) => logged.push(kind) },
      decode: (name) => {
        if (name === "odd") {
          throw new RangeError("too deep");
        }
        return createTestServer(name, 80);
      },
      getColdMs: () => 0,
    });
    directory.replaceAll(
      ["s1", "odd", "s2"].map((name) => ({ path: `servers/${name}`, version: 1, value: {} })),
    );
    expect(directory.getUsable("desk")).toHaveLength(2);
    expect(logged.filter((kind) => kind === Event.UnexpectedError)).toHaveLength(1);
  });

  test("whose address takes no request ends no grant and no release with an error", async () => {
    const control = createWireKeyControl();
    const server = createTestServer("s1", 70_000);
    const grant = { from: 0, to: 9, token: 1, durationMs: 4000, handover: null };
    expect(await control.grant(server, grant, () => true)).toMatchObject({ kind: "notSent" });
    expect(await control.release(server, { from: 0, to: 9 }, 2)).toMatchObject({ kind: "unanswered" });
    control.close();
  });
});

describe("an unexpected error", () => {
  // Guards against a daemon that goes on saying that it is ready while one of its loops has ended.
  test("in one run of a periodic task is reported, and the next run takes place", async () => {
    const clock = createFakeClock();
    const stop = new AbortController();
    const reported: unknown[] = [];
    let runs = 0;
    const fail = () => {
      runs += 1;
      throw new Error("unexpected");
    };
    void repeat(clock, 100, stop.signal, fail, (error) => reported.push(error));
    await clock.advance(350);
    stop.abort();
    expect([runs, reported.length]).toEqual([4, 4]);
  });

  // Guards against one malformed message that ends the handling of others, or the process.
  test("is not caused by a datagram with a reply address that cannot be sent to", () => {
    const counters = createCounters("test");
    let deliver: (datagram: Uint8Array) => void = () => undefined;
    const sent: unknown[] = [];
    const channel = createDatagramChannel(
      {
        send: (address) => sent.push(address),
        receive: (handler) => {
          deliver = handler;
        },
        close: () => undefined,
      },
      counters,
    );
    createFreshnessCheck({
      daemon: "d1",
      address: { host: HOST, port: 1 },
      processors: 1,
      channel,
      watchers: [],
      peers: createPeerStates(systemClock),
      clock: systemClock,
      logger: silentLogger,
      isCoordinator: () => true,
      findCoordinator: () => undefined,
      findStoredSize: () => undefined,
      getLeaseVersion: () => 1,
      confirmLease: () => undefined,
      rateLimits: { share: () => [], merge: () => undefined },
      departures: { share: () => [], merge: () => undefined },
      ...unsharedState,
      ownerShares: { share: () => [], replace: () => undefined },
    });
    const state = { daemon: "d2", processors: 1, digests: {} };
    for (const port of [70_000, 0, -1, 1.5, 1e300]) {
      deliver(pack({ kind: "state", content: { ...state, address: { host: HOST, port } } }));
    }
    deliver(new Uint8Array([0xc1, 0xff, 0x00]));
    expect(sent).toEqual([]);
    deliver(pack({ kind: "state", content: { ...state, address: { host: HOST, port: 7540 } } }));
    expect(sent).toHaveLength(1);
  });
});
