/** Rate limits of backend servers: the requests of all daemons together, and what becomes of the rest. */
import { describe, expect, test } from "vitest";
import { type DiscoveredServer, ServerPhase, type StatedRateLimit } from "../src/discovery";
import { type PermitExchange, createPermitExchange, createServerRateLimits } from "../src/gateway";
import { createDatagramChannel } from "../src/membership";
import { createCounters, silentLogger } from "../src/observability";
import { type Address, formatAddress } from "../src/types";
import { createRandom } from "../standins/scenarios/callers";
import { type FakeClock, createFakeClock, createProcessClock } from "./support/fakeClock";
import { createFakeNetwork } from "./support/fakeNetwork";

const SEED = 20_261_204;
const WINDOW_MS = 4000;
const STEP_MS = 20;
const SERVER = "s";

const server: DiscoveredServer = {
  name: SERVER,
  bornAt: 1,
  service: "desk",
  address: { host: "127.0.0.1", port: 1 },
  dataCentre: "a",
  slots: 4,
  phase: ServerPhase.Ready,
  sequence: 0,
  coldForMs: 0,
};

/** Creates daemons that know the server's limit and send it requests; daemon 0 is the coordinator at first. */
function createCluster(daemonCount: number) {
  const clock = createFakeClock();
  const network = createFakeNetwork(clock);
  const random = createRandom(SEED);
  const addresses = Array.from({ length: daemonCount }, (_, index) => ({ host: "d", port: index + 1 }));
  const sentAt: number[] = [];
  const cluster = {
    clock,
    sentAt,
    requestsPerSecond: 5,
    /** Index of the daemon that holds the lease; undefined while none does. */
    coordinator: 0 as number | undefined,
    /** Index of the daemon that the others take for the coordinator. */
    known: 0 as number | undefined,
    exchanges: [] as PermitExchange[],
    restart: (index: number) => {
      cluster.exchanges[index] = startDaemon(addresses[index] ?? { host: "d", port: 0 }, index);
    },
    isolate: (index: number) => {
      const own = formatAddress(addresses[index] ?? { host: "d", port: 0 });
      for (const other of addresses.map(formatAddress)) {
        network.blockedPairs.add(`${own}>${other}`).add(`${other}>${own}`);
      }
    },
    /** Lets each daemon get requests at its rate, per second, at random moments. */
    run: async (durationMs: number, requestsPerSecond: readonly number[]) => {
      const startedAt = clock.now();
      while (clock.now() < startedAt + durationMs) {
        for (const [index, rate] of requestsPerSecond.entries()) {
          if (random() < (rate * STEP_MS) / 1000) {
            void sendOne(cluster.exchanges[index]);
          }
        }
        await clock.advance(STEP_MS);
      }
    },
  };
  cluster.exchanges = addresses.map(startDaemon);
  return cluster;

  function startDaemon(address: Address, index: number): PermitExchange {
    const counters = createCounters("test");
    return createPermitExchange({
      channel: createDatagramChannel(network.createTransport(address, createProcessClock(clock)), counters),
      address,
      rateLimits: { find: () => cluster.requestsPerSecond },
      isCoordinator: () => cluster.coordinator === index,
      findCoordinator: () => (cluster.known === undefined ? undefined : addresses[cluster.known]),
      getClusterSize: () => daemonCount,
      clock,
      random,
      logger: silentLogger,
      counters,
    });
  }

  async function sendOne(exchange: PermitExchange | undefined): Promise<void> {
    if (exchange?.isExhausted(SERVER) === false && (await exchange.acquire(SERVER))) {
      sentAt.push(clock.now());
    }
  }
}

/** Returns the largest number of requests in any four seconds. */
function findBusiest(sentAt: readonly number[]): number {
  return Math.max(0, ...sentAt.map((from) => countBetween(sentAt, from, from + WINDOW_MS)));
}

function countBetween(sentAt: readonly number[], from: number, to: number): number {
  return sentAt.filter((at) => at >= from && at < to).length;
}

function getAllowed(requestsPerSecond: number): number {
  return (WINDOW_MS / 1000) * requestsPerSecond * 1.5 + 5;
}

const even = Array.from({ length: 12 }, () => 4);
const single = [0, 0, 0, 0, 0, 0, 0, 40, 0, 0, 0, 0];

interface LimitCase {
  readonly name: string;
  /** Requests that each daemon gets in a second. */
  readonly arrivals: readonly number[];
  readonly requestsPerSecond: number;
}

describe("rate limit of a server", () => {
  const cases: readonly LimitCase[] = [
    { name: "equal shares", arrivals: even, requestsPerSecond: 6 },
    { name: "all requests at one daemon", arrivals: single, requestsPerSecond: 6 },
    { name: "all requests at the coordinator", arrivals: [40], requestsPerSecond: 6 },
    { name: "a limit below one request a second", arrivals: even, requestsPerSecond: 0.7 },
    { name: "a large limit", arrivals: even.map(() => 40), requestsPerSecond: 80 },
    { name: "82 daemons", arrivals: Array.from({ length: 82 }, () => 2), requestsPerSecond: 6 },
  ];

  // Guards against daemons that each keep to a limit which holds for the sum over all of them, and against equal
  // shares, of which those with little to send leave most unused.
  test.each(cases)("holds for the sum of all daemons, and is used up: $name", async (given) => {
    const cluster = createCluster(given.arrivals.length);
    cluster.requestsPerSecond = given.requestsPerSecond;
    await cluster.run(20_000, given.arrivals);
    expect(findBusiest(cluster.sentAt)).toBeLessThanOrEqual(getAllowed(given.requestsPerSecond));
    expect(cluster.sentAt.length).toBeGreaterThan(0.8 * 20 * given.requestsPerSecond - 1);
  });

  test("holds when the coordinator is lost and another one is elected two seconds later", async () => {
    const cluster = createCluster(12);
    const demand = even.map(() => 20);
    await cluster.run(6000, demand);
    cluster.isolate(0);
    cluster.coordinator = undefined;
    await cluster.run(2000, [0, ...demand.slice(1)]);
    cluster.coordinator = 1;
    cluster.known = 1;
    await cluster.run(8000, [0, ...demand.slice(1)]);
    expect(findBusiest(cluster.sentAt)).toBeLessThanOrEqual(getAllowed(5));
    const afterElection = countBetween(cluster.sentAt, cluster.clock.now() - 7000, cluster.clock.now());
    expect(afterElection).toBeGreaterThan(0.8 * 7 * 5);
  });

  test("holds when half of the daemons cannot reach the coordinator", async () => {
    const cluster = createCluster(12);
    [6, 7, 8, 9, 10, 11].forEach(cluster.isolate);
    await cluster.run(
      20_000,
      even.map(() => 20),
    );
    expect(findBusiest(cluster.sentAt)).toBeLessThanOrEqual(getAllowed(5));
  });

  test("holds when every daemon is restarted in turn, the coordinator too", async () => {
    const cluster = createCluster(12);
    for (let index = 0; index < 12; index += 1) {
      await cluster.run(
        500,
        even.map(() => 20),
      );
      cluster.restart(index);
    }
    expect(findBusiest(cluster.sentAt)).toBeLessThanOrEqual(getAllowed(5));
  });

  test("a limit that falls holds at once", async () => {
    const cluster = createCluster(12);
    cluster.requestsPerSecond = 40;
    const demand = even.map(() => 10);
    await cluster.run(6000, demand);
    cluster.requestsPerSecond = 4;
    const fellAt = cluster.clock.now();
    await cluster.run(6000, demand);
    const after = cluster.sentAt.filter((at) => at >= fellAt);
    expect(findBusiest(after)).toBeLessThanOrEqual(getAllowed(4));
  });

  test("a server that accepts nothing still gets a request every few seconds, which shows the end of its limit", async () => {
    const cluster = createCluster(12);
    cluster.requestsPerSecond = 0;
    await cluster.run(20_000, even);
    expect(findBusiest(cluster.sentAt)).toBeLessThanOrEqual(getAllowed(0));
    expect(cluster.sentAt.length).toBeGreaterThan(2);
  });
});

describe("known rate limits", () => {
  function createRateLimits(clock: FakeClock, get: (name: string) => DiscoveredServer | undefined) {
    return createServerRateLimits({ directory: { get }, clock, logger: silentLogger });
  }

  const limited = { kind: "limited", requestsPerSecond: 5 } as const;

  test("an answer sets, changes and ends a limit; a garbled one changes nothing", async () => {
    const clock = createFakeClock();
    const rateLimits = createRateLimits(clock, () => server);
    const found: (number | undefined)[] = [];
    for (const statement of [
      { kind: "unlimited" },
      limited,
      { kind: "unreadable", text: "5x" },
      { kind: "unstated" },
      { kind: "limited", requestsPerSecond: 3 },
      { kind: "unlimited" },
    ] as const) {
      rateLimits.record(server, statement);
      found.push(rateLimits.find(SERVER));
      await clock.advance(1);
    }
    expect(found).toEqual([undefined, 5, 5, 5, 3, undefined]);
  });

  test("another daemon's statement counts if it is newer", async () => {
    const clock = createFakeClock();
    const rateLimits = createRateLimits(clock, () => server);
    rateLimits.record(server, limited);
    await clock.advance(1000);
    const create = (requestsPerSecond: number | null, ageMs: number): StatedRateLimit => ({
      server: SERVER,
      bornAt: 1,
      requestsPerSecond,
      ageMs,
    });
    rateLimits.merge([create(9, 2000)]);
    expect(rateLimits.find(SERVER)).toBe(5);
    rateLimits.merge([create(null, 500)]);
    expect(rateLimits.find(SERVER)).toBeUndefined();
  });

  test("the limit of an earlier process of a server does not hold for the next one", () => {
    const clock = createFakeClock();
    let current = server;
    const rateLimits = createRateLimits(clock, () => current);
    rateLimits.record(server, limited);
    current = { ...server, bornAt: 2 };
    expect(rateLimits.find(SERVER)).toBeUndefined();
    rateLimits.evict();
    expect(rateLimits.share()).toEqual([]);
  });
});
