/**
 * The demo: runs a complete deployment under load, kills a backend server and a daemon, and reports whether
 * the promises held.
 */
import { formatTable } from "../../src/cli/output";
import { type Cluster, type ServerOptions, startCluster } from "./cluster";
import { type CallerResult, createCallers, createRandom } from "./callers";
import { groupBy } from "./groupBy";
import { measureOutage } from "./outage";
import { readRecords } from "./records";

const DATA_CENTRES = ["north", "south", "west"];
const REQUESTS_PER_SECOND = 250;
const LOAD_MS = 16_000;
const KILL_SERVER_AT_MS = 4000;
const KILL_DAEMON_AT_MS = 9000;
const KEY_COUNT = 600;
const DOWNLOAD_BYTES = 8 * 1024 * 1024;
const OUTAGE_LIMIT_MS = 2000;

const fencedServers: readonly ServerOptions[] = DATA_CENTRES.flatMap((dataCentre) =>
  [1, 2].map((number) => ({
    name: `desk-${dataCentre}-${number}`,
    service: "loan-desk",
    dataCentre,
    isFenced: true,
    slots: 4,
  })),
);
const unfencedServers: readonly ServerOptions[] = ["north", "south"].map((dataCentre) => ({
  name: `vault-${dataCentre}`,
  service: "docvault",
  dataCentre,
  isFenced: false,
  slots: 4,
}));

void main().then(
  (code) => {
    process.exitCode = code;
  },
  (error: unknown) => {
    process.stderr.write(`${String(error)}\n`);
    process.exitCode = 1;
  },
);

async function main(): Promise<number> {
  showProgress("starting 1 platform stand-in, 8 backend servers and 6 daemons");
  const cluster = await startCluster({
    dataCentres: DATA_CENTRES,
    daemonsPerDataCentre: 2,
    services: {
      "loan-desk": { divided_by_key: true, slot_count: 256, cold_start_ramp: "300ms" },
      docvault: { divided_by_key: false, cold_start_ramp: "300ms" },
    },
    servers: [...fencedServers, ...unfencedServers],
  });
  try {
    return await runLoad(cluster);
  } finally {
    await cluster.stop();
  }
}

async function runLoad(cluster: Cluster): Promise<number> {
  const random = createRandom(7);
  const callers = createCallers();
  const killedServer = "desk-north-1";
  const killedDaemon = await fetchLeaseholder(cluster, "desk-south-1");
  const entries = cluster.daemons.filter((daemon) => daemon.name !== killedDaemon);
  const keysOfServer = await fetchOwnedKeys(cluster, "desk-north-1");
  const keysOfDaemon = await fetchOwnedKeys(cluster, "desk-south-1");
  const startedAt = performance.now();
  let serverKilledAt = 0;
  let daemonKilledAt = 0;
  setTimeout(() => {
    showProgress(`killing backend server ${killedServer}`);
    serverKilledAt = performance.now();
    cluster.killServer(killedServer);
  }, KILL_SERVER_AT_MS);
  setTimeout(() => {
    showProgress(`killing daemon ${killedDaemon}`);
    daemonKilledAt = performance.now();
    cluster.signalDaemon(killedDaemon, "SIGKILL");
  }, KILL_DAEMON_AT_MS);
  const progress = setInterval(() => {
    showProgress(
      `${callers.getResults().length} requests ended after ${Math.round((performance.now() - startedAt) / 1000)} s`,
    );
  }, 1000);
  const keyByCallerId = new Map<string, string>();
  await callers.send(REQUESTS_PER_SECOND, LOAD_MS, (index) => {
    const entry = entries[index % entries.length]?.callerUrl ?? "";
    const callerId = `c${index}`;
    if (index % 100 === 0) {
      const url = `${entry}/docvault/bundle-${index}?bytes=${DOWNLOAD_BYTES}&caller=${callerId}`;
      return { url, method: "GET", callerId, bytes: DOWNLOAD_BYTES };
    }
    const key = `key-${Math.floor(random() * KEY_COUNT)}`;
    keyByCallerId.set(callerId, key);
    return {
      url: `${entry}/loan-desk/${key}/status?caller=${callerId}`,
      method: index % 4 === 0 ? "POST" : "GET",
      callerId,
    };
  });
  clearInterval(progress);
  await callers.close();
  const results = callers.getResults();
  const measureKeysOutage = (keys: ReadonlySet<string>, from: number, until: number) =>
    measureOutage(results, (result) => keys.has(keyByCallerId.get(result.callerId) ?? ""), { from, until });
  const serverOutage = measureKeysOutage(keysOfServer, serverKilledAt, daemonKilledAt);
  const daemonOutage = measureKeysOutage(keysOfDaemon, daemonKilledAt, Number.POSITIVE_INFINITY);
  return printSummary(cluster, results, serverOutage, daemonOutage);
}

async function fetchLeaseholder(cluster: Cluster, server: string): Promise<string> {
  const status = await cluster.fetchStatus(cluster.daemons[0]?.name ?? "");
  return status.servers.find((entry) => entry.server === server)?.leaseholder ?? "";
}

async function fetchOwnedKeys(cluster: Cluster, server: string): Promise<ReadonlySet<string>> {
  const admin = cluster.daemons[0]?.adminAddress ?? "";
  const keys = Array.from({ length: KEY_COUNT }, (_unused, index) => `key-${index}`);
  const owners = await Promise.all(
    keys.map(async (key) => {
      const response = await fetch(`http://${admin}/owner?service=loan-desk&key=${key}`);
      return (await response.json()) as { server: string };
    }),
  );
  return new Set(keys.filter((_key, index) => owners[index]?.server === server));
}

function printSummary(
  cluster: Cluster,
  results: readonly CallerResult[],
  serverOutage: number,
  daemonOutage: number,
): number {
  const facts = readRecords(cluster.recordFile);
  const started = new Set(facts.runs.map((run) => run.callerId));
  const falselyNotRun = results.filter(
    (result) => result.outcome === "not-run" && started.has(result.callerId),
  );
  const answeredWithoutRun = results.filter(
    (result) => result.end === "whole" && !started.has(result.callerId),
  );
  const wrongContent = results.filter((result) => result.end === "wrong content");
  const groups = [
    ...groupBy(results, (result) => `${result.end}${result.end === "whole" ? "" : ` (${result.outcome})`}`),
  ];
  const promises = [
    ["run twice", facts.repeatedRequests.length],
    ["two owners at once", facts.ownershipConflicts.length],
    ["called not run, but ran", falselyNotRun.length],
    ["answered, but not run", answeredWithoutRun.length],
    ["wrong or truncated answers", wrongContent.length],
  ] as const;
  const rows = [
    ["requests", results.length],
    ...groups
      .sort()
      .map(
        ([end, group]) => [end === "whole" ? "complete answers" : `refused: ${end}`, group.length] as const,
      ),
    ...promises,
    [`keys of the killed backend server served again (limit ${OUTAGE_LIMIT_MS} ms)`, `${serverOutage} ms`],
    [`keys of the killed daemon served again (limit ${OUTAGE_LIMIT_MS} ms)`, `${daemonOutage} ms`],
  ] as const;
  process.stdout.write(`${formatTable(["", "result"], rows)}\n`);
  const isBroken =
    promises.some(([, count]) => count > 0) ||
    serverOutage > OUTAGE_LIMIT_MS ||
    daemonOutage > OUTAGE_LIMIT_MS;
  process.stdout.write(isBroken ? "A promise was broken.\n" : "All promises held.\n");
  return isBroken ? 1 : 0;
}

function showProgress(text: string): void {
  if (process.stderr.isTTY) {
    process.stderr.write(`\r\u001b[K${text}`);
  }
}
