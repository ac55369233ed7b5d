/**
 * A cluster of daemons, each with only its ownership subsystem, over fakes of the object API, the backend
 * servers, the membership and the clock.
 */
import Emittery from "emittery";
import { configurationSchema, CONFIGURATION_PATH } from "../../src/configuration";
import type { Member, Membership, MembershipEvents } from "../../src/membership";
import { createCounters, silentLogger } from "../../src/observability";
import {
  type Assignment,
  type LeaseManager,
  type ServerLease,
  type StatusView,
  createAssignmentStore,
  createLeaseManager,
  createPauseGuard,
  createPlanner,
  createStatusView,
  createStopEvidence,
  findOwner,
} from "../../src/ownership";
import { decodeStoredObject } from "../../src/objectStore";
import { type SnapshotStore, createSnapshotStore } from "../../src/snapshots";
import { type DaemonRun, isSameRun } from "../../src/types";
import { type ObjectTable, createObjectTable } from "../../standins/platform/objectTable";
import { type FakeClock, type ProcessClock, createFakeClock, createProcessClock } from "./fakeClock";
import { type PlatformAccess, createFakeObjectStore, createPlatformAccess } from "./fakePlatform";
import { type FakeServer, createFakeServer } from "./fakeServer";
import { getKeysBySlot } from "./keys";

const WATCH_INTERVAL_MS = 100;
/** Time after which a silent daemon is treated as dead. */
const SUSPICION_TIMEOUT_MS = 700;

/** Options for {@link createFakeCluster}. */
export interface FakeClusterOptions {
  /** Data centre of each daemon, by name. */
  readonly daemons: Readonly<Record<string, string>>;
  readonly servers: Readonly<Record<string, { readonly dataCentre: string; readonly isFenced: boolean }>>;
  readonly slotCount: number;
}

/** One run of a daemon in the cluster. */
export interface FakeDaemon extends DaemonRun {
  readonly dataCentre: string;
  readonly clock: ProcessClock;
  readonly platformAccess: PlatformAccess;
  readonly snapshots: SnapshotStore;
  readonly statuses: StatusView;
  readonly leases: LeaseManager;
  readonly membership: Membership;
  isAlive: boolean;
  /** Whether this daemon and the other daemons cannot reach each other. */
  isPartitioned: boolean;
  /** Since when the daemon does not answer other daemons; undefined while it does. */
  silentSince: number | undefined;
  readonly stop: AbortController;
}

/** The cluster, its controls and what tests read from it. */
export interface FakeCluster {
  readonly clock: FakeClock;
  readonly table: ObjectTable;
  readonly servers: readonly FakeServer[];
  getDaemon(name: string): FakeDaemon;
  getServer(name: string): FakeServer;
  kill(daemon: string): void;
  /** Starts a new process of the daemon, with the next incarnation. */
  restart(daemon: string): void;
  pause(daemon: string): void;
  resume(daemon: string): void;
  setPartitioned(daemon: string, isPartitioned: boolean): void;
  /** Sets the servers whose VMs the platform reports as leaving. */
  setLeavingServers(names: readonly string[]): void;
  /** Changes the configuration as an operator would. */
  updateConfiguration(change: (source: TestConfiguration) => void): void;
  /** Sends a request for a slot through a daemon, which forwards it to the leaseholder that it knows of. */
  sendRequest(daemon: string, slot: number, workMs: number): Promise<"done" | "refused">;
  /** Returns the owner of each slot according to the object API; empty without an assignment. */
  getOwners(): readonly string[];
  /** Returns the leaseholder of a server according to the object API. */
  findStoredLeaseholder(server: string): string | undefined;
  /** Returns the lease of a server and the live daemon that holds it. */
  findLease(server: string): { readonly daemon: FakeDaemon; readonly lease: ServerLease } | undefined;
  /** Returns the number of writes to the object API by all daemons so far. */
  countWrites(): number;
}

/** Source of the configuration, which tests change in place. */
export interface TestConfiguration {
  readonly data_centres: Record<string, { state: string }>;
  readonly services: Record<string, object>;
  readonly servers: Record<string, { state: string; [field: string]: unknown }>;
}

/**
 * Creates a cluster with a configuration in force. Advance its clock until slots and leases are assigned.
 *
 * @param options - Daemons and servers.
 * @returns The cluster.
 */
export function createFakeCluster(options: FakeClusterOptions): FakeCluster {
  const clock = createFakeClock();
  const table = createObjectTable();
  const servers = Object.entries(options.servers).map(([name, { isFenced }]) =>
    createFakeServer(name, isFenced, clock),
  );
  const daemons = new Map<string, FakeDaemon>();
  const accessByDaemon = new Map<string, PlatformAccess>();
  const configuration = createConfiguration(options);
  let leavingServers: readonly string[] = [];
  let lastIncarnation = 0;
  let lastRequestId = 0;
  writeConfiguration();
  for (const name of Object.keys(options.daemons)) {
    startDaemon(name);
  }

  return {
    clock,
    table,
    servers,
    getDaemon,
    getServer,
    kill: (name) => {
      const killed = getDaemon(name);
      killed.isAlive = false;
      killed.silentSince = clock.now();
      killed.clock.stop();
      killed.stop.abort();
    },
    restart: startDaemon,
    pause: (name) => {
      getDaemon(name).clock.pause();
      getDaemon(name).silentSince = clock.now();
    },
    resume: (name) => {
      getDaemon(name).silentSince = undefined;
      getDaemon(name).clock.resume();
    },
    setPartitioned: (name, isPartitioned) => {
      getDaemon(name).isPartitioned = isPartitioned;
      getDaemon(name).silentSince = isPartitioned ? clock.now() : undefined;
    },
    setLeavingServers: (names) => {
      leavingServers = names;
    },
    updateConfiguration: (change) => {
      change(configuration);
      writeConfiguration();
    },
    sendRequest,
    getOwners: () => {
      const assignment = findStoredAssignment();
      return assignment === undefined
        ? []
        : assignment.owners.map((_owner, slot) => findOwner(assignment, slot)?.name ?? "");
    },
    findStoredLeaseholder: (name) =>
      findStoredAssignment()?.servers.find((each) => each.name === name)?.leaseholder?.daemon,
    findLease,
    countWrites: () => [...accessByDaemon.values()].reduce((sum, access) => sum + access.writeCount, 0),
  };

  function findStoredAssignment(): Assignment | undefined {
    const stored = table.read("assignments/desk");
    return stored === undefined ? undefined : (decodeStoredObject(stored).value as Assignment);
  }

  function getDaemon(name: string): FakeDaemon {
    const found = daemons.get(name);
    if (found === undefined) {
      throw new Error(`no daemon ${name}`);
    }
    return found;
  }

  function getServer(name: string): FakeServer {
    const found = servers.find((each) => each.name === name);
    if (found === undefined) {
      throw new Error(`no server ${name}`);
    }
    return found;
  }

  function writeConfiguration(): void {
    const number = (table.read(CONFIGURATION_PATH)?.version ?? 0) + 1;
    const value = { number, author: "test", source: structuredClone(configuration) };
    table.write(
      CONFIGURATION_PATH,
      { writeId: `c${number}`, value },
      table.read(CONFIGURATION_PATH)?.version ?? 0,
    );
  }

  function startDaemon(name: string): void {
    lastIncarnation += 1;
    const run = { daemon: name, incarnation: lastIncarnation };
    const processClock = createProcessClock(clock);
    const access = accessByDaemon.get(name) ?? createPlatformAccess();
    accessByDaemon.set(name, access);
    const objects = createFakeObjectStore(table, access, processClock);
    const counters = createCounters(name);
    const snapshots = createSnapshotStore(silentLogger, counters);
    const statuses = createStatusView();
    const assignments = createAssignmentStore(objects, snapshots);
    const membership = createFakeMembership(run);
    const stop = new AbortController();
    const evidence = createStopEvidence({
      membership,
      snapshots,
      vms: { list: () => Promise.resolve([]) },
      identifyPeer: (address) => identifyDaemon(address.host),
      clock: processClock,
    });
    const pauseGuard = createPauseGuard(processClock, silentLogger, () => {
      void assignments.refresh("desk").then(
        () => {
          pauseGuard.markFresh();
        },
        () => undefined,
      );
    });
    const leases = createLeaseManager({
      self: run,
      assignments,
      snapshots,
      statuses,
      membership,
      evidence,
      clock: processClock,
      logger: silentLogger,
      isFresh: () => pauseGuard.isFresh(),
      createControl: (serverName) => getServer(serverName).createControl(name, processClock),
      isVmLeaving: (address) => leavingServers.includes(getServerName(address.port)),
      sendHandover: () => undefined,
    });
    const planner = createPlanner({
      membership,
      snapshots,
      assignments,
      statuses,
      evidence,
      clock: processClock,
      logger: silentLogger,
      collectLoads: () => Promise.resolve(new Map()),
      refusesConnections: (address) => Promise.resolve(!getServer(getServerName(address.port)).isRunning()),
    });
    daemons.set(name, {
      ...run,
      dataCentre: options.daemons[name] ?? "",
      clock: processClock,
      platformAccess: access,
      snapshots,
      statuses,
      leases,
      membership,
      isAlive: true,
      isPartitioned: false,
      silentSince: undefined,
      stop,
    });
    snapshots.events.on("changed", (raw) => {
      leases.reconcile();
      forEachReachablePeer(name, (peer) => peer.snapshots.apply(raw));
    });
    statuses.events.on("changed", (status) => {
      forEachReachablePeer(name, (peer) => peer.statuses.apply(status));
    });
    void planner.run(stop.signal);
    watch();

    /**
     * Lists all objects, and sends newer snapshots and all statuses to reachable daemons, at an interval.
     * Stands in for the prefix watcher and the exchange of snapshot digests in pings between daemons.
     */
    function watch(): void {
      if (stop.signal.aborted) {
        return;
      }
      objects.list("", 1).then(
        ({ objects: stored }) => {
          for (const object of stored) {
            snapshots.apply({
              path: object.path,
              version: object.version,
              value: decodeStoredObject(object).value,
            });
          }
        },
        () => undefined,
      );
      forEachReachablePeer(name, (peer) => {
        for (const raw of snapshots.listNewerThan(peer.snapshots.getVersions())) {
          peer.snapshots.apply(raw);
        }
        for (const status of statuses.all()) {
          peer.statuses.apply(status);
        }
      });
      processClock.schedule(WATCH_INTERVAL_MS, watch);
    }
  }

  function forEachReachablePeer(name: string, callback: (peer: FakeDaemon) => void): void {
    const self = getDaemon(name);
    for (const peer of daemons.values()) {
      if (peer !== self && !peer.isPartitioned && !self.isPartitioned && peer.isAlive) {
        void peer.clock.waitUntilRunning().then(() => {
          callback(peer);
        });
      }
    }
  }

  function identifyDaemon(
    name: string,
  ): Promise<{ kind: "refused" } | { kind: "run"; run: DaemonRun } | { kind: "silent" }> {
    const target = getDaemon(name);
    if (!target.isAlive) {
      return Promise.resolve({ kind: "refused" });
    }
    return Promise.resolve(
      target.silentSince === undefined ? { kind: "run", run: target } : { kind: "silent" },
    );
  }

  /**
   * Returns whether this is the latest run of its daemon and is not treated as dead. A run that is silent for
   * longer than the suspicion timeout is treated as dead, even if it is alive.
   */
  function isPresent(run: DaemonRun): boolean {
    const target = daemons.get(run.daemon);
    const isSilent =
      target?.silentSince !== undefined && clock.now() - target.silentSince > SUSPICION_TIMEOUT_MS;
    return target !== undefined && isSameRun(target, run) && !isSilent;
  }

  function createFakeMembership(self: DaemonRun): Membership {
    const toMember = (target: DaemonRun): Member => ({
      daemon: target.daemon,
      incarnation: target.incarnation,
      dataCentre: options.daemons[target.daemon] ?? "",
      address: { host: target.daemon, port: 1 },
      status: "alive",
      refutation: 0,
      platformReachable: accessByDaemon.get(target.daemon)?.isDown !== true,
      configurationVersion: 0,
      leaving: false,
    });
    return {
      events: new Emittery<MembershipEvents>(),
      self: () => toMember(self),
      present: () =>
        [...daemons.values()].filter((each) => isSameRun(each, self) || isVisible(self, each)).map(toMember),
      get: (name) => {
        const found = daemons.get(name);
        return found === undefined ? undefined : toMember(found);
      },
      isPresent: (run) => isSameRun(run, self) || isVisible(self, run),
      probeNow: () => undefined,
      declareDead: () => undefined,
      setPlatformReachable: () => undefined,
      setConfigurationVersion: () => undefined,
      setLeaving: () => undefined,
      leave: () => undefined,
      stop: () => undefined,
    };
  }

  function isVisible(self: DaemonRun, run: DaemonRun): boolean {
    return isPresent(run) && daemons.get(self.daemon)?.isPartitioned !== true;
  }

  function getServerName(port: number): string {
    return Object.keys(options.servers)[port - 1] ?? "";
  }

  async function sendRequest(daemonName: string, slot: number, workMs: number): Promise<"done" | "refused"> {
    lastRequestId += 1;
    const assignment = getDaemon(daemonName).snapshots.findAssignment("desk")?.value;
    const owner = assignment === undefined ? undefined : findOwner(assignment, slot);
    const leaseholder = owner?.leaseholder;
    const target =
      leaseholder === undefined || leaseholder === null ? undefined : daemons.get(leaseholder.daemon);
    if (owner === undefined || target?.isAlive !== true) {
      return "refused";
    }
    await target.clock.waitUntilRunning();
    const lease = target.leases.get(owner.name);
    const result = await lease?.acquirePermit(
      getKey(slot),
      target.clock.now() + 5000,
      new AbortController().signal,
    );
    if (lease === undefined || result?.kind !== "permitted") {
      return "refused";
    }
    const { permit } = result;
    const serverRequest = {
      slot,
      epoch: permit.epoch ?? -1,
      generation: lease.generation,
      requestId: lastRequestId,
      workMs,
    };
    // A process may be paused after its last check of the permit and before it sends the bytes.
    await target.clock.waitUntilRunning();
    const end = await Promise.race([
      getServer(owner.name).send(target.daemon, serverRequest),
      whenAborted(permit.serverLost),
    ]);
    await target.clock.waitUntilRunning();
    permit.end(workEndsByResult[end], end === "done" ? workMs : undefined);
    return end === "done" ? "done" : "refused";
  }

  function findLease(name: string): { readonly daemon: FakeDaemon; readonly lease: ServerLease } | undefined {
    for (const each of daemons.values()) {
      const lease = each.isAlive ? each.leases.get(name) : undefined;
      if (lease !== undefined) {
        return { daemon: each, lease };
      }
    }
    return undefined;
  }

  function getKey(slot: number): string {
    return getKeysBySlot(options.slotCount)[slot] ?? "";
  }
}

const workEndsByResult = { done: "answered", refused: "notSent", lost: "unresolved" } as const;

const abortPromises = new WeakMap<AbortSignal, Promise<"lost">>();

/** Returns a promise that resolves when the signal is aborted; calls for one signal share it. */
function whenAborted(signal: AbortSignal): Promise<"lost"> {
  const known = abortPromises.get(signal);
  if (known !== undefined) {
    return known;
  }
  const aborted = new Promise<"lost">((resolve) => {
    signal.addEventListener("abort", () => {
      resolve("lost");
    });
  });
  abortPromises.set(signal, aborted);
  return aborted;
}

function createConfiguration(options: FakeClusterOptions): TestConfiguration {
  const dataCentres = [...new Set(Object.values(options.daemons))];
  const source = {
    data_centres: Object.fromEntries(dataCentres.map((name) => [name, { state: "in" }])),
    services: { desk: { divided_by_key: true, slot_count: options.slotCount, request_timeout: "5s" } },
    servers: Object.fromEntries(
      Object.entries(options.servers).map(([name, { dataCentre, isFenced }], index) => [
        name,
        {
          service: "desk",
          data_centre: dataCentre,
          host: "10.0.0.1",
          port: index + 1,
          slots: 4,
          fenced: isFenced,
          state: "active",
        },
      ]),
    ),
  };
  configurationSchema.parse(source);
  return source;
}
