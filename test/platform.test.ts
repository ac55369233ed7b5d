/**
 * Contract of the object API, for the HTTP adapter with the stand-in and for the in-memory fake, and order of
 * calls at the rate limiter. Guards against an update that takes effect twice because an answer was lost.
 */
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
import { createFakeClock, createProcessClock, flushPromises } from "./support/fakeClock";
import { type PlatformAccess, createFakeObjectStore, createPlatformAccess } from "./support/fakePlatform";

interface Subject {
  readonly store: ObjectStore;
  readonly loseAnswers: (count: number) => void;
  readonly setDown: (isDown: boolean) => void;
  readonly close: () => Promise<void>;
}

const openSubjects: Subject[] = [];

afterEach(async () => {
  await Promise.all(openSubjects.splice(0).map((subject) => subject.close()));
});

const subjects: readonly (readonly [string, () => Promise<Subject>])[] = [
  ["HTTP adapter and stand-in", createHttpSubject],
  ["in-memory fake", createFakeSubject],
];

describe.each(subjects)("object API: %s", (_name, createSubject) => {
  test("a write with base 0 creates an absent object, and conflicts once the object exists", async () => {
    const { store } = await openSubject(createSubject);
    expect(await store.read("a/b c", 0)).toBeUndefined();
    expect((await store.write("a/b c", { n: 1 }, 0, 0)).kind).toBe("written");
    const second = await store.write("a/b c", { n: 2 }, 0, 0);
    expect(second).toMatchObject({ kind: "conflict", current: { value: { n: 1 } } });
    expect((await store.read("a/b c", 0))?.value).toEqual({ n: 1 });
  });

  test("versions increase across all objects", async () => {
    const { store } = await openSubject(createSubject);
    const first = await store.write("x", 1, 0, 0);
    const second = await store.write("y", 1, 0, 0);
    expect(first.kind === "written" && second.kind === "written" && second.version > first.version).toBe(
      true,
    );
  });

  test("a list returns the objects under a prefix and the highest version of all objects", async () => {
    const { store } = await openSubject(createSubject);
    await store.write("p/1", 1, 0, 0);
    await store.write("q/1", 1, 0, 0);
    const listed = await store.list("p/", 0);
    expect(listed.objects.map((object) => object.path)).toEqual(["p/1"]);
    expect(listed.version).toBe(2);
  });

  test("a call during an outage fails with PlatformUnavailableError", async () => {
    const { store, setDown } = await openSubject(createSubject);
    setDown(true);
    await expect(store.read("x", 0)).rejects.toMatchObject({ name: "PlatformUnavailableError" });
  });

  const lostAnswers = [1, 2, 4];

  test.each(lostAnswers)("an update takes effect exactly once when %i answers are lost", async (count) => {
    const { store, loseAnswers } = await openSubject(createSubject);
    await updateObject(store, "counter", 0, () => 1);
    loseAnswers(count);
    const result = await updateObject(store, "counter", 0, (current) => Number(current?.value) + 1);
    expect(result).toMatchObject({ kind: "updated", value: 2 });
    expect(await readValue(store, "counter")).toBe(2);
  });

  test("twenty concurrent updates all take effect", async () => {
    const { store } = await openSubject(createSubject);
    const increment = () => updateObject(store, "counter", 0, (current) => Number(current?.value ?? 0) + 1);
    await Promise.all(Array.from({ length: 20 }, increment));
    expect(await readValue(store, "counter")).toBe(20);
  });
});

describe("rate limiter", () => {
  test("calls above the rate wait, and are admitted by priority", async () => {
    const clock = createFakeClock();
    const limiter = createRateLimiter(clock, 10);
    const order: string[] = [];
    for (let index = 0; index < 10; index += 1) {
      void limiter.acquire(2);
    }
    void limiter.acquire(2).then(() => order.push("status"));
    void limiter.acquire(1).then(() => order.push("configuration"));
    void limiter.acquire(0).then(() => order.push("ownership"));
    await flushPromises();
    expect(order).toEqual([]);
    await clock.advance(150);
    expect(order).toEqual(["ownership"]);
    await clock.advance(300);
    expect(order).toEqual(["ownership", "configuration", "status"]);
  });
});

async function openSubject(createSubject: () => Promise<Subject>): Promise<Subject> {
  const subject = await createSubject();
  openSubjects.push(subject);
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
  const access: PlatformAccess = createPlatformAccess();
  const store = createFakeObjectStore(createObjectTable(), access, createProcessClock(createFakeClock()));
  return Promise.resolve({
    store,
    loseAnswers: (count) => {
      access.lostAnswers = count;
    },
    setDown: (isDown) => {
      access.isDown = isDown;
    },
    close: () => Promise.resolve(),
  });
}
