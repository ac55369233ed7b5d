/** Runs one failure scenario against real processes under load and checks the promises. */
import type { CallerResult, Callers } from "./callers";
import { createCallers, createRandom } from "./callers";
import { type Cluster, type ClusterOptions, type ServerOptions, startCluster } from "./cluster";
import { groupBy } from "./groupBy";
import { measureOutage } from "./outage";
import { type RecordedFacts, readRecords } from "./records";

const KEY_COUNT = 400;
const WARM_UP_MS = 1500;

/** The deployment and the callers of a scenario, and the functions with which it reports its findings. */
export interface ScenarioContext {
  readonly cluster: Cluster;
  readonly callers: Callers;
  /** Marks the start of the failure, from which the outage is measured. */
  markFailure(): void;
  wait(ms: number): Promise<void>;
  /** Adds a note to the result. */
  addNote(text: string): void;
  /** Adds a broken promise to the result. */
  reportBrokenPromise(text: string): void;
  /** Fetches the name of a backend server's leaseholder; empty without one. */
  fetchLeaseholder(server: string): Promise<string>;
  /** Caller URLs of the daemons that receive load; a scenario removes those of daemons that it stops. */
  entryUrls: string[];
}

/** A failure scenario. */
export interface Scenario {
  readonly name: string;
  /** How long load is sent. */
  readonly loadMs: number;
  readonly clusterOptions?: Partial<ClusterOptions>;
  /** Requests per second. */
  readonly rate?: number;
  /** Longest allowed outage in milliseconds; when undefined, the outage is only reported. */
  readonly outageLimitMs?: number;
  /** Whether requests may be refused; when false, each refusal breaks a promise. */
  readonly allowsRefusals: boolean;
  run(context: ScenarioContext): Promise<void>;
}

/** Result of a scenario. */
export interface ScenarioResult {
  readonly name: string;
  readonly requests: number;
  readonly wholeCount: number;
  readonly refusalSummary: string;
  readonly outageMs: number;
  readonly notes: readonly string[];
  readonly brokenPromises: readonly string[];
}

const dataCentres = ["north", "south", "west"];

/** Deployment of a scenario, unless the scenario overrides parts of it. */
export const defaultClusterOptions: ClusterOptions = {
  dataCentres,
  daemonsPerDataCentre: 2,
  services: {
    desk: { divided_by_key: true, slot_count: 256, cold_start_ramp: "300ms", request_timeout: "8s" },
    open: { divided_by_key: true, slot_count: 64, cold_start_ramp: "300ms", request_timeout: "3s" },
  },
  servers: dataCentres.flatMap((dataCentre) => [
    createServerOptions(`desk-${dataCentre}-1`, "desk", dataCentre, true),
    createServerOptions(`desk-${dataCentre}-2`, "desk", dataCentre, true),
    createServerOptions(`open-${dataCentre}`, "open", dataCentre, false),
  ]),
};

function createServerOptions(
  name: string,
  service: string,
  dataCentre: string,
  isFenced: boolean,
): ServerOptions {
  return { name, service, dataCentre, isFenced, slots: 4 };
}

/**
 * Runs a scenario on a deployment of its own.
 *
 * @param scenario - The scenario.
 * @returns Numbers of requests and answers, the outage and the broken promises.
 */
export async function runScenario(scenario: Scenario): Promise<ScenarioResult> {
  const cluster = await startCluster({ ...defaultClusterOptions, ...scenario.clusterOptions });
  const callers = createCallers();
  const notes: string[] = [];
  const brokenPromises: string[] = [];
  let failedAt = Number.POSITIVE_INFINITY;
  const context: ScenarioContext = {
    cluster,
    callers,
    markFailure: () => {
      failedAt = performance.now();
    },
    wait: (ms) => new Promise((resolve) => setTimeout(resolve, ms)),
    addNote: (text) => {
      notes.push(text);
    },
    reportBrokenPromise: (text) => {
      brokenPromises.push(text);
    },
    fetchLeaseholder: async (server) => {
      const status = await cluster.fetchStatus(cluster.daemons[0]?.name ?? "");
      return status.servers.find((entry) => entry.server === server)?.leaseholder ?? "";
    },
    entryUrls: cluster.daemons.map((daemon) => daemon.callerUrl),
  };
  try {
    const load = sendLoad(context, scenario);
    await context.wait(WARM_UP_MS);
    await scenario.run(context);
    await load;
    await context.wait(300);
    return evaluate(
      scenario,
      callers.getResults(),
      readRecords(cluster.recordFile),
      failedAt,
      notes,
      brokenPromises,
    );
  } finally {
    await callers.close();
    await cluster.stop();
  }
}

/** Sends a mix of GET and POST requests for keys of a fenced and of an unfenced service. */
async function sendLoad(context: ScenarioContext, scenario: Scenario): Promise<void> {
  const random = createRandom(11);
  await context.callers.send(scenario.rate ?? 150, scenario.loadMs, (index) => {
    const entry = context.entryUrls[index % context.entryUrls.length] ?? "";
    const callerId = `c${index}`;
    const service = index % 5 === 0 ? "open" : "desk";
    const key = `${service}-${Math.floor(random() * KEY_COUNT)}`;
    const method = index % 3 === 0 ? "POST" : "GET";
    return { url: `${entry}/${service}/${key}/status?caller=${callerId}`, method, callerId };
  });
}

function evaluate(
  scenario: Scenario,
  results: readonly CallerResult[],
  facts: RecordedFacts,
  failedAt: number,
  notes: readonly string[],
  brokenPromises: readonly string[],
): ScenarioResult {
  const whole = results.filter((result) => result.end === "whole");
  const refused = results.filter((result) => result.end !== "whole");
  const outageMs = measureOutage(results, () => true, { from: failedAt, until: Number.POSITIVE_INFINITY });
  const started = new Set(facts.runs.map((run) => run.callerId));
  const counts: readonly (readonly [string, number])[] = [
    ["run twice", facts.repeatedRequests.length],
    ["two owners at once", facts.ownershipConflicts.length],
    ["called not run, but ran", refused.filter((each) => isFalselyNotRun(each, started)).length],
    ["answered, but not run", whole.filter((each) => !started.has(each.callerId)).length],
    ["wrong content", results.filter((each) => each.end === "wrong content").length],
    ["refused", scenario.allowsRefusals ? 0 : refused.length],
  ];
  const isLate = scenario.outageLimitMs !== undefined && outageMs > scenario.outageLimitMs;
  return {
    name: scenario.name,
    requests: results.length,
    wholeCount: whole.length,
    refusalSummary: summariseRefusals(refused),
    outageMs,
    notes: [...notes, `overloads ${facts.overloads}`],
    brokenPromises: [
      ...brokenPromises,
      ...counts.filter(([, count]) => count > 0).map(([what, count]) => `${what}: ${count}`),
      ...(isLate ? [`outage ${outageMs} ms exceeds the limit of ${scenario.outageLimitMs ?? 0} ms`] : []),
    ],
  };
}

function isFalselyNotRun(result: CallerResult, started: ReadonlySet<string>): boolean {
  return result.outcome === "not-run" && started.has(result.callerId);
}

function summariseRefusals(refused: readonly CallerResult[]): string {
  const groups = groupBy(refused, (result) => `${result.end} (${result.outcome})`);
  return [...groups].map(([reason, group]) => `${group.length} ${reason}`).join(", ");
}
