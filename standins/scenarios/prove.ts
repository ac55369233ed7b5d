/** Failure scenarios with real processes, killed and stopped by signals. Prints one line per scenario. */
import { readRecords } from "./records";
import { type Scenario, type ScenarioContext, type ScenarioResult, runScenario } from "./scenario";

const OUTAGE_LIMIT_MS = 2000;
const NEW_WORK_LIMIT_MS = 3000;
const ROLLOUT_LIMIT_MS = 5000;
const EXIT_LIMIT_MS = 5000;
const DOWNLOAD_BYTES = 48 * 1024 * 1024;

const scenarios: readonly Scenario[] = [
  {
    name: "backend server killed",
    loadMs: 6000,
    outageLimitMs: OUTAGE_LIMIT_MS,
    allowsRefusals: true,
    run: (context) => {
      context.markFailure();
      context.cluster.killServer("desk-north-1");
      return Promise.resolve();
    },
  },
  {
    name: "leaseholder killed",
    loadMs: 6000,
    outageLimitMs: OUTAGE_LIMIT_MS,
    allowsRefusals: true,
    run: async (context) => {
      const daemon = await context.fetchLeaseholder("desk-north-1");
      removeEntry(context, daemon);
      context.markFailure();
      context.cluster.signalDaemon(daemon, "SIGKILL");
    },
  },
  {
    name: "backend server and its leaseholder killed",
    loadMs: 7000,
    outageLimitMs: OUTAGE_LIMIT_MS,
    allowsRefusals: true,
    run: async (context) => {
      const daemon = await context.fetchLeaseholder("desk-south-1");
      removeEntry(context, daemon);
      context.markFailure();
      context.cluster.killServer("desk-south-1");
      context.cluster.signalDaemon(daemon, "SIGKILL");
    },
  },
  {
    name: "data centre killed",
    loadMs: 9000,
    outageLimitMs: OUTAGE_LIMIT_MS,
    allowsRefusals: true,
    run: (context) => {
      context.markFailure();
      for (const daemon of context.cluster.daemons.filter((each) => each.dataCentre === "west")) {
        removeEntry(context, daemon.name);
        context.cluster.signalDaemon(daemon.name, "SIGKILL");
      }
      for (const server of context.cluster.servers.filter((each) => each.dataCentre === "west")) {
        context.cluster.killServer(server.name);
      }
      return Promise.resolve();
    },
  },
  {
    name: "all daemons killed and started again",
    loadMs: 9000,
    allowsRefusals: true,
    run: async (context) => {
      const { cluster } = context;
      const before = await fetchSlotCounts(context);
      context.markFailure();
      for (const daemon of cluster.daemons) {
        cluster.signalDaemon(daemon.name, "SIGKILL");
      }
      await context.wait(300);
      for (const daemon of cluster.daemons) {
        cluster.restartDaemon(daemon.name);
      }
      await cluster.waitFor("ready", cluster.daemons[0]?.name ?? "", (status) => status.ready);
      await context.wait(2500);
      const after = await fetchSlotCounts(context);
      const changed = [...before].filter(([server, slots]) => after.get(server) !== slots);
      if (changed.length > 0) {
        context.reportBrokenPromise(
          `number of owned slots changed for ${changed.map(([server]) => server).join(", ")}`,
        );
      }
    },
  },
  {
    name: "fenced backend server stopped for 4 s, then continued",
    loadMs: 9000,
    outageLimitMs: OUTAGE_LIMIT_MS,
    allowsRefusals: true,
    run: async (context) => {
      context.markFailure();
      context.cluster.signalServer("desk-north-2", "SIGSTOP");
      await context.wait(4000);
      context.cluster.signalServer("desk-north-2", "SIGCONT");
    },
  },
  {
    name: "unfenced backend server stopped for 4 s, then continued",
    loadMs: 9000,
    allowsRefusals: true,
    run: async (context) => {
      context.markFailure();
      context.cluster.signalServer("open-north", "SIGSTOP");
      await context.wait(4000);
      context.cluster.signalServer("open-north", "SIGCONT");
    },
  },
  {
    name: "daemon stopped for 4 s, then continued",
    loadMs: 9000,
    allowsRefusals: true,
    run: async (context) => {
      const daemon = await context.fetchLeaseholder("open-north");
      removeEntry(context, daemon);
      context.markFailure();
      context.cluster.signalDaemon(daemon, "SIGSTOP");
      await context.wait(4000);
      context.cluster.signalDaemon(daemon, "SIGCONT");
    },
  },
  {
    name: "backend server restarted cold",
    loadMs: 7000,
    clusterOptions: {},
    outageLimitMs: OUTAGE_LIMIT_MS,
    allowsRefusals: true,
    run: async (context) => {
      context.markFailure();
      context.cluster.killServer("desk-west-1");
      await context.cluster.restartServer("desk-west-1");
    },
  },
  {
    name: "platform down for 4 s, a backend server killed meanwhile",
    loadMs: 10_000,
    allowsRefusals: true,
    run: async (context) => {
      await setPlatformDown(context, true);
      await context.wait(1000);
      context.cluster.killServer("desk-north-1");
      await context.wait(3000);
      context.markFailure();
      await setPlatformDown(context, false);
    },
  },
  {
    name: "answers of the platform lost while a backend server is killed",
    loadMs: 7000,
    allowsRefusals: true,
    run: async (context) => {
      for (const dataCentre of ["north", "south", "west"]) {
        await context.cluster.setPlatformFaults(dataCentre, { lostAnswers: 2 });
      }
      context.markFailure();
      context.cluster.killServer("desk-south-2");
    },
  },
  {
    name: "data centre out and in",
    loadMs: 12_000,
    allowsRefusals: false,
    run: async (context) => {
      const { cluster } = context;
      context.markFailure();
      const outAt = getMonotonicTimeMs();
      await cluster.runCommand("dc", "out", "south", "--platform", cluster.platformUrl);
      await context.wait(5000);
      const servers = new Set(
        cluster.servers.filter((each) => each.dataCentre === "south").map((each) => each.name),
      );
      checkLastRun(context, servers, outAt);
      await cluster.runCommand("dc", "in", "south", "--platform", cluster.platformUrl);
    },
  },
  {
    name: "data centre out while it is cut off from the platform",
    loadMs: 9000,
    allowsRefusals: true,
    run: async (context) => {
      const { cluster } = context;
      await cluster.setPlatformFaults("south", { isDown: true });
      await context.wait(1000);
      const outAt = getMonotonicTimeMs();
      await cluster.runCommand("dc", "out", "south", "--platform", cluster.platformUrl);
      await context.wait(5500);
      const servers = new Set(
        cluster.servers.filter((each) => each.dataCentre === "south").map((each) => each.name),
      );
      checkLastRun(context, servers, outAt);
    },
  },
  {
    name: "backend servers drained: by an operator, by their own report, by the VM list",
    loadMs: 9000,
    allowsRefusals: false,
    run: async (context) => {
      const { cluster } = context;
      const drainedAt = getMonotonicTimeMs();
      await cluster.runCommand("server", "drain", "desk-north-1", "--platform", cluster.platformUrl);
      await cluster.controlServer("desk-south-1", "behaviour", { isDraining: true });
      const leavingPort = cluster.servers.find((each) => each.name === "desk-west-1")?.port;
      await cluster.updateVms((vms) =>
        vms.map((vm) => (vm.port === leavingPort ? { ...vm, state: "leaving" } : vm)),
      );
      await context.wait(6000);
      checkLastRun(context, new Set(["desk-north-1", "desk-south-1"]), drainedAt);
      const facts = readRecords(cluster.recordFile);
      const last = Math.max(
        ...facts.runs.filter((run) => run.server === "desk-west-1").map((run) => run.startedAt),
      );
      context.addNote(`VM leaving (VM list lags 2 s): last new work after ${last - drainedAt} ms`);
    },
  },
  {
    name: "daemon shut down gracefully with a large download in flight",
    loadMs: 8000,
    allowsRefusals: false,
    run: async (context) => {
      const daemon = await context.fetchLeaseholder("desk-north-1");
      const entry = context.cluster.daemons.find((each) => each.name === daemon)?.callerUrl ?? "";
      const download = context.callers.sendOne({
        url: `${entry}/desk/archive?bytes=${DOWNLOAD_BYTES}&caller=download`,
        method: "GET",
        callerId: "download",
        bytes: DOWNLOAD_BYTES,
      });
      await context.wait(30);
      context.cluster.signalDaemon(daemon, "SIGTERM");
      // The daemon accepts callers for a while after its health check fails, so that load balancers notice
      // in time; the load balancer that is simulated here takes 500 ms.
      await context.wait(500);
      removeEntry(context, daemon);
      const result = await download;
      context.addNote(`download ${result.end} after ${Math.round(result.latencyMs)} ms`);
      const stopped = context.cluster.daemons.find((each) => each.name === daemon);
      const exitCode = await Promise.race([
        new Promise((resolve) => stopped?.process.once("exit", resolve)),
        context.wait(EXIT_LIMIT_MS).then(() => "none"),
      ]);
      context.addNote(`exit code ${String(exitCode)}`);
      if (exitCode !== 0) {
        context.reportBrokenPromise("the process did not exit with code 0 in time");
      }
    },
  },
  {
    name: "two operators race, and a configuration in force everywhere",
    loadMs: 7000,
    allowsRefusals: true,
    run: async (context) => {
      const { cluster } = context;
      const drain = (server: string) =>
        cluster.runCommand("server", "drain", server, "--platform", cluster.platformUrl).then(
          () => true,
          () => false,
        );
      const startedAt = getMonotonicTimeMs();
      const accepted = await Promise.all([
        drain("desk-north-1"),
        drain("desk-south-1"),
        drain("desk-west-1"),
      ]);
      const expectedNumber = 1 + accepted.filter(Boolean).length;
      for (const daemon of cluster.daemons) {
        await cluster.waitFor(
          "configuration in force",
          daemon.name,
          (status) => status.configurationNumber === expectedNumber,
          ROLLOUT_LIMIT_MS,
        );
      }
      context.addNote(
        `${expectedNumber - 1} of 3 drains accepted; configuration in force at all daemons after ${getMonotonicTimeMs() - startedAt} ms`,
      );
    },
  },
  {
    name: "steady state",
    loadMs: 12_000,
    allowsRefusals: false,
    run: async (context) => {
      const before = await context.cluster.countPlatformCalls();
      await context.wait(10_000);
      const after = await context.cluster.countPlatformCalls();
      const perSecond = (first: number, last: number) => (last - first) / 10;
      const writes = perSecond(before.writes, after.writes);
      context.addNote(`platform: ${writes} writes/s, ${perSecond(before.reads, after.reads)} reads/s`);
      if (writes > 0) {
        context.reportBrokenPromise("the platform received writes in steady state");
      }
    },
  },
];

void main().then((code) => {
  process.exitCode = code;
});

async function main(): Promise<number> {
  const nameFilter = process.argv.slice(2).join(" ");
  let isBroken = false;
  for (const scenario of scenarios.filter((each) => each.name.includes(nameFilter))) {
    const result = await runSafely(scenario);
    isBroken ||= result.brokenPromises.length > 0;
    printResult(result);
  }
  return isBroken ? 1 : 0;
}

async function runSafely(scenario: Scenario): Promise<ScenarioResult> {
  try {
    return await runScenario(scenario);
  } catch (error) {
    const brokenPromises = [`scenario failed: ${String(error)}`];
    return {
      name: scenario.name,
      requests: 0,
      wholeCount: 0,
      refusalSummary: "",
      outageMs: 0,
      notes: [],
      brokenPromises,
    };
  }
}

function printResult(result: ScenarioResult): void {
  const state = result.brokenPromises.length === 0 ? "held  " : "BROKEN";
  const parts = [
    `${state} ${result.name}`,
    `${result.wholeCount} of ${result.requests} answered completely`,
    `outage ${result.outageMs} ms`,
    ...(result.refusalSummary === "" ? [] : [`refused ${result.refusalSummary}`]),
    ...result.notes,
    ...result.brokenPromises,
  ];
  process.stdout.write(`${parts.join("; ")}\n`);
}

/** Stops sending load to a daemon, as a load balancer does once its health check fails. */
function removeEntry(context: ScenarioContext, daemon: string): void {
  const address = context.cluster.daemons.find((each) => each.name === daemon)?.callerUrl;
  context.entryUrls = context.entryUrls.filter((entry) => entry !== address);
}

async function setPlatformDown(context: ScenarioContext, isDown: boolean): Promise<void> {
  for (const dataCentre of ["north", "south", "west"]) {
    await context.cluster.setPlatformFaults(dataCentre, { isDown });
  }
}

async function fetchSlotCounts(context: ScenarioContext): Promise<ReadonlyMap<string, number>> {
  const status = await context.cluster.fetchStatus(context.cluster.daemons[0]?.name ?? "");
  return new Map(status.servers.map((server) => [server.server, server.slots]));
}

function checkLastRun(context: ScenarioContext, servers: ReadonlySet<string>, since: number): void {
  const facts = readRecords(context.cluster.recordFile);
  const starts = facts.runs.filter((run) => servers.has(run.server)).map((run) => run.startedAt - since);
  const last = Math.max(...starts);
  context.addNote(`last new work after ${last} ms`);
  if (last > NEW_WORK_LIMIT_MS) {
    context.reportBrokenPromise(`new work still started after ${last} ms`);
  }
}

function getMonotonicTimeMs(): number {
  return Number(process.hrtime.bigint() / 1_000_000n);
}
