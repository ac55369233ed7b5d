/** Processor time of the coordinator while a neighbourhood of keys turns busy, over fakes of store and servers. */
import { createServerDirectory, type DiscoveredServer, ServerPhase } from "../src/discovery";
import {
  KEY_COUNT,
  type KeyControl,
  coordinateKeys,
  createKeyLoad,
  createOwnerTable,
} from "../src/keyRanges";
import { silentLogger } from "../src/observability";
import type { ObjectStore, StoredObject } from "../src/objectStore";
import { systemClock } from "../src/types";

const SERVICE = "desk";
const SERVERS = 200;
const SECONDS = 8;
const REQUESTS_PER_SECOND = 1000;
const BUSY_KEYS = 200;
const BUSY_SHARE = 0.4;
const REPORTS_PER_SECOND = 10;
const CALL_MS = 3;

/** Runs the measurement and prints processor seconds, moves and grants. */
export async function measureCoordinator(): Promise<void> {
  const clock = systemClock;
  const counts = { grants: 0, releases: 0, writes: 0, published: 0 };
  const answer = <Value>(value: Value): Promise<Value> =>
    new Promise((resolve) => {
      setTimeout(() => {
        resolve(value);
      }, CALL_MS);
    });
  let stored: StoredObject | undefined;
  const objects: ObjectStore = {
    read: () => answer(stored),
    write: (path, value, base) => {
      counts.writes += 1;
      stored = { path, version: base + 1, value: JSON.parse(JSON.stringify(value)) as unknown };
      return answer({ kind: "written" as const, version: base + 1 });
    },
    list: () => answer({ objects: [], version: 1 }),
    watch: () => answer({ objects: [], version: 1 }),
  };
  const control: KeyControl = {
    grant: () => {
      counts.grants += 1;
      return answer({ kind: "granted" as const });
    },
    release: () => {
      counts.releases += 1;
      return answer({ kind: "released" as const, handover: "h" });
    },
  };
  const directory = createServerDirectory({
    clock,
    logger: silentLogger,
    decode: (_name, value) => value as DiscoveredServer,
    getColdMs: () => 0,
  });
  directory.replaceAll(
    Array.from({ length: SERVERS }, (_, index) => ({
      path: `servers/s${index}`,
      version: 1,
      value: createServer(`s${index}`),
    })),
  );
  const load = createKeyLoad(clock);
  const stop = new AbortController();
  const before = process.cpuUsage();
  void coordinateKeys(
    {
      service: SERVICE,
      objects,
      directory,
      owners: createOwnerTable(clock, silentLogger),
      control,
      load,
      publish: () => {
        counts.published += 1;
      },
      getCapacities: (servers) => servers.map(() => 4),
      clock,
      logger: silentLogger,
      isCoordinator: () => true,
      getStoreSilenceMs: () => 0,
      maxGrantMs: 10_000,
    },
    stop.signal,
  );
  for (let tick = 0; tick < SECONDS * REPORTS_PER_SECOND; tick += 1) {
    const isBusy = tick > (SECONDS * REPORTS_PER_SECOND) / 2;
    for (let request = 0; request < REQUESTS_PER_SECOND / REPORTS_PER_SECOND; request += 1) {
      const isAboutBusyKey = isBusy && Math.random() < BUSY_SHARE;
      load.record(
        isAboutBusyKey
          ? 10_000 + Math.floor(Math.random() * BUSY_KEYS)
          : Math.floor(Math.random() * KEY_COUNT),
      );
    }
    await new Promise((resolve) => setTimeout(resolve, 1000 / REPORTS_PER_SECOND));
  }
  stop.abort();
  const { user, system } = process.cpuUsage(before);
  const cpuSeconds = ((user + system) / 1_000_000).toFixed(2);
  process.stdout.write(`coordinator, ${SERVERS} servers, ${SECONDS} s: ${cpuSeconds} s of a core, `);
  process.stdout.write(`${JSON.stringify(counts)}\n`);
}

function createServer(name: string): DiscoveredServer {
  return {
    name,
    bornAt: 1,
    service: SERVICE,
    address: { host: "127.0.0.1", port: 1 },
    dataCentre: "a",
    slots: 4,
    phase: ServerPhase.Ready,
    coldForMs: 0,
  };
}
