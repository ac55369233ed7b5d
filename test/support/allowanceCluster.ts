/** Daemons that share the allowances of organisations, over a fake network. */
import {
  type AllowanceExchange,
  CONTACT_LOSS_MS,
  type OrganisationAllowance,
  createAllowanceExchange,
  createAllowanceLedger,
} from "../../src/gateway";
import { createDatagramChannel } from "../../src/membership";
import { createCounters, silentLogger } from "../../src/observability";
import { type Address, formatAddress } from "../../src/types";
import { createRandom } from "../../standins/scenarios/callers";
import { createFakeClock, createProcessClock } from "./fakeClock";
import { createFakeNetwork } from "./fakeNetwork";

const SEED = 20_261_206;
const STEP_MS = 20;
/** The bound that deployments set. */
export const bound = { windowMs: 5000, excess: 1.1, slack: 20 };

/** Requests a second of one organisation, by the index of the daemon. */
export type Arrivals = Readonly<Record<string, readonly number[]>>;

/** A request, as its caller saw it. */
export interface SentRequest {
  readonly organisation: string;
  readonly at: number;
  readonly waitedMs: number;
  readonly isAdmitted: boolean;
}

/**
 * Creates daemons; daemon 0 is the coordinator at first.
 *
 * @param daemonCount - Number of daemons.
 * @param allowances - Allowances by organisation; the test may change them.
 * @returns The daemons and what became of their requests.
 */
export function createAllowanceCluster(
  daemonCount: number,
  allowances: Record<string, OrganisationAllowance>,
) {
  const clock = createFakeClock();
  const network = createFakeNetwork(clock);
  const random = createRandom(SEED);
  const addresses = Array.from({ length: daemonCount }, (_, index) => ({ host: "d", port: index + 1 }));
  const cutAt = new Map<number, number>();
  const sent: SentRequest[] = [];
  const cluster = {
    clock,
    sent,
    /** Datagrams that daemons have sent. */
    datagrams: 0,
    /** Bytes of these datagrams. */
    bytes: 0,
    /** Index of the daemon that holds the lease; undefined while none does. */
    coordinator: 0 as number | undefined,
    /** Index of the daemon that the others take for the coordinator. */
    known: 0 as number | undefined,
    exchanges: [] as AllowanceExchange[],
    restart: (index: number) => {
      cluster.exchanges[index] = startDaemon(getAddress(index), index);
    },
    /** Cuts a daemon off from all others. */
    isolate: (index: number) => {
      cutAt.set(index, clock.now());
      changeLinks(index, (pair) => network.blockedPairs.add(pair));
    },
    reconnect: (index: number) => {
      cutAt.delete(index);
      changeLinks(index, (pair) => network.blockedPairs.delete(pair));
    },
    /** Loses the datagrams to a daemon, while those that it sends arrive. */
    deafen: (index: number) => {
      addresses.forEach((other) => network.blockedPairs.add(formatPair(other, getAddress(index))));
    },
    /** Lets each daemon get requests at random moments. */
    run: async (durationMs: number, arrivals: Arrivals) => {
      const endAt = clock.now() + durationMs;
      while (clock.now() < endAt) {
        for (const [organisation, rates] of Object.entries(arrivals)) {
          for (const [index, rate] of rates.entries()) {
            let expected = (rate * STEP_MS) / 1000;
            for (; expected > 0; expected -= 1) {
              if (random() < expected) {
                void sendOne(index, organisation);
              }
            }
          }
        }
        await clock.advance(STEP_MS);
      }
    },
  };
  cluster.exchanges = addresses.map(startDaemon);
  return cluster;

  function getAddress(index: number): Address {
    return addresses[index] ?? { host: "d", port: 0 };
  }

  function formatPair(from: Address, to: Address): string {
    return `${formatAddress(from)}>${formatAddress(to)}`;
  }

  function changeLinks(index: number, change: (pair: string) => void): void {
    for (const other of addresses) {
      change(formatPair(getAddress(index), other));
      change(formatPair(other, getAddress(index)));
    }
  }

  /** Returns the number of daemons that a coordinator has heard of lately. */
  function countContacts(own: number): number {
    return addresses.filter((_, index) => {
      const isCut = [own, index].some((end) => clock.now() - (cutAt.get(end) ?? Infinity) >= CONTACT_LOSS_MS);
      return index === own || !isCut;
    }).length;
  }

  function startDaemon(address: Address, index: number): AllowanceExchange {
    const counters = createCounters("test");
    const transport = network.createTransport(address, createProcessClock(clock));
    const counted = {
      ...transport,
      send: (target: Address, content: Uint8Array) => {
        cluster.datagrams += 1;
        cluster.bytes += content.byteLength;
        transport.send(target, content);
      },
    };
    return createAllowanceExchange({
      daemon: `d${index}`,
      channel: createDatagramChannel(counted, counters),
      address,
      ledger: createAllowanceLedger({
        clock,
        bound,
        getClusterSize: () => daemonCount,
        countContacts: () => countContacts(index),
      }),
      findAllowance: (organisation) => allowances[organisation],
      isCoordinator: () => cluster.coordinator === index,
      findCoordinator: () => (cluster.known === undefined ? undefined : addresses[cluster.known]),
      getClusterSize: () => daemonCount,
      clock,
      random,
      logger: silentLogger,
      counters,
    });
  }

  async function sendOne(index: number, organisation: string): Promise<void> {
    const allowance = allowances[organisation];
    const exchange = cluster.exchanges[index];
    if (allowance === undefined || exchange === undefined) {
      return;
    }
    const at = clock.now();
    const permit = await exchange.acquire(organisation, allowance);
    const waitedMs = clock.now() - at;
    sent.push({ organisation, at: clock.now(), waitedMs, isAdmitted: permit.kind === "granted" });
  }
}

/** Returns the largest number of admitted requests of an organisation in any window of the bound. */
export function findBusiestWindow(sent: readonly SentRequest[], organisation: string): number {
  const times = sent.filter((each) => each.organisation === organisation && each.isAdmitted);
  let busiest = 0;
  let first = 0;
  for (const [index, { at }] of times.entries()) {
    while ((times[first]?.at ?? at) <= at - bound.windowMs) {
      first += 1;
    }
    busiest = Math.max(busiest, index - first + 1);
  }
  return busiest;
}

/** Returns how many of an organisation's requests a single bucket with its allowance, full at first, would admit. */
export function countWithinAllowance(
  sent: readonly SentRequest[],
  organisation: string,
  { requestsPerSecond, burst }: OrganisationAllowance,
): number {
  let level = burst;
  let updatedAt = Number.NEGATIVE_INFINITY;
  let count = 0;
  for (const { at } of sent.filter((each) => each.organisation === organisation)) {
    level = Math.min(burst, level + ((at - updatedAt) * requestsPerSecond) / 1000);
    updatedAt = at;
    count += level >= 1 ? 1 : 0;
    level -= level >= 1 ? 1 : 0;
  }
  return count;
}

/** Returns the number of requests that the bound allows in one window. */
export function getAllowed({ requestsPerSecond, burst }: OrganisationAllowance): number {
  return ((requestsPerSecond * bound.windowMs) / 1000 + burst) * bound.excess + bound.slack;
}
