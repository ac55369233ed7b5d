/**
 * Guards against lease balancing that overshoots or does not settle: several daemons with the most leases
 * would all choose the same receiver, so only one of them may hand over a lease in a round.
 */
import { describe, expect, test } from "vitest";
import {
  type LeaseBalancingOptions,
  type LeaseManager,
  balanceLeases,
  chooseSuccessor,
} from "../src/ownership";
import { createFakeCluster } from "./support/fakeCluster";

const daemons = { n1: "north", n2: "north", n3: "north", n4: "north" };
const daemonNames = Object.keys(daemons);

describe("lease balancing", () => {
  test("a daemon that starts later gets its share from one donor a round, and then no lease moves", async () => {
    const servers = Object.fromEntries(
      Array.from({ length: 8 }, (_unused, index) => [`s${index}`, { dataCentre: "north", isFenced: true }]),
    );
    const cluster = createFakeCluster({ daemons, servers, slotCount: 16 });
    cluster.kill("n4");
    await cluster.clock.advance(4000);
    cluster.restart("n4");
    await cluster.clock.advance(1000);
    expect(cluster.getDaemon("n4").leases.all()).toHaveLength(0);
    let maxDonorCount = 0;
    for (let round = 0; round < 12; round += 1) {
      const before = countLeases();
      for (const name of daemonNames) {
        await balanceLeases(getOptions(name));
      }
      await cluster.clock.advance(500);
      const after = countLeases();
      maxDonorCount = Math.max(
        maxDonorCount,
        after.filter((count, index) => count < (before[index] ?? 0)).length,
      );
    }
    expect(Math.max(...countLeases()) - Math.min(...countLeases())).toBeLessThanOrEqual(1);
    expect(maxDonorCount).toBe(1);
    const writes = cluster.countWrites();
    for (const name of daemonNames) {
      await balanceLeases(getOptions(name));
    }
    expect(cluster.countWrites()).toBe(writes);

    function countLeases(): readonly number[] {
      return daemonNames.map((name) => cluster.getDaemon(name).leases.all().length);
    }

    function getOptions(name: string): LeaseBalancingOptions {
      const { leases, snapshots, membership } = cluster.getDaemon(name);
      return { leases, snapshots, membership };
    }
  });

  test("no successor is chosen from another data centre", async () => {
    const cluster = createFakeCluster({
      daemons: { n1: "north", s1: "south" },
      servers: { one: { dataCentre: "north", isFenced: true } },
      slotCount: 4,
    });
    await cluster.clock.advance(4000);
    const { leases, snapshots, membership } = cluster.getDaemon("n1");
    const [server] = snapshots.findAssignment("desk")?.value.servers ?? [];
    const options: { leases: LeaseManager } & LeaseBalancingOptions = { leases, snapshots, membership };
    expect(server === undefined ? "none" : chooseSuccessor(options, server)).toBeUndefined();
  });
});
