/** No key is held by two servers, whatever is late: calls, answers, the work of a server, or a change of coordinator. */
import { describe, expect, test } from "vitest";
import { ServerPhase } from "../src/discovery";
import { createOwnerTable } from "../src/keyRanges";
import { silentLogger } from "../src/observability";
import { LAST_KEY, createHarness, createRange, createServer } from "./support/keyCoordinator";

const SLOWEST_SERVER_CLOCK = 1.02;

describe("grants that arrive late", () => {
  // Guards against counting a grant from its call, though the server counts it from its arrival.
  test.each([100, 300, 600])(
    "keys of a silent server are not given away while it holds them by a grant that took %i ms",
    async (transitMs) => {
      const harness = createHarness(["s1", "s2", "s3"]);
      harness.serverClockRate = SLOWEST_SERVER_CLOCK;
      harness.slowGrants.set("s1", transitMs);
      void harness.start();
      await harness.clock.advance(6000);
      harness.silent.add("s1");
      harness.directory.applyChanges([], ["servers/s1"]);
      await harness.clock.advance(6000);
      expect(harness.conflicts).toEqual([]);
      expect(harness.findOwners([0, 20_000, 40_000, 60_000])).not.toContain("s1");
      expect(harness.findOwners([0, 20_000, 40_000, 60_000])).not.toContain(undefined);
      harness.stop.abort();
    },
  );

  // Guards against a successor that expects the last grant of its predecessor to have arrived at once.
  test("a successor does not give keys away while a server holds them by its predecessor's last grant", async () => {
    const harness = createHarness(["s1", "s2", "s3"]);
    harness.serverClockRate = SLOWEST_SERVER_CLOCK;
    const firstTerm = new AbortController();
    harness.storeSilenceMs = 2000;
    void harness.start(harness.owners, firstTerm.signal);
    await harness.clock.advance(3000);
    harness.slowGrants.set("s1", 650);
    const sent = harness.grants.length;
    while (!harness.grants.slice(sent).some(({ server }) => server === "s1")) {
      await harness.clock.advance(10);
    }
    firstTerm.abort();
    harness.silent.add("s1");
    harness.storeSilenceMs = 0;
    harness.directory.applyChanges([], ["servers/s1"]);
    void harness.start(createOwnerTable(harness.clock, silentLogger));
    await harness.clock.advance(12_000);
    expect(harness.conflicts).toEqual([]);
    harness.stop.abort();
  });
});

describe("renewals that a server refuses", () => {
  // Guards against storing two owners of keys: a refused range was placed again although a write had just merged it.
  test("a range whose renewal is refused while it is being merged keeps a single owner", async () => {
    const harness = createHarness(["s1", "s2", "s3"]);
    harness.store([
      createRange(0, 9999, "s1"),
      createRange(10_000, 19_999, "s1"),
      createRange(20_000, 29_999, "s1"),
      createRange(30_000, 59_999, "s2", 2),
    ]);
    // The earlier coordinator released keys to move them, and could not store their new owner.
    await harness.control.release(createServer("s1"), { from: 10_000, to: 19_999 }, 500);
    harness.slowGrants.set("s1", 50);
    harness.storeFaults.answerDelayMs = 200;
    void harness.start();
    await harness.clock.advance(2000);
    harness.storeFaults.answerDelayMs = 0;
    for (let step = 0; step < 60; step += 1) {
      for (let key = 8000; key < 22_000; key += 16) {
        harness.load.record(key);
      }
      await harness.clock.advance(100);
    }
    expect(harness.conflicts).toEqual([]);
    harness.stop.abort();
  });

  // Guards against a successor that grants keys at once because its predecessor stored their new owner too early.
  test("keys whose renewal was refused during their release are given away only once the release was answered", async () => {
    const harness = createHarness(["s1", "s2", "s3"]);
    const firstTerm = new AbortController();
    void harness.start(harness.owners, firstTerm.signal);
    await harness.clock.advance(3000);
    harness.slowGrants.set("s1", 200);
    harness.runningWork.set("s1", 2000);
    const sent = harness.grants.length;
    while (!harness.grants.slice(sent).some(({ server }) => server === "s1")) {
      await harness.clock.advance(10);
    }
    harness.put(createServer("s1", { phase: ServerPhase.Draining }));
    await harness.clock.advance(700);
    firstTerm.abort();
    void harness.start(createOwnerTable(harness.clock, silentLogger));
    await harness.clock.advance(10_000);
    expect(harness.conflicts).toEqual([]);
    harness.stop.abort();
  });
});

describe("stored ranges that overlap", () => {
  // Guards against a fencing token that is below that of the other owner, as an earlier version's record led to.
  test("keys that are stored with two owners get one again, and the other releases them first", async () => {
    const harness = createHarness(["s1", "s2"]);
    harness.store([createRange(0, 9999, "s1", 5), createRange(5000, LAST_KEY, "s2", 9)]);
    const grant = { from: 0, to: 9999, token: 5, durationMs: 10_000, handover: null };
    await harness.control.grant(createServer("s1"), grant, () => true);
    void harness.start();
    await harness.clock.advance(3000);
    expect(harness.findOwners([0, 4999, 5000, 9999, 20_000])).toEqual(["s1", "s1", "s2", "s2", "s2"]);
    await harness.clock.advance(15_000);
    expect(harness.conflicts).toEqual([]);
    expect(new Set(harness.grants.map(({ server }) => server))).toEqual(new Set(["s1", "s2"]));
    harness.stop.abort();
  });
});

describe("grants by a coordinator whose term ends", () => {
  interface EndCase {
    readonly name: string;
    readonly end: (harness: ReturnType<typeof createHarness>, term: AbortController) => void;
  }

  const ends: readonly EndCase[] = [
    {
      name: "it loses the lease",
      end: (harness) => {
        harness.isCoordinator = false;
      },
    },
    {
      name: "a later term of the same daemon begins",
      end: (harness, term) => {
        term.abort();
        harness.slowConnections.clear();
        harness.silent.add("s1");
      },
    },
  ];

  // Guards against a grant that reaches its server after the successor's first calls.
  const endsByName = ends.map((each) => [each.name, each] as const);
  test.each(endsByName)(
    "a grant is not sent if, while its connection is made, %s",
    async (_name, { end }) => {
      const harness = createHarness(["s1", "s2"]);
      const term = new AbortController();
      void harness.start(harness.owners, term.signal);
      await harness.clock.advance(3000);
      harness.slowConnections.set("s1", 350);
      while (!harness.connecting.has("s1")) {
        await harness.clock.advance(10);
      }
      const sent = harness.grants.length;
      end(harness, term);
      await harness.clock.advance(400);
      expect(harness.grants.slice(sent).map(({ server }) => server)).not.toContain("s1");
      harness.stop.abort();
    },
  );
});

// Guards against keys that nobody serves for eleven seconds since a new coordinator waits for their grants to expire.
describe("keys of a server that has left the directory", () => {
  test("are released at the request of a new coordinator, if it is alive", async () => {
    const harness = createHarness(["s1", "s2", "s3"]);
    const firstTerm = new AbortController();
    void harness.start(harness.owners, firstTerm.signal);
    await harness.clock.advance(3000);
    harness.directory.applyChanges([], ["servers/s1"]);
    firstTerm.abort();
    void harness.start();
    const startedAt = harness.clock.now();
    while (harness.findOwners([0]).includes("s1") && harness.clock.now() - startedAt < 20_000) {
      await harness.clock.advance(100);
    }
    expect(harness.clock.now() - startedAt).toBeLessThan(5000);
    harness.stop.abort();
  });
});

describe("a grant whose connection takes long", () => {
  // Guards against a renewal of keys that another server has been given in the meantime.
  test("is not sent once its keys were released and given to another server", async () => {
    const harness = createHarness(["s1", "s2", "s3"]);
    void harness.start();
    await harness.clock.advance(3000);
    harness.slowConnections.set("s1", 350);
    while (!harness.connecting.has("s1")) {
      await harness.clock.advance(10);
    }
    const sent = harness.grants.length;
    harness.put(createServer("s1", { phase: ServerPhase.Draining }));
    await harness.clock.advance(300);
    const others = harness.grants.slice(sent).filter(({ server }) => server !== "s1");
    expect(others.length).toBeGreaterThan(0);
    await harness.clock.advance(1000);
    expect(harness.grants.slice(sent).map(({ server }) => server)).not.toContain("s1");
    harness.stop.abort();
  });

  // Guards against two owners: the new process knows no fencing token that would make it refuse the renewal.
  test("does not reach a process that was restarted under the same name after the release", async () => {
    const harness = createHarness(["s1", "s2", "s3"]);
    void harness.start();
    await harness.clock.advance(3000);
    harness.slowConnections.set("s1", 350);
    while (!harness.connecting.has("s1")) {
      await harness.clock.advance(10);
    }
    harness.put(createServer("s1", { phase: ServerPhase.Draining }));
    await harness.clock.advance(250);
    harness.restart("s1", 2);
    await harness.clock.advance(2000);
    expect(harness.conflicts).toEqual([]);
    harness.stop.abort();
  });
});

describe("a coordinator whose term ends while it resolves an in-doubt write", () => {
  // Guards against writing back what a successor has stored, with the decisions of the earlier term.
  test("stores no new owners afterwards", async () => {
    const harness = createHarness(["s1", "s2", "s3"]);
    const firstTerm = new AbortController();
    void harness.start(harness.owners, firstTerm.signal);
    await harness.clock.advance(3000);
    // s1 is cut off: its entry is removed, and its keys are freed by expiry while the store has an outage.
    harness.silent.add("s1");
    harness.directory.applyChanges([], ["servers/s1"]);
    await harness.clock.advance(3500);
    harness.storeFaults.isDown = true;
    await harness.clock.advance(3000);
    const held = harness.holdNextRead();
    while (!held.isReached()) {
      await harness.clock.advance(10);
    }
    harness.storeFaults.isDown = false;
    // The first coordinator resigns; s1 is back, and its successor finds it as the stored owner.
    firstTerm.abort();
    harness.silent.delete("s1");
    harness.put(createServer("s1"));
    const sent = harness.grants.length;
    const secondTerm = new AbortController();
    void harness.start(createOwnerTable(harness.clock, silentLogger), secondTerm.signal);
    await harness.clock.advance(500);
    expect(harness.grants.slice(sent).map(({ server }) => server)).toContain("s1");
    // s1 drains with work running when the read of the first coordinator is answered.
    harness.runningWork.set("s1", 2000);
    harness.put(createServer("s1", { phase: ServerPhase.Draining }));
    held.release();
    await harness.clock.advance(300);
    secondTerm.abort();
    void harness.start(createOwnerTable(harness.clock, silentLogger));
    await harness.clock.advance(6000);
    expect(harness.conflicts).toEqual([]);
    harness.stop.abort();
  });
});

describe("after the object store was restored from a copy", () => {
  interface LateCase {
    readonly name: string;
    /** What happens to server s2 after the successor has started. */
    readonly disturb: (harness: ReturnType<typeof createHarness>) => Promise<void>;
  }

  const cases: readonly LateCase[] = [
    {
      name: "does not answer, leaves the directory and runs on",
      disturb: async (harness) => {
        harness.silent.add("s2");
        await harness.clock.advance(1500);
        harness.directory.applyChanges([], ["servers/s2"]);
      },
    },
    {
      name: "is not listed and registers again 2.5 s later",
      disturb: async (harness) => {
        harness.directory.applyChanges([], ["servers/s2"]);
        await harness.clock.advance(2500);
        harness.put(createServer("s2"));
      },
    },
  ];

  // Guards against taking a server that the coordinator does not hear of for one that holds no keys.
  const casesByName = cases.map((each) => [each.name, each] as const);
  test.each(casesByName)(
    "no key gets a second owner if a server that held it %s",
    async (_name, { disturb }) => {
      const harness = createHarness(["s1", "s2", "s3", "s4"]);
      const term = new AbortController();
      void harness.start(harness.owners, term.signal);
      await harness.clock.advance(3000);
      harness.table.copy();
      for (let step = 0; step < 40; step += 1) {
        for (let key = 0; key < 2000; key += 16) {
          harness.load.record(key);
        }
        await harness.clock.advance(100);
      }
      term.abort();
      harness.table.restore();
      void harness.start(createOwnerTable(harness.clock, silentLogger));
      await disturb(harness);
      await harness.clock.advance(14_000);
      expect(harness.conflicts).toEqual([]);
      harness.stop.abort();
    },
  );
});
