/**
 * All open connections to the object store go silent at once, while new ones work: daemons must notice what
 * changes in the store within its bounds all the same, and at rest this must cost few calls.
 */
import { describe, expect, test } from "vitest";
import {
  type DiscoveredServer,
  ServerPhase,
  createFreshnessCheck,
  createPeerStates,
  createPrefixWatcher,
  createServerDirectory,
} from "../src/discovery";
import { createRoutingState } from "../src/gateway";
import { createDatagramChannel } from "../src/membership";
import type { StoredObject } from "../src/objectStore";
import { createCounters, silentLogger } from "../src/observability";
import { decodeConfiguration } from "../platform/decoding";
import { type Change, createConnectedStore } from "./support/connectedStore";
import { createFakeClock, createProcessClock } from "./support/fakeClock";
import { createFakeNetwork } from "./support/fakeNetwork";
import { createTestServer, unsharedState } from "./support/gateway";

const PREFIXES = { servers: "servers/", configuration: "config/", exclusions: "evacuations/" } as const;
/** The coordinator's watch of the exclusions, whose bound is longer; undefined for the default. */
const REFERENCE_WAIT_MS = { servers: undefined, configuration: undefined, exclusions: 2000 } as const;
const BATCH_PAUSE_MS = { servers: 500, configuration: 250, exclusions: 250 } as const;
const DAEMONS = 4;
const STORE_LATENCY_MS = 5;
/** A coordinator that the store does not answer loses its lease after this time. */
const LEASE_MS = 2000;
/** Daemons count as in touch again this long after their connections went silent. */
const SETTLE_MS = 3000;

const serverPath = `${PREFIXES.servers}s1`;
const configurationPath = `${PREFIXES.configuration}main`;
const createConfiguration = (version: number) => ({
  version: version.toString(16).padStart(8, "0"),
  resources: [],
});

/** Starts daemons, of which the first one is the coordinator. */
function startDaemons() {
  const clock = createFakeClock();
  const network = createFakeNetwork(clock);
  const store = createConnectedStore(clock);
  const stop = new AbortController();
  const stopCoordinator = new AbortController();
  let cutAt = Number.POSITIVE_INFINITY;
  store.put(serverPath, createTestServer("s1", 1));
  store.put(configurationPath, createConfiguration(1));
  const daemons = Array.from({ length: DAEMONS }, (_value, index) => {
    const address = { host: "127.0.0.1", port: index + 1 };
    const isFirst = index === 0;
    const isCoordinator = () => isFirst && clock.now() < cutAt + LEASE_MS;
    const access = store.createAccess(() => !isFirst || clock.now() < cutAt);
    const directory = createServerDirectory({
      clock,
      logger: silentLogger,
      decode: (_name, value) => value as DiscoveredServer,
      getColdMs: () => 0,
    });
    const routing = createRoutingState({
      configurationPath,
      decode: decodeConfiguration,
      onConfiguration: () => undefined,
      onExclusions: (dataCentres) => {
        directory.setExcluded(dataCentres);
      },
      random: () => 0,
      logger: silentLogger,
    });
    const listeners = {
      configuration: routing.configurations,
      exclusions: routing.exclusions,
      servers: {
        onList: (listed: readonly StoredObject[]) => {
          directory.replaceAll(listed);
        },
        onChange: (changed: readonly StoredObject[], removed: readonly string[]) => {
          directory.applyChanges(changed, removed);
        },
        onStoreRecovered: () => {
          directory.recordStoreRecovery();
        },
      },
    };
    const watchers = (["configuration", "servers", "exclusions"] as const).map((kind) =>
      createPrefixWatcher({
        objects: access.objects,
        prefix: PREFIXES[kind],
        pauseMs: BATCH_PAUSE_MS[kind],
        isFreshnessChecked: () => freshness.isFreshnessChecked(),
        isReference: isCoordinator,
        referenceWaitMs: REFERENCE_WAIT_MS[kind],
        clock,
        logger: silentLogger,
        random: () => 0.5,
        ...listeners[kind],
      }),
    );
    const freshness = createFreshnessCheck({
      daemon: `d${address.port}`,
      address,
      processors: 1,
      channel: createDatagramChannel(
        network.createTransport(address, createProcessClock(clock)),
        createCounters("test"),
      ),
      watchers,
      peers: createPeerStates(clock),
      clock,
      logger: silentLogger,
      isCoordinator,
      findCoordinator: () => ({ host: "127.0.0.1", port: 1 }),
      findStoredSize: () => undefined,
      getLeaseVersion: () => 1,
      confirmLease: () => undefined,
      rateLimits: { share: () => [], merge: () => undefined },
      ...unsharedState,
      departures: { share: () => [], merge: () => undefined },
      ownerShares: { share: () => [], replace: () => undefined },
    });
    const signal = isFirst ? AbortSignal.any([stop.signal, stopCoordinator.signal]) : stop.signal;
    // Daemons start at different times, so that their calls and checks do not coincide.
    clock.schedule(index * 90, () => {
      watchers.forEach((watcher) => void watcher.run(signal));
      void freshness.run(signal);
    });
    return { directory, routing, counts: access.counts };
  });
  const blockReplies = (isBlocked: boolean) => {
    daemons.forEach((_daemon, index) => {
      network.blockedPairs[isBlocked ? "add" : "delete"](`127.0.0.1:1>127.0.0.1:${index + 1}`);
    });
  };
  return {
    clock,
    store,
    daemons,
    stop,
    cutCoordinator: () => {
      cutAt = clock.now();
    },
    killCoordinator: () => {
      cutAt = clock.now();
      stopCoordinator.abort();
      blockReplies(true);
    },
    loseReplies: (afterMs: number, forMs: number) => {
      clock.schedule(afterMs, () => {
        blockReplies(true);
      });
      clock.schedule(afterMs + forMs, () => {
        blockReplies(false);
      });
    },
  };
}

type Deployment = ReturnType<typeof startDaemons>;
type Daemon = Deployment["daemons"][number];

interface ChangeCase {
  readonly name: string;
  readonly change: Change;
  /** Time after the store's answer within which each daemon in touch must know the change. */
  readonly boundMs: number;
  readonly isKnown: (daemon: Daemon) => boolean;
}

const isUnusable = ({ directory }: Daemon) => directory.getUsable("desk").length === 0;

const changes: readonly ChangeCase[] = [
  {
    name: "a server that reports draining",
    change: { path: serverPath, value: createTestServer("s1", 1, { phase: ServerPhase.Draining }) },
    boundMs: 2000,
    isKnown: isUnusable,
  },
  {
    name: "a server whose entry is removed",
    change: { path: serverPath, value: undefined },
    boundMs: 2000,
    isKnown: isUnusable,
  },
  {
    name: "a configuration",
    change: { path: configurationPath, value: createConfiguration(2) },
    boundMs: 2000,
    isKnown: ({ routing }) => routing.findActive()?.configuration.version === 2,
  },
  {
    name: "an exclusion",
    change: { path: `${PREFIXES.exclusions}a`, value: {} },
    boundMs: 5000,
    isKnown: isUnusable,
  },
];

interface Trouble {
  readonly name: string;
  readonly isCoordinatorInTouch?: boolean;
  readonly start: (deployment: Deployment) => void;
}

const troubles: readonly Trouble[] = [
  { name: "the coordinator works", isCoordinatorInTouch: true, start: () => undefined },
  {
    name: "one reply of the coordinator to each daemon is lost after that",
    isCoordinatorInTouch: true,
    start: ({ loseReplies }) => {
      loseReplies(1300, 400);
    },
  },
  {
    name: "the coordinator is killed at that moment",
    start: ({ killCoordinator }) => {
      killCoordinator();
    },
  },
  {
    name: "the store does not answer the coordinator from that moment",
    start: ({ cutCoordinator }) => {
      cutCoordinator();
    },
  },
];

/** Moments of the silence, which meet the watches and checks in different phases. */
const SILENT_AFTER_MS = [4000, 4450, 4900, 5400];
/** Moments of the change after the silence. */
const CHANGED_AFTER_MS = [10, 950, 1700];

describe("silent connections to the store", () => {
  // Guards against a departure that is noticed after drainS when all watches have died silently.
  test.each(troubles.flatMap((trouble) => changes.map((each) => ({ trouble, ...each }))))(
    "$name is known in time though all watches died without an error while $trouble.name",
    async ({ trouble, change, boundMs, isKnown }) => {
      for (const silentAfterMs of SILENT_AFTER_MS) {
        for (const changedAfterMs of CHANGED_AFTER_MS) {
          const deployment = startDaemons();
          const { clock, store, daemons, stop } = deployment;
          await clock.advance(silentAfterMs);
          store.silence();
          trouble.start(deployment);
          await clock.advance(changedAfterMs);
          store.put(change.path, change.value);
          await clock.advance(Math.max(SETTLE_MS - changedAfterMs, boundMs));
          // A coordinator in trouble is not in touch.
          const inTouch = trouble.isCoordinatorInTouch === true ? daemons : daemons.slice(1);
          expect(inTouch.map(isKnown), `silent at ${silentAfterMs}, changed after ${changedAfterMs}`).toEqual(
            inTouch.map(() => true),
          );
          stop.abort();
        }
      }
    },
  );

  // Guards against watches that notice silence soon at the price of many calls of each daemon.
  test.each([
    { name: "at rest", latencyMs: STORE_LATENCY_MS, coordinatorCalls: 3.3, staleCalls: 0.2 },
    { name: "while the store is slow", latencyMs: 500, coordinatorCalls: 4, staleCalls: 0.2 },
  ])(
    "$name the coordinator makes at most $coordinatorCalls calls a second, other daemons stale ones only",
    async ({ latencyMs, coordinatorCalls, staleCalls }) => {
      const OBSERVED_S = 60;
      const { clock, store, daemons, stop } = startDaemons();
      await clock.advance(4000);
      store.setLatency(latencyMs);
      const before = daemons.map(({ counts }) => ({ ...counts }));
      await clock.advance(OBSERVED_S * 1000);
      const rates = daemons.map(({ counts }, index) => ({
        newest: (counts.newest - (before[index]?.newest ?? 0)) / OBSERVED_S,
        stale: (counts.stale - (before[index]?.stale ?? 0)) / OBSERVED_S,
      }));
      const [coordinator, ...others] = rates;
      expect(coordinator?.stale).toBe(0);
      expect(coordinator?.newest).toBeLessThanOrEqual(coordinatorCalls);
      expect(Math.max(...others.map(({ newest }) => newest))).toBeLessThanOrEqual(staleCalls);
      expect(Math.max(...others.map(({ stale }) => stale))).toBeLessThanOrEqual(staleCalls * 2);
      stop.abort();
    },
  );

  // Guards against hundreds of daemons that poll again and again while only the coordinator lacks the store.
  test("daemons poll each prefix at most once before a coordinator without the store loses its lease", async () => {
    const { clock, daemons, stop, cutCoordinator } = startDaemons();
    await clock.advance(4000);
    cutCoordinator();
    const before = daemons.map(({ counts }) => counts.newest);
    await clock.advance(LEASE_MS);
    const polls = daemons.map(({ counts }, index) => counts.newest - (before[index] ?? 0));
    expect(Math.max(...polls.slice(1))).toBeLessThanOrEqual(Object.keys(PREFIXES).length);
    stop.abort();
  });
});
