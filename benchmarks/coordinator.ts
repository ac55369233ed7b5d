/** CPU time of the coordinator while adjacent keys become busy, with a fake object store and fake servers. */
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
const SERVER_COUNT = 200;
const DURATION_SECONDS = 8;
const REQUESTS_PER_SECOND = 1000;
const BUSY_KEY_COUNT = 200;
const BUSY_REQUEST_SHARE = 0.4;
const REPORTS_PER_SECOND = 10;
const CALL_DURATION_MS = 3;

/** Runs the measurement and prints CPU seconds and counts of grants, releases, writes and publications. */
export async function measureCoordinator(): Promise<void> {
  const clock = systemClock;
  const counts = { grants: 0, releases: 0, writes: 0, published: 0 };
  const answerLater = <Value>(value: Value): Promise<Value> =>
    new Promise((resolve) => {
      setTimeout(() => {
        resolve(value);
      }, CALL_DURATION_MS);
    });
  let stored: StoredObject | undefined;
  const objects: ObjectStore = {
    read: () => answerLater(stored),
    write: (path, value, base) => {
      counts.writes += 1;
      stored = { path, version: base + 1, value: JSON.parse(JSON.stringify(value)) as unknown };
      return answerLater({ kind: "written" as const, version: base + 1 });
    },
    list: () => answerLater({ objects: [], version: 1 }),
    watch: () => answerLater({ objects: [], version: 1 }),
  };
  const control: KeyControl = {
    grant: () => {
      counts.grants += 1;
      return answerLater({ kind: "granted" as const });
    },
    release: () => {
      counts.releases += 1;
      return answerLater({ kind: "released" as const, handover: "h" });
    },
  };
  const directory = createServerDirectory({
    clock,
    logger: silentLogger,
    decode: (_name, value) => value as DiscoveredServer,
    getColdMs: () => 0,
  });
  directory.replaceAll(
    Array.from({ length: SERVER_COUNT }, (_, index) => ({
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
      isFirstStart: true,
      getTimeline: () => 0,
      maxGrantMs: 10_000,
    },
    stop.signal,
  );
  for (let tick = 0; tick < DURATION_SECONDS * REPORTS_PER_SECOND; tick += 1) {
    const isBusy = tick > (DURATION_SECONDS * REPORTS_PER_SECOND) / 2;
    for (let request = 0; request < REQUESTS_PER_SECOND / REPORTS_PER_SECOND; request += 1) {
      const isForBusyKey = isBusy && Math.random() < BUSY_REQUEST_SHARE;
      load.record(
        isForBusyKey
          ? 10_000 + Math.floor(Math.random() * BUSY_KEY_COUNT)
          : Math.floor(Math.random() * KEY_COUNT),
      );
    }
    await new Promise((resolve) => setTimeout(resolve, 1000 / REPORTS_PER_SECOND));
  }
  stop.abort();
  const { user, system } = process.cpuUsage(before);
  const cpuSeconds = ((user + system) / 1_000_000).toFixed(2);
  process.stdout.write(
    `coordinator, ${SERVER_COUNT} servers, ${DURATION_SECONDS} s: ${cpuSeconds} s of a core, `,
  );
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
    sequence: 0,
    coldForMs: 0,
  };
}
