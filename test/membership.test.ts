/**
 * Failure detection between daemons. Guards against stopped members that are found too late, and against
 * members declared dead although they run: after a pause of either side, or when only one connection is
 * lost.
 */
import { Packr } from "msgpackr";
import { describe, expect, test } from "vitest";
import { type Membership, createMembership } from "../src/membership";
import { createCounters, silentLogger } from "../src/observability";
import { createRandom } from "../standins/scenarios/callers";
import { type FakeClock, type ProcessClock, createFakeClock, createProcessClock } from "./support/fakeClock";
import { type FakeNetwork, createFakeNetwork } from "./support/fakeNetwork";

const DETECTION_LIMIT_MS = 2000;
const NODE_COUNT = 6;

interface Node {
  readonly name: string;
  readonly clock: ProcessClock;
  readonly membership: Membership;
  readonly totals: () => Readonly<Record<string, number>>;
}

describe("membership", () => {
  test("all members find each other through one seed", async () => {
    const { clock, nodes } = createCluster(NODE_COUNT);
    await clock.advance(3000);
    for (const node of nodes) {
      expect(node.membership.present()).toHaveLength(NODE_COUNT);
    }
  });

  test("a stopped process is dead for all members within the limit, and present again after a restart", async () => {
    const { clock, network, nodes } = createCluster(NODE_COUNT);
    await clock.advance(3000);
    nodes[2]?.clock.stop();
    await clock.advance(DETECTION_LIMIT_MS);
    for (const node of nodes.filter((each) => each.name !== "d2")) {
      expect(node.membership.get("d2")?.status).toBe("dead");
    }
    startNode(clock, network, 2, 77);
    await clock.advance(DETECTION_LIMIT_MS);
    expect(nodes[0]?.membership.isPresent({ daemon: "d2", incarnation: 77 })).toBe(true);
    expect(nodes[0]?.membership.isPresent({ daemon: "d2", incarnation: 1 })).toBe(false);
  });

  test("a process that resumes after a pause refutes its death and declares no other member dead", async () => {
    const { clock, nodes } = createCluster(NODE_COUNT);
    await clock.advance(3000);
    nodes[1]?.clock.pause();
    await clock.advance(5000);
    expect(nodes[0]?.membership.get("d1")?.status).toBe("dead");
    nodes[1]?.clock.resume();
    await clock.advance(50);
    expect(nodes[1]?.membership.present()).toHaveLength(NODE_COUNT);
    await clock.advance(3000);
    expect(nodes[0]?.membership.get("d1")?.status).toBe("alive");
  });

  test("a suspicion that times out while the observer is paused does not make the suspect dead", async () => {
    const { clock, nodes } = createCluster(NODE_COUNT);
    await clock.advance(3000);
    const [observer, suspect] = nodes;
    const deaths: string[] = [];
    observer?.membership.events.on("changed", (member) => {
      deaths.push(...(member.status === "dead" ? [member.daemon] : []));
    });
    suspect?.clock.pause();
    while (observer?.membership.get("d1")?.status !== "suspect") {
      await clock.advance(10);
    }
    observer.clock.pause();
    suspect?.clock.resume();
    await clock.advance(3000);
    observer.clock.resume();
    await clock.advance(2000);
    expect(deaths).toEqual([]);
    expect(observer.membership.get("d1")?.status).toBe("alive");
  });

  test("two members that lose their connection to each other stay alive through indirect pings", async () => {
    const { clock, network, nodes } = createCluster(NODE_COUNT);
    await clock.advance(3000);
    cutConnection(network, 0, 1);
    await clock.advance(5000);
    expect(nodes[0]?.membership.get("d1")?.status).toBe("alive");
    expect(nodes[1]?.membership.get("d0")?.status).toBe("alive");
  });

  test("the two sides of a network partition merge after it has ended", async () => {
    const { clock, network, nodes } = createCluster(NODE_COUNT);
    await clock.advance(3000);
    for (const left of [0, 1, 2]) {
      for (const right of [3, 4, 5]) {
        cutConnection(network, left, right);
      }
    }
    await clock.advance(5000);
    expect(nodes[0]?.membership.present()).toHaveLength(3);
    network.blockedPairs.clear();
    await clock.advance(6000);
    for (const node of nodes) {
      expect(node.membership.present()).toHaveLength(NODE_COUNT);
    }
  });

  test("the status of a member that announced that it left is final", async () => {
    const { clock, nodes } = createCluster(NODE_COUNT);
    await clock.advance(3000);
    nodes[4]?.membership.leave();
    nodes[4]?.membership.stop();
    await clock.advance(1500);
    expect(nodes[0]?.membership.get("d4")?.status).toBe("left");
    await clock.advance(5000);
    expect(nodes[0]?.membership.get("d4")?.status).toBe("left");
  });

  const packr = new Packr({ useRecords: false });
  const invalidDatagrams: readonly (readonly [string, Uint8Array, string])[] = [
    ["no content", new Uint8Array(0), "malformed"],
    ["random bytes", Uint8Array.from([0xc1, 7, 255, 3]), "malformed"],
    ["fields of the wrong type", packr.pack({ kind: "ping", sequence: "x" }), "malformed"],
    ["another protocol version", packr.pack({ ...createValidPing(), protocol: 99 }), "malformed"],
    ["the name of another cluster", packr.pack({ ...createValidPing(), cluster: "other" }), "cluster"],
  ];

  test.each(invalidDatagrams)("a datagram with %s is refused and counted", async (_name, content, reason) => {
    const { clock, network, nodes } = createCluster(2);
    await clock.advance(1000);
    network.deliver({ host: "10.0.0.1", port: 1 }, content);
    await clock.advance(1000);
    expect(nodes[0]?.totals()[`membership.refused:${reason}`]).toBe(1);
    expect(nodes[0]?.membership.present()).toHaveLength(2);
  });
});

function createValidPing() {
  const sender = {
    daemon: "x",
    incarnation: 1,
    dataCentre: "north",
    address: { host: "10.0.0.9", port: 9 },
    status: "alive",
    refutation: 0,
    platformReachable: true,
    configurationVersion: 0,
    leaving: false,
  };
  return {
    kind: "ping",
    join: false,
    protocol: 1,
    cluster: "test",
    sequence: 1,
    sender,
    digest: 0,
    gossip: [],
  };
}

function createCluster(count: number) {
  const clock = createFakeClock();
  const network = createFakeNetwork(clock);
  const nodes = Array.from({ length: count }, (_unused, index) => startNode(clock, network, index, 1));
  return { clock, network, nodes };
}

function startNode(clock: FakeClock, network: FakeNetwork, index: number, incarnation: number): Node {
  const processClock = createProcessClock(clock);
  const counters = createCounters("test");
  const address = { host: "10.0.0.1", port: index + 1 };
  const membership = createMembership({
    cluster: "test",
    self: { daemon: `d${index}`, incarnation, dataCentre: index % 2 === 0 ? "north" : "south", address },
    seeds: [{ daemon: "d0", address: { host: "10.0.0.1", port: 1 } }],
    clock: processClock,
    transport: network.createTransport(address, processClock),
    logger: silentLogger,
    counters,
    random: createRandom(index + 5),
    computeDigest: () => 0,
  });
  return { name: `d${index}`, clock: processClock, membership, totals: () => counters.totals() };
}

function cutConnection(network: FakeNetwork, left: number, right: number): void {
  network.blockedPairs.add(`10.0.0.1:${left + 1}>10.0.0.1:${right + 1}`);
  network.blockedPairs.add(`10.0.0.1:${right + 1}>10.0.0.1:${left + 1}`);
}
