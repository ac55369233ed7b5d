/** Allowances of organisations: the requests of all daemons together, and what is refused below the allowance. */
import { describe, expect, test } from "vitest";
import {
  type OrganisationAllowance,
  type PermitCall,
  computeCapacity,
  createAllowanceLedger,
  createPermitStock,
} from "../src/gateway";
import { createFakeClock } from "./support/fakeClock";
import {
  type SentRequest,
  bound,
  countWithinAllowance,
  createAllowanceCluster,
  findBusiestWindow,
  getAllowed,
} from "./support/allowanceCluster";

const DAEMONS = 64;
const large = { requestsPerSecond: 281, burst: 281 };
const small = { requestsPerSecond: 10, burst: 10 };

/** Spreads a rate evenly over all daemons. */
const spread = (rate: number) => Array.from({ length: DAEMONS }, () => rate / DAEMONS);
/** Sends everything to one daemon that is not the coordinator. */
const single = (rate: number) => Array.from({ length: DAEMONS }, (_, index) => (index === 9 ? rate : 0));
/** Sends half of the requests to three daemons, and the rest to the others. */
const uneven = (rate: number) =>
  Array.from({ length: DAEMONS }, (_, index) => (index < 3 ? rate / 6 : rate / 2 / (DAEMONS - 3)));

function getServedShare(sent: readonly SentRequest[]): number {
  return sent.filter((each) => each.isAdmitted).length / Math.max(1, sent.length);
}

interface Case {
  readonly name: string;
  readonly allowance: OrganisationAllowance;
  readonly place: (rate: number) => readonly number[];
}

const cases: readonly Case[] = [
  { name: "large, even", allowance: large, place: spread },
  { name: "large, uneven", allowance: large, place: uneven },
  { name: "large, at one daemon", allowance: large, place: single },
  { name: "small, even", allowance: small, place: spread },
  { name: "small, uneven", allowance: small, place: uneven },
  { name: "small, at one daemon", allowance: small, place: single },
  { name: "a burst below the rate", allowance: { requestsPerSecond: 100, burst: 10 }, place: spread },
  { name: "below one request a second", allowance: { requestsPerSecond: 0.5, burst: 1 }, place: spread },
];

describe("allowance of an organisation", () => {
  // Guards against daemons that each keep to the whole allowance, and against equal shares, which refuse callers that
  // come to few daemons. The rise comes while daemons hold permits and the bucket is full.
  test.each(cases)(
    "holds when an organisation sends ten times its usual: $name",
    async ({ allowance, place }) => {
      const cluster = createAllowanceCluster(DAEMONS, { a: allowance });
      const usual = allowance.requestsPerSecond * 0.8;
      await cluster.run(10_000, { a: place(usual) });
      await cluster.run(10_000, { a: place(usual * 10) });
      expect(findBusiestWindow(cluster.sent, "a")).toBeLessThanOrEqual(getAllowed(allowance));
      const admitted = cluster.sent.filter((each) => each.isAdmitted && each.at > cluster.clock.now() - 8000);
      expect(admitted.length).toBeGreaterThanOrEqual(Math.floor(0.9 * 8 * allowance.requestsPerSecond));
    },
  );

  // Guards against permits that lie unused at daemons without callers, and against buckets that held permits keep low.
  test.each(cases.slice(0, 6))("refuses next to nothing below it: $name", async ({ allowance, place }) => {
    const cluster = createAllowanceCluster(DAEMONS, { a: allowance });
    // The bucket of a new coordinator starts empty.
    await cluster.clock.advance(3000);
    await cluster.run(3000, { a: place(allowance.requestsPerSecond * 0.5) });
    cluster.sent.splice(0);
    await cluster.run(20_000, { a: place(allowance.requestsPerSecond * 0.8) });
    const admitted = cluster.sent.filter((each) => each.isAdmitted).length;
    expect(admitted).toBeGreaterThan(0.99 * countWithinAllowance(cluster.sent, "a", allowance));
  });

  test("an organisation far beyond its allowance takes nothing from another one", async () => {
    const cluster = createAllowanceCluster(DAEMONS, { a: large, b: small });
    await cluster.run(8000, { a: spread(200), b: spread(5) });
    cluster.sent.splice(0);
    await cluster.run(10_000, { a: spread(2810), b: spread(8) });
    const admitted = cluster.sent.filter((each) => each.organisation === "b" && each.isAdmitted);
    expect(admitted.length).toBeGreaterThan(0.98 * countWithinAllowance(cluster.sent, "b", small));
  });

  // Guards against permits that lie at all daemons while the bucket is full as well, and are used at once.
  test.each(cases)(
    "holds when requests come all at once after a pause: $name",
    async ({ allowance, place }) => {
      const cluster = createAllowanceCluster(DAEMONS, { a: allowance });
      await cluster.run(15_000, { a: place(allowance.requestsPerSecond * 0.3) });
      for (let count = 0; count < 8; count += 1) {
        await cluster.run(100, { a: place(allowance.requestsPerSecond * 100) });
        await cluster.run(1300, { a: place(allowance.requestsPerSecond * 0.3) });
      }
      expect(findBusiestWindow(cluster.sent, "a")).toBeLessThanOrEqual(getAllowed(allowance));
    },
  );

  test("a lower limit holds one window after the configuration", async () => {
    const allowances = { a: large };
    const cluster = createAllowanceCluster(DAEMONS, allowances);
    await cluster.run(8000, { a: spread(300) });
    allowances.a = { requestsPerSecond: 20, burst: 20 };
    await cluster.run(5000, { a: spread(300) });
    cluster.sent.splice(0);
    await cluster.run(8000, { a: spread(300) });
    expect(findBusiestWindow(cluster.sent, "a")).toBeLessThanOrEqual(getAllowed(allowances.a));
  });

  const isolations = [
    { name: "half of the daemons", cut: (index: number) => index >= 32 },
    { name: "all but the coordinator", cut: (index: number) => index > 0 },
  ];
  // Guards against a coordinator that gives out the whole rate beside what cut-off daemons use on their own.
  test.each(isolations)("holds while $name are cut off, and after their return", async ({ cut }) => {
    const cluster = createAllowanceCluster(DAEMONS, { a: large });
    const demand = { a: uneven(2810) };
    const indexes = spread(0).flatMap((_, index) => (cut(index) ? [index] : []));
    await cluster.run(6000, { a: spread(100) });
    indexes.forEach(cluster.isolate);
    await cluster.run(10_000, demand);
    const whileCut = cluster.sent.filter((each) => each.isAdmitted && each.at > cluster.clock.now() - 8000);
    expect(whileCut.length).toBeGreaterThan(0.5 * 8 * large.requestsPerSecond);
    indexes.forEach(cluster.reconnect);
    await cluster.run(8000, demand);
    expect(findBusiestWindow(cluster.sent, "a")).toBeLessThanOrEqual(getAllowed(large));
  });

  test("holds while daemons are cut off and return again and again", async () => {
    const cluster = createAllowanceCluster(DAEMONS, { a: large });
    await cluster.run(6000, { a: spread(100) });
    const indexes = spread(0).flatMap((_, index) => (index > 0 ? [index] : []));
    for (let count = 0; count < 10; count += 1) {
      indexes.forEach(cluster.isolate);
      await cluster.run(800, { a: spread(2810) });
      indexes.forEach(cluster.reconnect);
      await cluster.run(700, { a: spread(2810) });
    }
    expect(findBusiestWindow(cluster.sent, "a")).toBeLessThanOrEqual(getAllowed(large));
  });

  // Guards against requests that a daemon permits on its own and the coordinator, which hears it, never counts.
  test("holds while daemons get no answers, though their calls arrive", async () => {
    const cluster = createAllowanceCluster(DAEMONS, { a: large });
    await cluster.run(6000, { a: spread(100) });
    spread(0).forEach((_, index) => {
      if (index > 20) {
        cluster.deafen(index);
      }
    });
    await cluster.run(12_000, { a: spread(2810) });
    expect(findBusiestWindow(cluster.sent, "a")).toBeLessThanOrEqual(getAllowed(large));
  });

  test("a single daemon that is cut off keeps to half of an equal share", async () => {
    const cluster = createAllowanceCluster(DAEMONS, { a: large });
    await cluster.run(2000, { a: single(10) });
    cluster.isolate(9);
    await cluster.run(3000, { a: single(100) });
    cluster.sent.splice(0);
    await cluster.run(10_000, { a: single(100) });
    const share = (10 * large.requestsPerSecond) / 2 / DAEMONS;
    const admitted = cluster.sent.filter((each) => each.isAdmitted).length;
    expect(admitted).toBeGreaterThan(share * 0.9 - 1);
    expect(admitted).toBeLessThanOrEqual(share + 1);
  });

  test("holds when the coordinator is lost and another one is elected two seconds later", async () => {
    const cluster = createAllowanceCluster(DAEMONS, { a: large });
    await cluster.run(6000, { a: spread(100) });
    await cluster.run(1000, { a: spread(2810) });
    cluster.isolate(0);
    cluster.coordinator = undefined;
    await cluster.run(2000, { a: spread(2810) });
    cluster.coordinator = 1;
    cluster.known = 1;
    await cluster.run(8000, { a: spread(2810) });
    expect(findBusiestWindow(cluster.sent, "a")).toBeLessThanOrEqual(getAllowed(large));
    const afterwards = cluster.sent.filter((each) => each.isAdmitted && each.at > cluster.clock.now() - 6000);
    expect(afterwards.length).toBeGreaterThan(0.9 * 6 * large.requestsPerSecond);
  });

  // Guards against a bucket that has filled up while another daemon gave out the same permits.
  test("holds when a daemon becomes the coordinator again", async () => {
    const cluster = createAllowanceCluster(DAEMONS, { a: large });
    const elect = (index: number) => {
      cluster.coordinator = index;
      cluster.known = index;
      cluster.exchanges.forEach((exchange) => {
        exchange.evict();
      });
    };
    await cluster.run(6000, { a: spread(30) });
    elect(1);
    await cluster.run(6000, { a: spread(30) });
    await cluster.run(1000, { a: spread(2810) });
    elect(0);
    await cluster.run(6000, { a: spread(2810) });
    expect(findBusiestWindow(cluster.sent, "a")).toBeLessThanOrEqual(getAllowed(large));
  });

  test("holds when every daemon is restarted in turn, the coordinator too", async () => {
    const cluster = createAllowanceCluster(12, { a: large });
    const demand = { a: Array.from({ length: 12 }, () => 100) };
    for (let index = 0; index < 12; index += 1) {
      await cluster.run(500, demand);
      cluster.restart(index);
    }
    expect(findBusiestWindow(cluster.sent, "a")).toBeLessThanOrEqual(getAllowed(large));
  });
});

describe("permits", () => {
  const idle: PermitCall = {
    organisation: "a",
    held: 0,
    dropped: 0,
    local: 0,
    waiting: 0,
    expected: 0,
    wanted: 0,
  };

  function createLedger() {
    const clock = createFakeClock();
    const getClusterSize = () => DAEMONS;
    return {
      clock,
      ledger: createAllowanceLedger({ clock, bound, getClusterSize, countContacts: getClusterSize }),
    };
  }

  // Guards against a burst that comes twice: from the bucket, and from what daemons have taken out of it before.
  test("a bucket does not fill up while daemons hold its permits", async () => {
    const { clock, ledger } = createLedger();
    ledger.take("d0", large, idle);
    await clock.advance(10_000);
    let held = 0;
    for (let index = 0; index < DAEMONS; index += 1) {
      held += ledger.take(`d${index}`, large, { ...idle, wanted: 4 }).granted;
    }
    await clock.advance(1900);
    const rest = ledger.take("d70", large, { ...idle, waiting: 10_000 }).granted;
    expect(held).toBeGreaterThan(0.5 * large.burst);
    expect(rest).toBeGreaterThan(0.2 * large.burst);
    expect(held + rest).toBeLessThanOrEqual(computeCapacity(large, bound));
  });

  test("permits that a daemon has dropped unused return to the bucket, but no more than it held", async () => {
    const { clock, ledger } = createLedger();
    const tiny = { requestsPerSecond: 0.001, burst: 30 };
    ledger.take("d0", tiny, idle);
    await clock.advance(100_000_000);
    const { granted } = ledger.take("d0", tiny, { ...idle, waiting: 0, expected: 40 });
    const emptied = ledger.take("d1", tiny, { ...idle, waiting: 100 }).granted;
    ledger.take("d0", tiny, { ...idle, dropped: granted + 1000 });
    expect(emptied).toBeLessThan(granted);
    expect(ledger.take("d1", tiny, { ...idle, waiting: 100 }).granted).toBe(granted);
  });

  // Guards against permits that pile up unseen at daemons whose callers have gone.
  test("expire two seconds after they were asked for, and with a lower limit at once", async () => {
    const clock = createFakeClock();
    const stock = createPermitStock(clock);
    const fill = () => {
      stock.recordRequest("a", large);
      const calls = stock.startCalls("a", 1);
      stock.finishCalls(calls, [{ granted: 5, waitMs: null }]);
      return calls[0];
    };
    fill();
    expect(stock.use("a")).toBe(true);
    await clock.advance(2000);
    expect(stock.use("a")).toBe(false);
    expect(fill()?.dropped).toBe(4);
    stock.recordRequest("a", small);
    expect(stock.use("a")).toBe(false);
  });

  test("a new coordinator starts with empty buckets", () => {
    const { ledger } = createLedger();
    expect(ledger.take("d0", large, { ...idle, waiting: 5 })).toEqual({ granted: 0, waitMs: 100 });
  });
});

// Guards against one datagram for each request, which a coordinator with 0.27 core has no time for.
test("64 daemons and 74 organisations need far fewer calls than requests, and few requests wait", async () => {
  // Shares of the organisations fall with their rank, as in a Zipf distribution; allowances are 1.25 times the usual.
  const ranks = Array.from({ length: 74 }, (_, index) => index + 1);
  const total = ranks.reduce((sum, rank) => sum + 1 / rank, 0);
  const usual = new Map(ranks.map((rank) => [`o${rank}`, 1610 / rank / total]));
  const allowances = Object.fromEntries(
    [...usual].map(([name, rate]) => [name, { requestsPerSecond: rate * 1.25, burst: rate * 1.25 }]),
  );
  const cluster = createAllowanceCluster(DAEMONS, allowances);
  const demand = Object.fromEntries([...usual].map(([name, rate]) => [name, spread(rate)]));
  await cluster.run(12_000, demand);
  cluster.sent.splice(0);
  cluster.datagrams = 0;
  await cluster.run(6000, demand);
  const calls = cluster.datagrams / 2;
  const waited = cluster.sent.filter((each) => each.waitedMs > 0).length;
  expect(calls).toBeLessThan(0.5 * cluster.sent.length);
  expect(waited).toBeLessThan(0.5 * cluster.sent.length);
  expect(getServedShare(cluster.sent)).toBeGreaterThan(0.99);
}, 120_000);
