/** State that daemons exchange by way of the coordinator: who gets reports and announcements, and what is dropped. */
import { describe, expect, test } from "vitest";
import { z } from "zod";
import { bindState, createStateExchange } from "../src/gateway";
import { createDatagramChannel } from "../src/membership";
import { createCounters, silentLogger } from "../src/observability";
import type { Address } from "../src/types";
import { createFakeClock, createProcessClock } from "./support/fakeClock";
import { createFakeNetwork } from "./support/fakeNetwork";

const INTERVAL_MS = 400;

/** Starts daemons that each report a number; the coordinator announces the sum of all reports. */
function startDaemons(reports: readonly unknown[], blockedPairs: readonly string[] = []) {
  const clock = createFakeClock();
  const network = createFakeNetwork(clock);
  const addresses: readonly Address[] = reports.map((_, index) => ({ host: "d", port: index + 1 }));
  blockedPairs.forEach((pair) => network.blockedPairs.add(pair));
  const stop = new AbortController();
  const cluster = {
    clock,
    network,
    addresses,
    coordinator: 0,
    /** What each daemon reports; undefined when it reports nothing. */
    reports,
    received: addresses.map((): number[] => []),
    counters: addresses.map(() => createCounters("test")),
    stop: () => {
      stop.abort();
    },
  };
  addresses.forEach((address, index) => {
    const latest = new Map<string, number>();
    const state = bindState<number, number>({
      name: "sum",
      reportSchema: z.number(),
      announcementSchema: z.number(),
      createReport: () => cluster.reports[index] as number | undefined,
      receiveReport: (daemon, report) => latest.set(daemon, report),
      createAnnouncement: () => [...latest.values()].reduce((total, value) => total + value, 0),
      receiveAnnouncement: (total) => cluster.received[index]?.push(total),
    });
    const exchange = createStateExchange({
      daemon: `d${index}`,
      channel: createDatagramChannel(
        network.createTransport(address, createProcessClock(clock)),
        cluster.counters[index] ?? createCounters("test"),
      ),
      isCoordinator: () => cluster.coordinator === index,
      findCoordinator: () => addresses[cluster.coordinator],
      getPeers: () => addresses.filter((other) => other !== address),
      states: [state],
      clock,
      logger: silentLogger,
    });
    void exchange.run(stop.signal);
  });
  return cluster;
}

describe("state exchange", () => {
  test("every daemon, the coordinator too, gets what follows from all reports", async () => {
    const cluster = startDaemons([0, 1, 2]);
    await cluster.clock.advance(3 * INTERVAL_MS);
    expect(cluster.received.map((each) => each.at(-1))).toEqual([3, 3, 3]);
    cluster.stop();
  });

  test("a new coordinator takes over, and announcements of the former one no longer count there", async () => {
    const cluster = startDaemons([0, 1, 2]);
    await cluster.clock.advance(2 * INTERVAL_MS);
    cluster.coordinator = 2;
    cluster.reports = [10, 10, undefined];
    await cluster.clock.advance(3 * INTERVAL_MS);
    expect(cluster.received.map((each) => each.at(-1))).toEqual([20, 20, 20]);
    cluster.stop();
  });

  test("a report that fails its schema is counted and changes nothing", async () => {
    const cluster = startDaemons([1, "not a number"]);
    await cluster.clock.advance(3 * INTERVAL_MS);
    expect(cluster.received[0]?.at(-1)).toBe(1);
    expect(cluster.counters[0]?.totals()["datagrams.refused"]).toBeGreaterThan(0);
    cluster.stop();
  });

  test("a daemon that the coordinator does not reach gets nothing, and the others go on", async () => {
    const cluster = startDaemons([0, 1, 2], ["d:1>d:3"]);
    await cluster.clock.advance(3 * INTERVAL_MS);
    expect(cluster.received[2]).toEqual([]);
    expect(cluster.received[1]?.at(-1)).toBe(3);
    cluster.stop();
  });
});
