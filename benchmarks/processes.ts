/** Benchmarks with real processes: cost of the hops, cost of an idle cluster, stragglers, overload. */
import { formatTable } from "../src/cli/output";
import { type Callers, createCallers, createRandom } from "../standins/scenarios/callers";
import { type Cluster, type ServerOptions, startCluster } from "../standins/scenarios/cluster";
import { readRecords } from "../standins/scenarios/records";
import { readCpuSeconds, readMemoryMib } from "./processUsage";

const LOAD_MS = 6000;
const IDLE_MS = 10_000;
/** Time to wait for balanced leases after the start; leases are moved one at a time. */
const SETTLE_MS = 25_000;
const WARM_UP_MS = 2000;

/**
 * Measures latency and the daemons' CPU time for requests straight to the servers and through daemons. The
 * latter enter at the server's leaseholder or at another daemon, which forwards them to the leaseholder.
 */
export async function measureHops(): Promise<void> {
  const servers = createServers("desk", 16, 16, 0);
  const cluster = await startCluster({
    dataCentres: ["north"],
    daemonsPerDataCentre: 2,
    services: { desk: { divided_by_key: false, cold_start_ramp: "100ms", queue_length: 4096 } },
    servers,
  });
  const rows: (string | number)[][] = [];
  try {
    for (const rate of [1000, 2000, 4000]) {
      for (const variant of ["straight to a server", "one daemon or two"] as const) {
        rows.push(await measureHopVariant(cluster, variant, rate));
      }
    }
  } finally {
    await cluster.stop();
  }
  const head = [
    "variant",
    "requests/s",
    "answered",
    "p50 ms",
    "p99 ms",
    "p99.9 ms",
    "daemons' CPU µs/request",
  ];
  process.stdout.write(`${formatTable(head, rows)}\n`);
}

async function measureHopVariant(
  cluster: Cluster,
  variant: string,
  rate: number,
): Promise<(string | number)[]> {
  const targets =
    variant === "straight to a server"
      ? cluster.servers.map((server) => `http://127.0.0.1:${server.port}`)
      : cluster.daemons.map((daemon) => `${daemon.callerUrl}/desk`);
  const url = (index: number) => `${targets[index % targets.length] ?? ""}/key-${index % 500}/status`;
  const warmUpCallers = createCallers();
  await warmUpCallers.send(rate, WARM_UP_MS, (index) => ({ url: url(index), method: "GET", callerId: "" }));
  await warmUpCallers.close();
  const callers = createCallers();
  const before = sumCpuSeconds(cluster);
  await callers.send(rate, LOAD_MS, (index) => ({ url: url(index), method: "GET", callerId: "" }));
  const used = sumCpuSeconds(cluster) - before;
  await callers.close();
  const answered = callers.getResults().filter((result) => result.outcome === "run").length;
  const perRequest = Math.round((used / callers.getResults().length) * 1e6);
  return [variant, rate, answered, ...formatPercentiles(callers), perRequest];
}

/** Measures CPU time, memory, traffic and platform calls of idle daemons, for clusters of growing size. */
export async function measureIdle(): Promise<void> {
  const head = [
    "daemons",
    "servers",
    "slots",
    "CPU % of a core",
    "memory MiB",
    "sent bytes/s",
    "platform reads/s",
    "writes/s",
  ];
  for (const [perDataCentre, serverCount] of [
    [2, 12],
    [4, 12],
    [4, 36],
    [8, 36],
    [12, 36],
  ] as const) {
    process.stdout.write(`${formatTable(head, [await measureIdleCluster(perDataCentre, serverCount)])}\n`);
  }
}

async function measureIdleCluster(perDataCentre: number, serverCount: number): Promise<(string | number)[]> {
  const dataCentres = ["north", "south", "west"];
  const servers = dataCentres.flatMap((dataCentre) =>
    createServers("desk", serverCount / 3, 4, 1, dataCentre).map((server) => ({ ...server, isFenced: true })),
  );
  const cluster = await startCluster({
    dataCentres,
    daemonsPerDataCentre: perDataCentre,
    services: { desk: { divided_by_key: true, slot_count: 1024, cold_start_ramp: "100ms" } },
    servers,
  });
  try {
    await pause(SETTLE_MS);
    const cpuBefore = sumCpuSeconds(cluster);
    const bytesBefore = await sumSentBytes(cluster);
    const callsBefore = await cluster.countPlatformCalls();
    await pause(IDLE_MS);
    const seconds = IDLE_MS / 1000;
    const count = cluster.daemons.length;
    const calls = await cluster.countPlatformCalls();
    const cpu = ((sumCpuSeconds(cluster) - cpuBefore) / seconds / count) * 100;
    const bytes = ((await sumSentBytes(cluster)) - bytesBefore) / seconds / count;
    const memory =
      cluster.daemons.reduce((sum, daemon) => sum + readMemoryMib(daemon.process.pid ?? 0), 0) / count;
    return [
      count,
      serverCount,
      1024,
      cpu.toFixed(2),
      Math.round(memory),
      Math.round(bytes),
      ((calls.reads - callsBefore.reads) / seconds).toFixed(1),
      ((calls.writes - callsBefore.writes) / seconds).toFixed(1),
    ];
  } finally {
    await cluster.stop();
  }
}

/** Measures tail latency with 0 and 2 of 10 servers straggling, against round robin without hedging. */
export async function measureStragglers(): Promise<void> {
  const cluster = await startCluster({
    dataCentres: ["north"],
    daemonsPerDataCentre: 4,
    services: { vault: { divided_by_key: false, cold_start_ramp: "100ms", hedge_after: "25ms" } },
    servers: createServers("vault", 10, 4, 4),
  });
  const rows: (string | number)[][] = [];
  try {
    for (const straggling of [0, 2]) {
      for (const server of cluster.servers.slice(0, straggling)) {
        await cluster.controlServer(server.name, "behaviour", { stragglerMs: 80 });
      }
      const daemons = cluster.daemons.map((daemon) => `${daemon.callerUrl}/vault`);
      const direct = cluster.servers.map((server) => `http://127.0.0.1:${server.port}`);
      rows.push(["hemlockbank", straggling, ...(await measureTargets(daemons, 400))]);
      rows.push(["round robin, no hedge", straggling, ...(await measureTargets(direct, 400))]);
    }
    const attempts = readRecords(cluster.recordFile).runs.length;
    process.stdout.write(
      `${formatTable(["policy", "straggling of 10", "answered", "p50 ms", "p99 ms", "p99.9 ms"], rows)}\n`,
    );
    process.stdout.write(`runs at backend servers in all: ${attempts}\n`);
  } finally {
    await cluster.stop();
  }
}

/**
 * Counts overloads of 4-slot servers that restart cold after 3 s of load: with one leaseholder per server,
 * and with six senders that have limits of their own.
 */
export async function measureOverload(): Promise<void> {
  const rows: (string | number)[][] = [];
  for (const policy of ["one leaseholder for each server", "six senders with limits of their own"] as const) {
    const cluster = await startCluster({
      dataCentres: ["north"],
      daemonsPerDataCentre: 6,
      services: {
        desk: { divided_by_key: false, cold_start_ramp: "1s", queue_timeout: "300ms", request_timeout: "3s" },
      },
      servers: createServers("desk", 4, 4, 10).map((server) => ({ ...server, coldMs: 1000 })),
    });
    try {
      rows.push(await measureOverloadPolicy(cluster, policy));
    } finally {
      await cluster.stop();
    }
  }
  const head = ["policy", "requests", "whole", "refused", "overloads", "while cold", "p99 ms of whole"];
  process.stdout.write(`${formatTable(head, rows)}\n`);
}

async function measureOverloadPolicy(cluster: Cluster, policy: string): Promise<(string | number)[]> {
  const callers = createCallers();
  const isDirect = policy !== "one leaseholder for each server";
  const send = isDirect ? createDirectSend(cluster, callers) : createDaemonSend(cluster, callers);
  const restartTimer = setTimeout(() => {
    for (const server of cluster.servers) {
      cluster.killServer(server.name);
      void cluster.restartServer(server.name);
    }
  }, 3000);
  const before = readRecords(cluster.recordFile).overloads;
  setTimeout(() => undefined, 0);
  await send(1300, 7000);
  clearTimeout(restartTimer);
  await callers.close();
  const records = readRecords(cluster.recordFile);
  const whole = callers.getResults().filter((result) => result.end === "whole").length;
  const p99 = (callers.latency.getValueAtPercentile(99) / 1000).toFixed(1);
  const total = callers.getResults().length;
  return [policy, total, whole, total - whole, records.overloads - before, records.coldOverloads, p99];
}

function createDaemonSend(cluster: Cluster, callers: Callers) {
  return (rate: number, durationMs: number) =>
    callers.send(rate, durationMs, (index) => ({
      url: `${cluster.daemons[index % cluster.daemons.length]?.callerUrl ?? ""}/desk/key-${index}/status`,
      method: "GET",
      callerId: `c${index}`,
    }));
}

/**
 * Creates the load of six senders. Each prefers servers at which fewer than 4 (all slots) of its own requests
 * are in flight, since it does not know of the other senders' requests. A request counts as in flight for
 * 12 ms, as servers take 10 ms to process one.
 */
function createDirectSend(cluster: Cluster, callers: Callers) {
  const random = createRandom(3);
  const senders = Array.from({ length: 6 }, () => new Map(cluster.servers.map((server) => [server.name, 0])));
  return (rate: number, durationMs: number) =>
    callers.send(rate, durationMs, (index) => {
      const inFlight = senders[index % senders.length] ?? new Map<string, number>();
      const free = cluster.servers.filter((server) => (inFlight.get(server.name) ?? 0) < server.slots);
      const choices = free.length > 0 ? free : cluster.servers;
      const server = choices[Math.floor(random() * choices.length)];
      const name = server?.name ?? "";
      inFlight.set(name, (inFlight.get(name) ?? 0) + 1);
      setTimeout(() => inFlight.set(name, (inFlight.get(name) ?? 1) - 1), 12);
      return {
        url: `http://127.0.0.1:${server?.port ?? 0}/key-${index}/status`,
        method: "GET",
        callerId: `c${index}`,
      };
    });
}

async function measureTargets(targets: readonly string[], rate: number): Promise<(string | number)[]> {
  const callers = createCallers();
  await callers.send(rate, LOAD_MS, (index) => ({
    url: `${targets[index % targets.length] ?? ""}/key-${index % 500}/status`,
    method: "GET",
    callerId: "",
  }));
  await callers.close();
  const answered = callers.getResults().filter((result) => result.outcome === "run").length;
  return [answered, ...formatPercentiles(callers)];
}

function formatPercentiles(callers: Callers): string[] {
  return [50, 99, 99.9].map((share) => (callers.latency.getValueAtPercentile(share) / 1000).toFixed(1));
}

function createServers(
  service: string,
  count: number,
  slots: number,
  workMs: number,
  dataCentre = "north",
): readonly ServerOptions[] {
  return Array.from({ length: count }, (_unused, index) => ({
    name: `${service}-${dataCentre}-${index}`,
    service,
    dataCentre,
    isFenced: false,
    slots,
    workMs,
    coldMs: 100,
  }));
}

function sumCpuSeconds(cluster: Cluster): number {
  return cluster.daemons.reduce((sum, daemon) => sum + readCpuSeconds(daemon.process.pid ?? 0), 0);
}

async function sumSentBytes(cluster: Cluster): Promise<number> {
  const totals = await Promise.all(
    cluster.daemons.map(async (daemon) => {
      const response = await fetch(`http://${daemon.adminAddress}/counters`);
      const counters = (await response.json()) as Record<string, number>;
      return (counters["membership.sentBytes"] ?? 0) + (counters["peers.sentBytes"] ?? 0);
    }),
  );
  return totals.reduce((sum, total) => sum + total, 0);
}

function pause(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
