/** Contract of the object API, for the HTTP adapter with the stand-in and for the fake; lost answers; budget. */
import { afterEach, describe, expect, test } from "vitest";
import {
  type ObjectStore,
  createRateLimiter,
  createHttpPlatform,
  decodeStoredObject,
  updateObject,
} from "../src/objectStore";
import { createObjectTable } from "../standins/platform/objectTable";
import { type PlatformStandIn, startPlatform } from "../standins/platform/platform";
import { createFakeClock, createProcessClock, flush } from "./support/fakeClock";
import { type PlatformWay, createFakeObjectStore, createWay } from "./support/fakePlatform";

interface Subject {
  readonly store: ObjectStore;
  readonly loseAnswers: (count: number) => void;
  readonly setDown: (isDown: boolean) => void;
  readonly close: () => Promise<void>;
}

const open: Subject[] = [];

afterEach(async () => {
  await Promise.all(open.splice(0).map((subject) => subject.close()));
});

const subjects: readonly (readonly [string, () => Promise<Subject>])[] = [
  ["HTTP adapter and stand-in", createHttpSubject],
  ["fake in memory", createFakeSubject],
];

describe.each(subjects)("object API: %s", (_name, createSubject) => {
  test("an absent object is written from base 0 only once", async () => {
    const { store } = await use(createSubject);
    expect(await store.read("a/b c", 0)).toBeUndefined();
    expect((await store.write("a/b c", { n: 1 }, 0, 0)).kind).toBe("written");
    const second = await store.write("a/b c", { n: 2 }, 0, 0);
    expect(second).toMatchObject({ kind: "conflict", current: { value: { n: 1 } } });
    expect((await store.read("a/b c", 0))?.value).toEqual({ n: 1 });
  });

  test("versions rise over all objects", async () => {
    const { store } = await use(createSubject);
    const first = await store.write("x", 1, 0, 0);
    const second = await store.write("y", 1, 0, 0);
    expect(first.kind === "written" && second.kind === "written" && second.version > first.version).toBe(
      true,
    );
  });

  test("a list has the objects under a prefix and the highest version", async () => {
    const { store } = await use(createSubject);
    await store.write("p/1", 1, 0, 0);
    await store.write("q/1", 1, 0, 0);
    const listed = await store.list("p/", 0);
    expect(listed.objects.map((object) => object.path)).toEqual(["p/1"]);
    expect(listed.version).toBe(2);
  });

  test("an outage is an error of its own kind", async () => {
    const { store, setDown } = await use(createSubject);
    setDown(true);
    await expect(store.read("x", 0)).rejects.toMatchObject({ name: "PlatformUnavailableError" });
  });

  const lostAnswers = [1, 2, 4];

  test.each(lostAnswers)("%i lost answers: the change takes effect exactly once", async (count) => {
    const { store, loseAnswers } = await use(createSubject);
    await updateObject(store, "counter", 0, () => 1);
    loseAnswers(count);
    const result = await updateObject(store, "counter", 0, (current) => Number(current?.value) + 1);
    expect(result).toMatchObject({ kind: "updated", value: 2 });
    expect(await readValue(store, "counter")).toBe(2);
  });

  test("twenty changes at once are all applied", async () => {
    const { store } = await use(createSubject);
    const add = () => updateObject(store, "counter", 0, (current) => Number(current?.value ?? 0) + 1);
    await Promise.all(Array.from({ length: 20 }, add));
    expect(await readValue(store, "counter")).toBe(20);
  });
});

describe("budget", () => {
  test("calls beyond the rate wait, the most important first", async () => {
    const clock = createFakeClock();
    const budget = createRateLimiter(clock, 10);
    const order: string[] = [];
    for (let index = 0; index < 10; index += 1) {
      void budget.acquire(2);
    }
    void budget.acquire(2).then(() => order.push("status"));
    void budget.acquire(1).then(() => order.push("configuration"));
    void budget.acquire(0).then(() => order.push("ownership"));
    await flush();
    expect(order).toEqual([]);
    await clock.advance(150);
    expect(order).toEqual(["ownership"]);
    await clock.advance(300);
    expect(order).toEqual(["ownership", "configuration", "status"]);
  });
});

async function use(createSubject: () => Promise<Subject>): Promise<Subject> {
  const subject = await createSubject();
  open.push(subject);
  return subject;
}

async function readValue(store: ObjectStore, path: string): Promise<unknown> {
  const stored = await store.read(path, 0);
  return stored === undefined ? undefined : decodeStoredObject(stored).value;
}

async function createHttpSubject(): Promise<Subject> {
  const standIn: PlatformStandIn = await startPlatform({
    host: "127.0.0.1",
    ports: [0],
    writesPerSecond: 1000,
    readsPerSecond: 1000,
    vmListLagMs: 0,
  });
  const platform = createHttpPlatform({
    url: `http://127.0.0.1:${standIn.ports[0] ?? 0}`,
    timeoutMs: 5000,
    writesPerSecond: 1000,
    readsPerSecond: 1000,
  });
  return {
    store: platform.objects,
    loseAnswers: (lostAnswers) => {
      standIn.setFaults(0, { lostAnswers });
    },
    setDown: (isDown) => {
      standIn.setFaults(0, { isDown });
    },
    close: async () => {
      await platform.close();
      standIn.close();
    },
  };
}

function createFakeSubject(): Promise<Subject> {
  const way: PlatformWay = createWay();
  const store = createFakeObjectStore(createObjectTable(), way, createProcessClock(createFakeClock()));
  return Promise.resolve({
    store,
    loseAnswers: (count) => {
      way.lostAnswers = count;
    },
    setDown: (isDown) => {
      way.isDown = isDown;
    },
    close: () => Promise.resolve(),
  });
}
