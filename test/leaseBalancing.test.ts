/** Leases are evened out by one daemon at a time. */
import { describe, expect, test } from "vitest";
import {
  type LeaseBalancingOptions,
  type LeaseManager,
  balanceLeases,
  chooseSuccessor,
} from "../src/ownership";
import { createWorld } from "./support/world";

const daemons = { n1: "north", n2: "north", n3: "north", n4: "north" };
const names = Object.keys(daemons);

describe("lease balancing", () => {
  test("a daemon that starts later gets its share, and then nothing moves any more", async () => {
    const servers = Object.fromEntries(
      Array.from({ length: 8 }, (_unused, index) => [`s${index}`, { dataCentre: "north", isFenced: true }]),
    );
    const world = createWorld({ daemons, servers, slotCount: 16 });
    world.kill("n4");
    await world.clock.advance(4000);
    world.restart("n4");
    await world.clock.advance(1000);
    expect(world.daemon("n4").leases.all()).toHaveLength(0);
    let givers = 0;
    for (let round = 0; round < 12; round += 1) {
      const before = countLeases();
      for (const name of names) {
        await balanceLeases(optionsOf(name));
      }
      await world.clock.advance(500);
      const after = countLeases();
      givers = Math.max(givers, after.filter((count, index) => count < (before[index] ?? 0)).length);
    }
    expect(Math.max(...countLeases()) - Math.min(...countLeases())).toBeLessThanOrEqual(1);
    expect(givers).toBe(1);
    const writes = world.totalWrites();
    for (const name of names) {
      await balanceLeases(optionsOf(name));
    }
    expect(world.totalWrites()).toBe(writes);

    function countLeases(): readonly number[] {
      return names.map((name) => world.daemon(name).leases.all().length);
    }

    function optionsOf(name: string): LeaseBalancingOptions {
      const { leases, snapshots, membership } = world.daemon(name);
      return { leases, snapshots, membership };
    }
  });

  test("no successor is chosen in another data centre", async () => {
    const world = createWorld({
      daemons: { n1: "north", s1: "south" },
      servers: { one: { dataCentre: "north", isFenced: true } },
      slotCount: 4,
    });
    await world.clock.advance(4000);
    const { leases, snapshots, membership } = world.daemon("n1");
    const [server] = snapshots.findAssignment("desk")?.value.servers ?? [];
    const options: { leases: LeaseManager } & LeaseBalancingOptions = { leases, snapshots, membership };
    expect(server === undefined ? "none" : chooseSuccessor(options, server)).toBeUndefined();
  });
});
