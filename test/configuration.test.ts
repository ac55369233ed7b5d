/** Configurations: refused whole when wrong, bound to their base, never an older version again. */
import { describe, expect, test } from "vitest";
import { configurationSchema } from "../src/configuration";
import { applyConfiguration, listHistory, readConfiguration } from "../src/configuration/apply";
import { planChanges } from "../src/configuration/plan";
import { createCounters, silentLogger } from "../src/observability";
import { checkValue, settingsSchema } from "../src/settings";
import { createSnapshotStore } from "../src/snapshots";
import { createObjectTable } from "../standins/platform/objectTable";
import { createFakeClock, createProcessClock } from "./support/fakeClock";
import { createFakeObjectStore, createWay } from "./support/fakePlatform";

const valid = {
  data_centres: { north: {} },
  services: { desk: { divided_by_key: true } },
  servers: {
    one: { service: "desk", data_centre: "north", host: "10.0.0.1", port: 80, slots: 4, fenced: true },
  },
};

const server = valid.servers.one;
const wrongConfigurations: readonly (readonly [string, unknown, string])[] = [
  ["unknown field", { ...valid, extra: 1 }, 'Unrecognized key: "extra"'],
  [
    "unknown service",
    { ...valid, servers: { one: { ...server, service: "x" } } },
    'servers.one.service: unknown service "x"',
  ],
  [
    "unknown data centre",
    { ...valid, servers: { one: { ...server, data_centre: "x" } } },
    "servers.one.data_centre: unknown",
  ],
  ["missing field", { ...valid, servers: { one: { ...server, slots: undefined } } }, "servers.one.slots"],
  [
    "host name in place of an IP number",
    { ...valid, servers: { one: { ...server, host: "db" } } },
    "servers.one.host",
  ],
  [
    "duration without a unit",
    { ...valid, services: { desk: { divided_by_key: true, queue_timeout: "5" } } },
    "unit ms or s",
  ],
  [
    "slot count that is no power of two",
    { ...valid, services: { desk: { divided_by_key: true, slot_count: 100 } } },
    "power of two",
  ],
  [
    "hedging with keys",
    { ...valid, services: { desk: { divided_by_key: true, hedge_after: "5ms" } } },
    "without keys",
  ],
  ["name with capitals", { ...valid, data_centres: { North: {} } }, "lower-case"],
  ["no object", 7, "file"],
];

const settings = {
  cluster: "c",
  daemon: "d",
  data_centre: "north",
  platform: { url: "http://10.0.0.1:1" },
  callers: { host: "10.0.0.1", port: 1 },
  peers: { host: "10.0.0.1", port: 2 },
  admin: { host: "10.0.0.1", port: 3 },
};

const wrongSettings: readonly (readonly [string, unknown, string])[] = [
  ["unknown field", { ...settings, colour: "red" }, '"colour"'],
  ["missing section", { ...settings, peers: undefined }, "peers"],
  ["port out of range", { ...settings, admin: { host: "10.0.0.1", port: 70_000 } }, "admin.port"],
  ["duration with a wrong unit", { ...settings, shutdown_timeout: "5 minutes" }, "shutdown_timeout"],
  [
    "seed without port",
    { ...settings, seeds: [{ daemon: "e", data_centre: "north", host: "10.0.0.2" }] },
    "seeds[0].port",
  ],
];

describe("checks", () => {
  test.each(wrongConfigurations)(
    "configuration with %s is refused with the path",
    (_name, value, message) => {
      expect(() => checkValue("file", value, configurationSchema)).toThrow(message);
    },
  );

  test.each(wrongSettings)("settings with %s are refused with the path", (_name, value, message) => {
    expect(() => checkValue("file", value, settingsSchema)).toThrow(message);
  });

  test("valid ones pass and get defaults", () => {
    expect(checkValue("file", valid, configurationSchema).services.desk?.slot_count).toBe(1024);
    expect(checkValue("file", settings, settingsSchema).shutdown_timeout).toBe(30_000);
  });
});

describe("apply", () => {
  test("two operators from one base: one is accepted, the other sees theirs and loses nothing", async () => {
    const { store } = createStore();
    const first = await applyConfiguration(store, { source: valid, base: 0, author: "ann" });
    const base = first.kind === "applied" ? first.version : 0;
    const results = await Promise.all([
      applyConfiguration(store, { source: withState("draining"), base, author: "bea" }),
      applyConfiguration(store, {
        source: { ...valid, data_centres: { north: { state: "out" } } },
        base,
        author: "cas",
      }),
    ]);
    expect(results.map((result) => result.kind).sort()).toEqual(["applied", "stale"]);
    const history = await listHistory(store);
    expect(history.map((document) => document.number)).toEqual([1, 2]);
  });

  test("a lost answer counts as accepted when it was", async () => {
    const { store, way } = createStore();
    way.lostAnswers = 1;
    const result = await applyConfiguration(store, { source: valid, base: 0, author: "ann" });
    expect(result).toMatchObject({ kind: "applied", number: 1 });
    expect((await readConfiguration(store))?.document.number).toBe(1);
  });

  test("a wrong configuration writes nothing", async () => {
    const { store, way } = createStore();
    await expect(applyConfiguration(store, { source: {}, base: 0, author: "ann" })).rejects.toThrow(
      "data_centres",
    );
    expect(way.writes).toBe(0);
  });

  test("the slot count of a service cannot change", async () => {
    const { store } = createStore();
    const first = await applyConfiguration(store, { source: valid, base: 0, author: "ann" });
    const base = first.kind === "applied" ? first.version : 0;
    const source = { ...valid, services: { desk: { divided_by_key: true, slot_count: 64 } } };
    await expect(applyConfiguration(store, { source, base, author: "ann" })).rejects.toThrow("cannot change");
  });

  test("a plan names what is added, removed and changed", () => {
    const after = {
      data_centres: { north: { state: "out" }, south: {} },
      services: { desk: { divided_by_key: true } },
    };
    const kinds = planChanges({ ...valid, data_centres: { north: { state: "in" } } }, after).map(
      (change) => change.kind,
    );
    expect(new Set(kinds)).toEqual(new Set(["changed", "removed"]));
  });
});

describe("snapshots", () => {
  const document = (number: number) => ({ number, author: "a", source: valid });
  const path = "configuration/current";

  test("an older or equal version never replaces a newer one", () => {
    const snapshots = createSnapshots();
    expect(snapshots.apply({ path, version: 5, value: document(5) })).toBe(true);
    expect(snapshots.apply({ path, version: 4, value: document(4) })).toBe(false);
    expect(snapshots.apply({ path, version: 5, value: document(4) })).toBe(false);
    expect(snapshots.findConfiguration()?.value.number).toBe(5);
  });

  test("an invalid newer version is refused whole; the last valid one stays in force", () => {
    const snapshots = createSnapshots();
    snapshots.apply({ path, version: 5, value: document(5) });
    expect(snapshots.apply({ path, version: 6, value: { ...document(6), source: { servers: {} } } })).toBe(
      false,
    );
    expect(snapshots.findConfiguration()?.version).toBe(5);
  });

  test("stores with different versions have different digests and settle in both directions", () => {
    const left = createSnapshots();
    const right = createSnapshots();
    left.apply({ path, version: 5, value: document(5) });
    right.apply({ path: "operator/stopped", version: 6, value: { daemons: [], servers: [] } });
    expect(left.computeDigest()).not.toBe(right.computeDigest());
    for (const raw of left.listNewerThan(right.getVersions())) {
      right.apply(raw);
    }
    for (const raw of right.listNewerThan(left.getVersions())) {
      left.apply(raw);
    }
    expect(left.computeDigest()).toBe(right.computeDigest());
  });
});

function withState(state: string) {
  return { ...valid, servers: { one: { ...server, state } } };
}

function createSnapshots() {
  return createSnapshotStore(silentLogger, createCounters("test"));
}

function createStore() {
  const way = createWay();
  return {
    way,
    store: createFakeObjectStore(createObjectTable(), way, createProcessClock(createFakeClock())),
  };
}
