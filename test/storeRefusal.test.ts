/**
 * What daemons that the object store refuses learn from the others: which data centres are out of service, and
 * which backend servers are cold. Their requests count against a cold server's rate like everybody's.
 */
import { pack } from "msgpackr";
import { describe, expect, test } from "vitest";
import {
  createCoordinatorSearch,
  createExclusionExchange,
  createFreshnessCheck,
  createPeerStates,
  createServerDirectory,
} from "../src/discovery";
import type { DiscoveredServer } from "../src/discovery";
import { createDatagramChannel } from "../src/membership";
import { createCounters, silentLogger } from "../src/observability";
import type { Address } from "../src/types";
import { createFakeClock, createProcessClock } from "./support/fakeClock";
import { createFakeNetwork } from "./support/fakeNetwork";
import { createTestServer } from "./support/gateway";

const COLD_MS = 3000;
/** The interval at which daemons exchange their state, and the delay of a datagram each way. */
const EXCHANGE_MS = 420;
/** A daemon that has had no reply for this long takes the coordinator for lost. */
const CONTACT_TIMEOUT_MS = 1300;
/** Daemons that are asked in turn until one knows the coordinator. */
const MAX_QUESTIONS = 8;
const near = createTestServer("s1", 1);
const far = createTestServer("s2", 2, { dataCentre: "b" });

const getAddress = (number: number): Address => ({ host: "127.0.0.1", port: number });

/** Starts daemons numbered from 1, the first one as coordinator; each reads the store only when the test says so. */
function startDaemons(count: number) {
  const clock = createFakeClock();
  const network = createFakeNetwork(clock);
  const stop = new AbortController();
  const counters = createCounters("test");
  let coordinator = 1;
  const daemons = Array.from({ length: count }, (_, index) => {
    const number = index + 1;
    const address = getAddress(number);
    let listedVersion = 0;
    let knownCoordinator = 1;
    let confirmations = 0;
    const directory = createServerDirectory({
      clock,
      logger: silentLogger,
      decode: (_name, value) => value as DiscoveredServer,
      getColdMs: () => COLD_MS,
    });
    directory.replaceAll(
      [near, far].map((each) => ({ path: `servers/${each.name}`, version: 1, value: each })),
    );
    const exclusions = createExclusionExchange({
      getListedVersion: () => listedVersion,
      apply: (dataCentres) => {
        directory.setExcluded(dataCentres);
      },
      logger: silentLogger,
    });
    const check = createFreshnessCheck({
      daemon: `d${number}`,
      address,
      processors: 1,
      channel: createDatagramChannel(network.createTransport(address, createProcessClock(clock)), counters),
      watchers: [],
      peers: createPeerStates(clock),
      clock,
      logger: silentLogger,
      isCoordinator: () => coordinator === number,
      findCoordinator: () => getAddress(knownCoordinator),
      findStoredSize: () => undefined,
      getLeaseVersion: () => 1,
      confirmLease: () => {
        confirmations += 1;
      },
      rateLimits: { share: () => [], merge: () => undefined },
      departures: { share: () => [], merge: () => undefined },
      ownerShares: { share: () => [], replace: () => undefined },
      exclusions,
      coldness: {
        shareAnswers: () => directory.shareColdAnswers(),
        shareAll: () => directory.shareCold(),
        merge: (stated) => {
          directory.mergeCold(stated);
        },
      },
    });
    void check.run(stop.signal);
    return {
      directory,
      exclusions,
      check,
      /** Reads the exclusions from the store. */
      list: (version: number, ...dataCentres: readonly string[]) => {
        listedVersion = version;
        exclusions.setListed(new Set(dataCentres));
      },
      /** Reads the coordinator's lease from the store. */
      readLease: () => {
        knownCoordinator = coordinator;
      },
      countConfirmations: () => confirmations,
      listUsable: () => directory.getUsable("desk").map((server) => server.name),
    };
  });
  const elect = (number: number) => {
    coordinator = number;
  };
  const [first, second, third] = daemons;
  if (first === undefined || second === undefined || third === undefined) {
    throw new Error("three daemons are needed");
  }
  daemons.forEach(({ list }) => {
    list(10);
  });
  return { clock, network, counters, elect, stop, daemons, first, second, third };
}

describe("a daemon that the object store refuses", () => {
  // Guards against servers that get most of its requests, since the others have left them, and then go cold.
  test("sends no new work to a data centre that is taken out, and keeps to the cold rate once it is back", async () => {
    const { clock, first, second, third, stop } = startDaemons(3);
    first.list(11, "b");
    second.list(11, "b");
    await clock.advance(EXCHANGE_MS);
    expect(third.listUsable()).toEqual(["s1"]);
    await clock.advance(5000);
    expect(third.listUsable()).toEqual(["s1"]);
    first.list(12);
    await clock.advance(EXCHANGE_MS);
    expect(third.listUsable()).toEqual(["s1", "s2"]);
    expect(third.directory.isCold(far)).toBe(true);
    expect(third.directory.isCold(near)).toBe(false);
    await clock.advance(COLD_MS);
    expect(third.directory.isCold(far)).toBe(false);
    stop.abort();
  });

  // Guards against a cold server that gets the rate of a warm one from daemons that did not hear of it.
  test("learns which servers are cold, for how long, and that a data centre was out shortly before", async () => {
    const { clock, first, third, stop } = startDaemons(3);
    first.directory.applyChanges(
      [{ path: "servers/s1", version: 2, value: { ...near, sequence: 1, coldForMs: 2000 } }],
      [],
    );
    first.list(11, "b");
    first.list(12);
    await clock.advance(EXCHANGE_MS);
    expect([near, far].map((each) => third.directory.isCold(each))).toEqual([true, true]);
    await clock.advance(2000);
    expect([near, far].map((each) => third.directory.isCold(each))).toEqual([false, true]);
    await clock.advance(COLD_MS - 2000);
    expect([near, far].map((each) => third.directory.isCold(each))).toEqual([false, false]);
    stop.abort();
  });

  // Guards against a coldness that daemons prolong for each other, so that a warm server never gets its share.
  test("a server's own word that it is cold reaches all daemons and ends on all of them", async () => {
    const { clock, daemons, second, stop } = startDaemons(3);
    const areCold = () => daemons.map(({ directory }) => directory.isCold(near));
    second.directory.recordCold("s1", 4000);
    await clock.advance(2 * EXCHANGE_MS);
    expect(areCold()).toEqual([true, true, true]);
    await clock.advance(4000 - EXCHANGE_MS);
    expect(areCold()).toEqual([false, false, false]);
    stop.abort();
  });

  // Guards against a word of the coordinator that outlives the store's: a data centre would stay out of service.
  test("trusts the store again once it hears it, also without a coordinator", async () => {
    const { clock, network, first, third, stop } = startDaemons(3);
    first.list(11, "b");
    await clock.advance(EXCHANGE_MS);
    network.blockedPairs.add("127.0.0.1:1>127.0.0.1:3");
    third.list(13);
    third.exclusions.update();
    expect(third.listUsable()).toEqual(["s1", "s2"]);
    third.list(14, "a");
    expect(third.listUsable()).toEqual(["s2"]);
    stop.abort();
  });

  // Guards against a late datagram, or a coordinator that has read less, which takes back what is known.
  test("an older state than the known one changes nothing, whoever sends it", () => {
    const { third, stop } = startDaemons(3);
    third.exclusions.merge({ version: 20, dataCentres: ["b"] });
    third.exclusions.merge({ version: 19, dataCentres: [] });
    third.exclusions.merge(null);
    expect(third.listUsable()).toEqual(["s1"]);
    third.list(21);
    third.exclusions.merge({ version: 20, dataCentres: ["b"] });
    expect(third.listUsable()).toEqual(["s1", "s2"]);
    stop.abort();
  });

  // Guards against warm servers that the whole cluster takes for cold since one daemon has read its list again.
  test("an entry that is only listed again does not make its server cold again", async () => {
    const { clock, first, third, stop } = startDaemons(3);
    const started = { path: "servers/s1", version: 2, value: { ...near, bornAt: 2, coldForMs: 2000 } };
    first.directory.replaceAll([started]);
    await clock.advance(1900);
    first.directory.replaceAll([started]);
    expect(first.directory.isCold(near)).toBe(true);
    await clock.advance(EXCHANGE_MS);
    expect([first, third].map(({ directory }) => directory.isCold(near))).toEqual([false, false]);
    first.directory.replaceAll([{ ...started, version: 3 }]);
    expect(first.directory.isCold(near)).toBe(true);
    stop.abort();
  });

  // Guards against daemons of two builds that do not understand each other during an upgrade.
  test("messages of earlier versions, without these fields, change nothing and are answered", async () => {
    const { clock, network, counters, third, stop } = startDaemons(3);
    const digests = {};
    const content = { digests, leaseVersion: 1, daemons: 3, largestProcessors: 1 };
    third.exclusions.merge({ version: 11, dataCentres: ["b"] });
    network.deliver(getAddress(3), pack({ kind: "stateReply", content }));
    const state = { daemon: "d9", address: getAddress(9), processors: 1, digests };
    network.deliver(getAddress(1), pack({ kind: "state", content: state }));
    const answered: unknown[] = [];
    network.createTransport(getAddress(9), createProcessClock(clock)).receive((datagram) => {
      answered.push(datagram);
    });
    await clock.advance(5);
    expect(third.listUsable()).toEqual(["s1"]);
    expect(third.check.findCountedSize()).toBe(3);
    expect(answered).toHaveLength(1);
    expect(counters.totals()).toEqual({});
    stop.abort();
  });

  // Guards against daemons that learn nothing any more once the store refuses the coordinator as well.
  test("finds a new coordinator by way of other daemons, also if it was the coordinator itself", async () => {
    const { clock, daemons, elect, first, second, third, stop } = startDaemons(5);
    await clock.advance(CONTACT_TIMEOUT_MS);
    elect(2);
    daemons.slice(1, 2).forEach(({ readLease }) => {
      readLease();
    });
    second.list(11, "b");
    await clock.advance(CONTACT_TIMEOUT_MS + MAX_QUESTIONS * EXCHANGE_MS);
    expect([first, third].map(({ listUsable }) => listUsable())).toEqual([["s1"], ["s1"]]);
    second.list(12);
    await clock.advance(EXCHANGE_MS);
    expect([first, third].map(({ listUsable }) => listUsable())).toEqual([
      ["s1", "s2"],
      ["s1", "s2"],
    ]);
    stop.abort();
  });

  // Guards against a known lease that never ends, since a daemon other than its holder confirms it.
  test("still reads the lease while it knows the coordinator from another daemon only", async () => {
    const { clock, elect, second, third, stop } = startDaemons(3);
    await clock.advance(CONTACT_TIMEOUT_MS);
    elect(2);
    second.readLease();
    const before = third.countConfirmations();
    await clock.advance(2 * CONTACT_TIMEOUT_MS + MAX_QUESTIONS * EXCHANGE_MS);
    expect(third.check.isFreshnessChecked()).toBe(true);
    expect(third.countConfirmations()).toBe(before);
    third.readLease();
    await clock.advance(EXCHANGE_MS);
    expect(third.countConfirmations()).toBeGreaterThan(before);
    stop.abort();
  });

  // Guards against messages that grow with the number of servers or data centres.
  test("one message names a bounded number of servers, those that stay cold the longest", () => {
    const { first, stop } = startDaemons(3);
    const names = Array.from({ length: 300 }, (_, index) => `c${index}`);
    first.directory.replaceAll(
      names.map((name, index) => ({
        path: `servers/${name}`,
        version: 1,
        value: createTestServer(name, 1, { coldForMs: 1 + index }),
      })),
    );
    first.list(11, ...names);
    expect(first.exclusions.share()).toBeNull();
    first.list(12);
    const { servers, returned } = first.directory.shareCold();
    expect(Object.keys(servers)).toHaveLength(20);
    expect(Math.min(...Object.values(servers))).toBe(281);
    expect(Object.keys(returned)).toHaveLength(8);
    const search = createCoordinatorSearch(getAddress(1), () => undefined);
    search.setPeers(names.map((_, index) => getAddress(2 + index)));
    expect(search.chooseHelpers()).toHaveLength(2);
    stop.abort();
  });

  // Guards against one absurd statement that makes the coordinator's replies invalid for all daemons.
  test("an absurdly long coldness is cut, and replies are still understood", async () => {
    const { clock, counters, first, third, stop } = startDaemons(3);
    first.directory.recordCold("s1", Number.MAX_SAFE_INTEGER);
    await clock.advance(EXCHANGE_MS);
    expect(third.directory.isCold(near)).toBe(true);
    expect(counters.totals()).toEqual({});
    stop.abort();
  });
});
