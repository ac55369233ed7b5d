/**
 * Configurations and settings: an invalid one is refused as a whole, an update applies only to its base
 * version, and a snapshot is never replaced by an older version.
 */
import { describe, expect, test } from "vitest";
import { configurationSchema } from "../src/configuration";
import { applyConfiguration, listHistory, readConfiguration } from "../src/configuration/apply";
import { planChanges } from "../src/configuration/plan";
import { createCounters, silentLogger } from "../src/observability";
import { checkValue, settingsSchema } from "../src/settings";
import { createSnapshotStore } from "../src/snapshots";
import { createObjectTable } from "../standins/platform/objectTable";
import { createFakeClock, createProcessClock } from "./support/fakeClock";
import { createFakeObjectStore, createPlatformAccess } from "./support/fakePlatform";

const validConfiguration = {
  data_centres: { north: {} },
  services: { desk: { divided_by_key: true } },
  servers: {
    one: { service: "desk", data_centre: "north", host: "10.0.0.1", port: 80, slots: 4, fenced: true },
  },
};

const validServer = validConfiguration.servers.one;
const invalidConfigurations: readonly (readonly [string, unknown, string])[] = [
  ["unknown field", { ...validConfiguration, extra: 1 }, 'Unrecognized key: "extra"'],
  [
    "unknown service",
    { ...validConfiguration, servers: { one: { ...validServer, service: "x" } } },
    'servers.one.service: unknown service "x"',
  ],
  [
    "unknown data centre",
    { ...validConfiguration, servers: { one: { ...validServer, data_centre: "x" } } },
    "servers.one.data_centre: unknown",
  ],
  [
    "missing field",
    { ...validConfiguration, servers: { one: { ...validServer, slots: undefined } } },
    "servers.one.slots",
  ],
  [
    "host name in place of an IP address",
    { ...validConfiguration, servers: { one: { ...validServer, host: "db" } } },
    "servers.one.host",
  ],
  [
    "duration without a unit",
    { ...validConfiguration, services: { desk: { divided_by_key: true, queue_timeout: "5" } } },
    "unit ms or s",
  ],
  [
    "slot count that is not a power of two",
    { ...validConfiguration, services: { desk: { divided_by_key: true, slot_count: 100 } } },
    "power of two",
  ],
  [
    "hedged requests in a service with keys",
    { ...validConfiguration, services: { desk: { divided_by_key: true, hedge_after: "5ms" } } },
    "without keys",
  ],
  ["name with capital letters", { ...validConfiguration, data_centres: { North: {} } }, "lower-case"],
  ["number in place of an object", 7, "file"],
];

const validSettings = {
  cluster: "c",
  daemon: "d",
  data_centre: "north",
  platform: { url: "http://10.0.0.1:1" },
  callers: { host: "10.0.0.1", port: 1 },
  peers: { host: "10.0.0.1", port: 2 },
  admin: { host: "10.0.0.1", port: 3 },
};

const invalidSettings: readonly (readonly [string, unknown, string])[] = [
  ["unknown field", { ...validSettings, colour: "red" }, '"colour"'],
  ["missing section", { ...validSettings, peers: undefined }, "peers"],
  ["port out of range", { ...validSettings, admin: { host: "10.0.0.1", port: 70_000 } }, "admin.port"],
  ["duration with a wrong unit", { ...validSettings, shutdown_timeout: "5 minutes" }, "shutdown_timeout"],
  [
    "seed without port",
    { ...validSettings, seeds: [{ daemon: "e", data_centre: "north", host: "10.0.0.2" }] },
    "seeds[0].port",
  ],
];

describe("validation", () => {
  test.each(invalidConfigurations)(
    "configuration with %s is refused with an error that states the fault or its path",
    (_name, value, message) => {
      expect(() => checkValue("file", value, configurationSchema)).toThrow(message);
    },
  );

  test.each(invalidSettings)(
    "settings with %s are refused with an error that states the fault or its path",
    (_name, value, message) => {
      expect(() => checkValue("file", value, settingsSchema)).toThrow(message);
    },
  );

  test("valid configurations and settings pass and get default values", () => {
    expect(checkValue("file", validConfiguration, configurationSchema).services.desk?.slot_count).toBe(1024);
    expect(checkValue("file", validSettings, settingsSchema).shutdown_timeout).toBe(30_000);
  });
});

describe("apply", () => {
  test("of two concurrent updates on one base, one is applied and the other is stale", async () => {
    const { store } = createStore();
    const first = await applyConfiguration(store, { source: validConfiguration, base: 0, author: "ann" });
    const base = first.kind === "applied" ? first.version : 0;
    const results = await Promise.all([
      applyConfiguration(store, {
        source: createConfigurationWithServerState("draining"),
        base,
        author: "bea",
      }),
      applyConfiguration(store, {
        source: { ...validConfiguration, data_centres: { north: { state: "out" } } },
        base,
        author: "cas",
      }),
    ]);
    expect(results.map((result) => result.kind).sort()).toEqual(["applied", "stale"]);
    const history = await listHistory(store);
    expect(history.map((document) => document.number)).toEqual([1, 2]);
  });

  test("an update that took effect is reported as applied although its answer was lost", async () => {
    const { store, access } = createStore();
    access.lostAnswers = 1;
    const result = await applyConfiguration(store, { source: validConfiguration, base: 0, author: "ann" });
    expect(result).toMatchObject({ kind: "applied", number: 1 });
    expect((await readConfiguration(store))?.document.number).toBe(1);
  });

  test("an invalid configuration is not written", async () => {
    const { store, access } = createStore();
    await expect(applyConfiguration(store, { source: {}, base: 0, author: "ann" })).rejects.toThrow(
      "data_centres",
    );
    expect(access.writeCount).toBe(0);
  });

  test("the slot count of a service cannot change", async () => {
    const { store } = createStore();
    const first = await applyConfiguration(store, { source: validConfiguration, base: 0, author: "ann" });
    const base = first.kind === "applied" ? first.version : 0;
    const source = { ...validConfiguration, services: { desk: { divided_by_key: true, slot_count: 64 } } };
    await expect(applyConfiguration(store, { source, base, author: "ann" })).rejects.toThrow("cannot change");
  });

  test("a plan lists what is removed and changed", () => {
    const after = {
      data_centres: { north: { state: "out" }, south: {} },
      services: { desk: { divided_by_key: true } },
    };
    const kinds = planChanges({ ...validConfiguration, data_centres: { north: { state: "in" } } }, after).map(
      (change) => change.kind,
    );
    expect(new Set(kinds)).toEqual(new Set(["changed", "removed"]));
  });
});

describe("snapshots", () => {
  const document = (number: number) => ({ number, author: "a", source: validConfiguration });
  const path = "configuration/current";

  test("an older or equal version never replaces a newer one", () => {
    const snapshots = createSnapshots();
    expect(snapshots.apply({ path, version: 5, value: document(5) })).toBe(true);
    expect(snapshots.apply({ path, version: 4, value: document(4) })).toBe(false);
    expect(snapshots.apply({ path, version: 5, value: document(4) })).toBe(false);
    expect(snapshots.findConfiguration()?.value.number).toBe(5);
  });

  test("an invalid newer version is refused as a whole, and the last valid one stays in force", () => {
    const snapshots = createSnapshots();
    snapshots.apply({ path, version: 5, value: document(5) });
    expect(snapshots.apply({ path, version: 6, value: { ...document(6), source: { servers: {} } } })).toBe(
      false,
    );
    expect(snapshots.findConfiguration()?.version).toBe(5);
  });

  test("digests of two stores differ until each has the newer versions of the other", () => {
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

function createConfigurationWithServerState(state: string) {
  return { ...validConfiguration, servers: { one: { ...validServer, state } } };
}

function createSnapshots() {
  return createSnapshotStore(silentLogger, createCounters("test"));
}

function createStore() {
  const access = createPlatformAccess();
  return {
    access,
    store: createFakeObjectStore(createObjectTable(), access, createProcessClock(createFakeClock())),
  };
}
