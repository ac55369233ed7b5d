/** A small deployment for a soak: object store, backend servers behind proxies, and daemons. */
import { CONFIGURATION_NAME, StoreKind } from "../../platform/wireNames";
import { sleep, systemClock } from "../../src/types";
import {
  type EdgeServer,
  type EdgeServerOptions,
  type BackOffRecord,
  type RunRecord,
  startEdgeServer,
} from "../edge/backendServer";
import { type EdgeObjectStore, type StoreEndpoint, createEdgeObjectStore } from "../edge/objectStore";
import { type SoakDaemon, createSoakFolder, startSoakDaemon } from "./daemons";
import { type LinkProxy, startLinkProxy } from "./proxy";

/** Host name of the configured routes. */
export const SOAK_HOST = "soak.example";
/** API keys of the configured organisations. */
export const SoakKey = { regular: "soak-key-1", bounded: "soak-key-2" } as const;
/** Names of the configured organisations. */
export const SoakOrganisation = { regular: "regular", bounded: "bounded" } as const;
/** Allowance of the organisation `bounded`. */
export const BOUNDED_ALLOWANCE = { requestsPerSecond: 5, burst: 5 } as const;
/** Request timeout of the configured routes. */
export const SOAK_TIMEOUT_MS = 1500;
/** Sizes of the backend servers' answers in bytes. */
export const AnswerBytes = { short: 600, bundle: 90_000 } as const;

const DATA_CENTRES = ["a", "b"] as const;
const DAEMON_COUNT = 4;
const KEYED_SERVER_COUNT = 6;
const KEYLESS_SERVER_COUNT = 4;
const VERSION_DIGITS = 8;
const HEXADECIMAL_RADIX = 16;
const MILLISECONDS_PER_SECOND = 1000;
const READY_TIMEOUT_MS = 60_000;
const READY_POLL_INTERVAL_MS = 100;
/** Seeds that run at the same time need different loopback addresses; those equal modulo this number share them. */
export const ADDRESS_BLOCKS = 200;
/** The last daemon reads from the store over a link on which one copy of the configuration takes 0.45 s. */
const SLOW_LINK_BYTES_PER_SECOND = 400_000;
/** Routes without requests, which give the configuration the size of that of a large organisation. */
const UNUSED_ROUTES = 900;
/** Operators and backend servers notice within this time that the store was restored. */
const MAX_REWRITE_DELAY_MS = 600;
/** Versions of the configuration in one series, and the pause between them. */
const SERIES_LENGTH = 8;
const SERIES_PAUSE_MS = 100;

/** A backend server and the proxy in front of it. */
export interface ProxiedServer {
  readonly server: EdgeServer;
  readonly proxy: LinkProxy;
}

/** A daemon and its own endpoint of the store. */
export interface ConnectedDaemon {
  readonly daemon: SoakDaemon;
  readonly endpoint: StoreEndpoint;
}

/** A running deployment. */
export interface SoakDeployment {
  readonly store: EdgeObjectStore;
  readonly servers: readonly ProxiedServer[];
  readonly daemons: readonly ConnectedDaemon[];
  /** Folder with settings and logs. */
  readonly folder: string;
  /** Requests that backend servers have started to run. */
  readonly runs: readonly RunRecord[];
  /** Refusals with which backend servers asked for no requests for a time. */
  readonly backOffs: readonly BackOffRecord[];
  /** Descriptions of keys that two backend servers owned at once. */
  readonly ownershipConflicts: readonly string[];
  /** Writes the next version of the configuration, which adds a route and keeps all earlier ones. */
  writeConfiguration(): void;
  /** Writes several versions in quick succession. */
  writeConfigurationSeries(): Promise<void>;
  /**
   * Restores the store from a copy that is `ageMs` old. Operators and backend servers then write again what they
   * had written since.
   */
  restoreStore(ageMs: number): Promise<void>;
  /** Returns the version of the newest route that was written at least `ms` ago. */
  findAddedRoute(ms: number): number | undefined;
  close(): Promise<void>;
}

/**
 * Starts a deployment and waits until all daemons are ready.
 *
 * @param seed - Seed of the run, which determines the daemons' addresses.
 * @param randomInt - Returns a seeded random integer from 0 to below its argument.
 * @returns The deployment.
 * @throws Error when a daemon does not become ready.
 */
export async function startDeployment(
  seed: number,
  randomInt: (limit: number) => number,
): Promise<SoakDeployment> {
  const store = createEdgeObjectStore(Math.random);
  const folder = createSoakFolder();
  const runs: RunRecord[] = [];
  const backOffs: BackOffRecord[] = [];
  const ownershipConflicts: string[] = [];
  const servers: ProxiedServer[] = [];
  const daemons: ConnectedDaemon[] = [];
  let version = 0;
  const writtenVersions: { readonly version: number; readonly at: number }[] = [];
  for (const options of listServerOptions()) {
    const server = await startEdgeServer(options, store, () => servers.map((each) => each.server), {
      onRunStarted: (run) => runs.push(run),
      onBackOff: (backOff) => backOffs.push(backOff),
      onOwnershipConflict: (detail) => ownershipConflicts.push(detail),
    });
    const proxy = await startLinkProxy(server.getPort);
    server.advertise(proxy.port);
    servers.push({ server, proxy });
  }
  writeConfiguration();
  for (let index = 0; index < DAEMON_COUNT; index += 1) {
    const isLast = index === DAEMON_COUNT - 1;
    const endpoint = await store.openEndpoint(isLast ? SLOW_LINK_BYTES_PER_SECOND : undefined);
    const daemon = startSoakDaemon({
      name: `d${index}`,
      dataCentre: getDataCentre(index),
      host: `127.0.${seed % ADDRESS_BLOCKS}.${10 + index}`,
      storePort: endpoint.port,
      folder,
    });
    daemons.push({ daemon, endpoint });
  }
  try {
    await waitUntilReady();
  } catch (error) {
    await close();
    throw error;
  }
  return {
    store,
    servers,
    daemons,
    folder,
    runs,
    backOffs,
    ownershipConflicts,
    writeConfiguration,
    writeConfigurationSeries,
    restoreStore,
    findAddedRoute: (ms) =>
      writtenVersions.findLast((written) => performance.now() - written.at >= ms)?.version,
    close,
  };

  function writeConfiguration(): void {
    // Versions increase in irregular steps, of 1 to 3.
    writeVersion(version + 1 + randomInt(3));
  }

  async function writeConfigurationSeries(): Promise<void> {
    writeConfiguration();
    for (let count = 1; count < SERIES_LENGTH; count += 1) {
      await sleep(systemClock, SERIES_PAUSE_MS);
      writeVersion(version + 1);
    }
  }

  async function restoreStore(ageMs: number): Promise<void> {
    store.restore(ageMs);
    await sleep(systemClock, randomInt(MAX_REWRITE_DELAY_MS));
    storeConfiguration();
    servers.forEach(({ server }) => {
      server.recordStoreRestore();
    });
  }

  function writeVersion(next: number): void {
    version = next;
    writtenVersions.push({ version, at: performance.now() });
    storeConfiguration();
  }

  function storeConfiguration(): void {
    const added = writtenVersions.map((written) => written.version);
    store.put(StoreKind.Configuration, CONFIGURATION_NAME, createConfiguration(version, added));
  }

  async function waitUntilReady(): Promise<void> {
    const endAt = performance.now() + READY_TIMEOUT_MS;
    for (;;) {
      const ready = await Promise.all(daemons.map(({ daemon }) => daemon.isReady()));
      if (ready.every(Boolean)) {
        return;
      }
      if (performance.now() > endAt) {
        throw new Error(
          `soak seed ${seed}: daemons not ready within ${READY_TIMEOUT_MS} ms, logs are in ${folder}`,
        );
      }
      await new Promise((resolve) => setTimeout(resolve, READY_POLL_INTERVAL_MS));
    }
  }

  async function close(): Promise<void> {
    await Promise.all(daemons.map(({ daemon }) => daemon.close()));
    await Promise.all(servers.map(({ proxy }) => proxy.close()));
    await Promise.all(servers.map(({ server }) => server.close()));
    await store.close();
  }
}

function getDataCentre(index: number): string {
  return DATA_CENTRES[index % DATA_CENTRES.length] ?? DATA_CENTRES[0];
}

function listServerOptions(): readonly EdgeServerOptions[] {
  const create = (
    service: string,
    index: number,
    overrides: Partial<EdgeServerOptions>,
  ): EdgeServerOptions => ({
    name: `${service}-${index}`,
    service,
    dataCentre: getDataCentre(index),
    slots: 4,
    workMs: 40,
    isKeyed: false,
    answerBytes: AnswerBytes.short,
    ...overrides,
  });
  const list = (service: string, count: number, overrides: Partial<EdgeServerOptions>) =>
    Array.from({ length: count }, (_, index) => create(service, index, overrides));
  return [
    ...list("desk", KEYED_SERVER_COUNT, { isKeyed: true }),
    ...list("ledger", KEYLESS_SERVER_COUNT, {}),
    ...list("vault", KEYLESS_SERVER_COUNT, { answerBytes: AnswerBytes.bundle }),
  ];
}

/**
 * Returns the path prefix of the route that a version of the configuration adds, without its slashes.
 *
 * @param version - Version of the configuration.
 * @returns The prefix.
 */
export function getAddedPrefix(version: number): string {
  return `added-${version}`;
}

function createConfiguration(version: number, addedVersions: readonly number[]): unknown {
  const createRoute = (name: string, kind: string, service: string) => ({
    type: "routes",
    metadata: { name },
    spec: {
      host: SOAK_HOST,
      pathPrefix: `/${name}/`,
      kind,
      timeoutS: SOAK_TIMEOUT_MS / MILLISECONDS_PER_SECOND,
      aimS: 0.5,
      priority: 1,
      service,
      attempts: 2,
    },
  });
  const createService = (name: string, sharded: boolean) => ({
    type: "services",
    metadata: { name },
    spec: { maxConns: 130, warmupS: 0, sharded },
  });
  const createOrganisation = (name: string, spec: unknown) => ({ type: "tenants", metadata: { name }, spec });
  const limits = { maxHeaderBytes: 16_384, maxBodyBytes: 1_048_576, headerTimeoutS: 3, idleTimeoutS: 15 };
  return {
    version: version.toString(HEXADECIMAL_RADIX).padStart(VERSION_DIGITS, "0"),
    resources: [
      createRoute("lookup", "safe", "desk"),
      createRoute("order", "unsafe", "ledger"),
      createRoute("bundle", "download", "vault"),
      ...addedVersions.map((added) => createRoute(getAddedPrefix(added), "safe", "ledger")),
      ...Array.from({ length: UNUSED_ROUTES }, (_, index) =>
        createRoute(`unused-${index}`, "safe", "ledger"),
      ),
      createService("desk", true),
      createService("ledger", false),
      createService("vault", false),
      createOrganisation(SoakOrganisation.regular, { apiKeys: [SoakKey.regular] }),
      createOrganisation(SoakOrganisation.bounded, {
        apiKeys: [SoakKey.bounded],
        ratePerS: BOUNDED_ALLOWANCE.requestsPerSecond,
        burst: BOUNDED_ALLOWANCE.burst,
      }),
      { type: "limits", metadata: {}, spec: limits },
    ],
  };
}
