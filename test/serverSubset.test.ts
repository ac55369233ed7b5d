/**
 * The pattern of many daemons and many servers: each daemon has a few requests a second, and would see each server
 * once a minute. Subsets make the pairs few, with every server in about equally many of them.
 */
import { describe, expect, test } from "vitest";
import { type DiscoveredServer } from "../src/discovery";
import { createServerSubsets } from "../src/gateway";
import { createTestServer } from "./support/gateway";

const ZONES = ["a", "b", "c", "d"];

function createServers(count: number): readonly DiscoveredServer[] {
  return Array.from({ length: count }, (_, index) =>
    createTestServer(`s${index}`, 80, { dataCentre: ZONES[index % ZONES.length] ?? "a" }),
  );
}

function chooseAll(daemons: number, servers: readonly DiscoveredServer[]) {
  return Array.from({ length: daemons }, (_, index) =>
    createServerSubsets(`d${index}`, ZONES[index % ZONES.length] ?? "a").choose("desk", servers),
  );
}

function countUses(subsets: readonly (readonly DiscoveredServer[])[], servers: readonly DiscoveredServer[]) {
  const uses = new Map(servers.map((server) => [server, 0]));
  for (const server of subsets.flat()) {
    uses.set(server, (uses.get(server) ?? 0) + 1);
  }
  return [...uses.values()];
}

describe("subsets of servers", () => {
  test("are all servers of a service that has few", () => {
    const servers = createServers(12);
    expect(chooseAll(12, servers).every((subset) => subset === servers)).toBe(true);
  });

  const sizes = [
    { daemons: 82, servers: 72 },
    { daemons: 195, servers: 107 },
    { daemons: 195, servers: 336 },
    { daemons: 755, servers: 414 },
    { daemons: 5000, servers: 414 },
  ];
  test.each(sizes)(
    "of $daemons daemons use $servers servers about equally",
    ({ daemons, servers: count }) => {
      const servers = createServers(count);
      const subsets = chooseAll(daemons, servers);
      expect(new Set(subsets.map((subset) => subset.length))).toEqual(new Set([8]));
      subsets.forEach((subset, index) => {
        const near = subset.filter((server) => server.dataCentre === ZONES[index % ZONES.length]);
        expect(near.length).toBeGreaterThanOrEqual(4);
      });
      const mean = (daemons * 8) / count;
      const uses = countUses(subsets, servers);
      // Five standard deviations of a count whose mean this is.
      expect(Math.max(...uses)).toBeLessThan(mean + 5 * Math.sqrt(mean));
      expect(Math.min(...uses)).toBeGreaterThanOrEqual(Math.floor(Math.max(0, mean - 5 * Math.sqrt(mean))));
    },
  );

  test("change little when a server leaves and when one joins", () => {
    const servers = createServers(100);
    const before = chooseAll(195, servers);
    const after = chooseAll(195, [...servers.slice(1), createTestServer("new", 80)]);
    const changes = before.map(
      (subset, index) => subset.filter((server) => !(after[index] ?? []).includes(server)).length,
    );
    expect(Math.max(...changes)).toBeLessThanOrEqual(3);
    expect(changes.filter((count) => count === 0).length).toBeGreaterThan(195 / 2);
  });

  test("keep servers of other data centres when all near ones are lost", () => {
    const servers = createServers(100).filter((server) => server.dataCentre !== "a");
    const [subset = []] = chooseAll(1, servers);
    expect(subset).toHaveLength(8);
  });
});
