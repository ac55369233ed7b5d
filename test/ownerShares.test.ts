/** The pattern of busy keys that are together on one server, at which hundreds of daemons send without a common view. */
import { describe, expect, test } from "vitest";
import { computeOwnerShares, createKeyLoad, createOwnerShares } from "../src/keyRanges";
import { createRandom } from "../standins/scenarios/callers";
import { createFakeClock } from "./support/fakeClock";
import { SEED } from "./support/gateway";

const KEYS_PER_SERVER = 300;
const CAPACITY = 11;

const createRanges = (count: number) =>
  Array.from({ length: count }, (_, index) => ({
    from: index * KEYS_PER_SERVER,
    to: (index + 1) * KEYS_PER_SERVER - 1,
    server: `s${index}`,
    bornAt: 1,
    token: 1,
  }));

describe("shares of overloaded owners", () => {
  const fleets = [{ daemons: 12 }, { daemons: 82 }, { daemons: 195 }, { daemons: 755 }];
  test.each(fleets)(
    "keep the requests of $daemons daemons for the busy keys of one server near what it can take",
    async ({ daemons }) => {
      const clock = createFakeClock();
      const random = createRandom(SEED);
      const load = createKeyLoad(clock);
      const tables = Array.from({ length: daemons }, () => createOwnerShares(clock));
      const ranges = createRanges(50);
      let admitted = 0;
      for (let step = 0; step < 60; step += 1) {
        // 300 requests per second for keys of one server, and two for those of every other one.
        for (let request = 0; request < 30; request += 1) {
          load.record(Math.floor(random() * 200));
          const table = tables[Math.floor(random() * daemons)];
          admitted += step >= 30 && random() < (table?.find("s0") ?? 1) ? 1 : 0;
        }
        for (let server = 1; server < 50; server += 5) {
          load.record(server * KEYS_PER_SERVER);
        }
        await clock.advance(100);
        if (step % 4 === 3) {
          const shares = computeOwnerShares(ranges, load.measureRate(), () => CAPACITY);
          expect(shares.map(({ server }) => server)).toEqual(["s0"]);
          tables.forEach((table) => {
            table.replace(shares);
          });
        }
      }
      const perSecond = admitted / 3;
      expect(perSecond).toBeGreaterThan(CAPACITY * 0.8);
      expect(perSecond).toBeLessThan(CAPACITY * 2);
    },
  );

  test("are 1 for owners that can take their requests, and again once the coordinator is silent", async () => {
    const clock = createFakeClock();
    const table = createOwnerShares(clock);
    expect(
      computeOwnerShares(
        createRanges(2),
        () => 12,
        () => CAPACITY,
      ),
    ).toEqual([]);
    expect(
      computeOwnerShares(
        createRanges(2),
        () => 999,
        () => undefined,
      ),
    ).toEqual([]);
    table.replace(
      computeOwnerShares(
        createRanges(1),
        () => 132,
        () => CAPACITY,
      ),
    );
    expect(table.find("s0")).toBeCloseTo(0.1);
    expect(table.find("s1")).toBe(1);
    await clock.advance(2000);
    expect(table.find("s0")).toBe(1);
  });
});
