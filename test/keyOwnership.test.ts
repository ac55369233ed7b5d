/** No key is held by two servers, whatever is late: calls, answers, the work of a server, or a change of coordinator. */
import { afterEach, beforeEach, describe, expect, test } from "vitest";
import { ServerPhase } from "../src/discovery";
import { LAST_KEY, createHarness, createRange, createServer, startHarness } from "./support/keyCoordinator";

const SLOWEST_SERVER_CLOCK = 1.02;
const NAMES = ["s1", "s2", "s3"];
const SAMPLE_KEYS = [0, 20_000, 40_000, 60_000];

type Harness = ReturnType<typeof createHarness>;

let harness: Harness;

beforeEach(() => {
  harness = createHarness(NAMES);
});

afterEach(() => {
  expect(harness.conflicts).toEqual([]);
  harness.stop.abort();
});

async function start(names: readonly string[] = NAMES): Promise<AbortController> {
  const started = await startHarness(names);
  ({ harness } = started);
  return started.term;
}

function drain(name: string): void {
  harness.put(createServer(name, { phase: ServerPhase.Draining }));
}

describe("grants that arrive late", () => {
  // Guards against counting a grant from its call, though the server counts it from its arrival.
  test.each([100, 300, 600])(
    "keys of a silent server are not given away while it holds them by a grant that took %i ms",
    async (transitMs) => {
      harness.serverClockRate = SLOWEST_SERVER_CLOCK;
      harness.slowGrants.set("s1", transitMs);
      void harness.start();
      await harness.clock.advance(6000);
      harness.silent.add("s1");
      harness.directory.applyChanges([], ["servers/s1"]);
      await harness.clock.advance(6000);
      expect(harness.findOwners(SAMPLE_KEYS)).not.toContain("s1");
      expect(harness.findOwners(SAMPLE_KEYS)).not.toContain(undefined);
    },
  );

  // Guards against a successor that expects the last grant of its predecessor to have arrived at once.
  test("a successor does not give keys away while a server holds them by its predecessor's last grant", async () => {
    harness.serverClockRate = SLOWEST_SERVER_CLOCK;
    harness.storeSilenceMs = 2000;
    const term = new AbortController();
    void harness.start(harness.owners, term.signal);
    await harness.clock.advance(3000);
    harness.slowGrants.set("s1", 650);
    await harness.advanceUntilGrant("s1");
    term.abort();
    harness.silent.add("s1");
    harness.storeSilenceMs = 0;
    harness.directory.applyChanges([], ["servers/s1"]);
    harness.startSuccessor();
    await harness.clock.advance(12_000);
  });
});

describe("renewals that a server refuses", () => {
  // Guards against storing two owners of keys: a refused range was placed again although a write had just merged it.
  test("a range whose renewal is refused while it is being merged keeps a single owner", async () => {
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
    await harness.addBusyKeys(8000, 22_000, 6000);
  });

  // Guards against a successor that grants keys at once because its predecessor stored their new owner too early.
  test("keys whose renewal was refused during their release are given away only once the release was answered", async () => {
    const term = await start();
    harness.slowGrants.set("s1", 200);
    harness.runningWork.set("s1", 2000);
    await harness.advanceUntilGrant("s1");
    drain("s1");
    await harness.clock.advance(700);
    term.abort();
    harness.startSuccessor();
    await harness.clock.advance(10_000);
  });
});

describe("stored ranges that overlap", () => {
  // Guards against a fencing token that is below that of the other owner, as an earlier version's record led to.
  test("keys that are stored with two owners get one again, and the other releases them first", async () => {
    harness = createHarness(["s1", "s2"]);
    harness.store([createRange(0, 9999, "s1", 5), createRange(5000, LAST_KEY, "s2", 9)]);
    const grant = { from: 0, to: 9999, token: 5, durationMs: 10_000, handover: null };
    await harness.control.grant(createServer("s1"), grant, () => true);
    void harness.start();
    await harness.clock.advance(3000);
    expect(harness.findOwners([0, 4999, 5000, 9999, 20_000])).toEqual(["s1", "s1", "s2", "s2", "s2"]);
    await harness.clock.advance(15_000);
    expect(new Set(harness.grants.map(({ server }) => server))).toEqual(new Set(["s1", "s2"]));
  });
});

describe("a grant whose connection takes long", () => {
  const cases: readonly (readonly [name: string, disturb: (term: AbortController) => Promise<void>])[] = [
    [
      "the coordinator loses the lease",
      async () => {
        harness.isCoordinator = false;
        await harness.clock.advance(400);
      },
    ],
    [
      "the term ends, and the lease is held by a later one of the same daemon",
      async (term) => {
        term.abort();
        await harness.clock.advance(400);
      },
    ],
    [
      "its keys are released and given to other servers",
      async () => {
        const sent = harness.grants.length;
        drain("s1");
        await harness.clock.advance(300);
        expect(harness.grants.slice(sent).some(({ server }) => server !== "s1")).toBe(true);
        await harness.clock.advance(1000);
      },
    ],
    [
      "the server releases its keys and is started again under the same name",
      async () => {
        drain("s1");
        await harness.clock.advance(250);
        harness.restart("s1", 2);
        await harness.clock.advance(2000);
      },
    ],
  ];

  // Guards against a grant that reaches a server though its keys may be granted to another one.
  test.each(cases)("is not sent if meanwhile %s", async (_name, disturb) => {
    const term = await start();
    harness.slowConnections.set("s1", 350);
    await harness.advanceUntil(() => harness.connecting.has("s1"));
    const sent = harness.grants.length;
    await disturb(term);
    expect(harness.grants.slice(sent).map(({ server }) => server)).not.toContain("s1");
  });
});

describe("keys of a server that has left the directory", () => {
  // Guards against keys that nobody serves for eleven seconds since a new coordinator waits for their grants to expire.
  test("are released at the request of a new coordinator, if it is alive", async () => {
    const term = await start();
    harness.directory.applyChanges([], ["servers/s1"]);
    term.abort();
    void harness.start();
    await harness.clock.advance(4900);
    expect(harness.findOwners([0])).not.toContain("s1");
  });
});

describe("a coordinator whose term ends while it resolves an in-doubt write", () => {
  // Guards against writing back what a successor has stored, with the decisions of the earlier term.
  test("stores no new owners afterwards", async () => {
    const term = await start();
    // s1 is cut off: its entry is removed, and its keys are freed by expiry while the store has an outage.
    harness.silent.add("s1");
    harness.directory.applyChanges([], ["servers/s1"]);
    await harness.clock.advance(3500);
    harness.storeFaults.isDown = true;
    await harness.clock.advance(3000);
    const held = harness.holdNextRead();
    await harness.advanceUntil(held.isReached);
    harness.storeFaults.isDown = false;
    // The first coordinator resigns; s1 is back, and its successor finds it as the stored owner.
    term.abort();
    harness.silent.delete("s1");
    harness.put(createServer("s1"));
    const sent = harness.grants.length;
    const secondTerm = new AbortController();
    harness.startSuccessor(secondTerm.signal);
    await harness.clock.advance(500);
    expect(harness.grants.slice(sent).map(({ server }) => server)).toContain("s1");
    // s1 drains with work running when the read of the first coordinator is answered.
    harness.runningWork.set("s1", 2000);
    drain("s1");
    held.release();
    await harness.clock.advance(300);
    secondTerm.abort();
    harness.startSuccessor();
    await harness.clock.advance(6000);
  });
});
