/** A small deployment: the store, a configuration, targets and daemons. Ends everything that it started. */
import { writeFileSync } from "node:fs";
import { rm } from "node:fs/promises";
import { createFolder, findHosts, startDaemon, waitUntilReady } from "./daemons.mjs";
import { startStore } from "./store.mjs";
import { startTarget } from "./targets.mjs";

export const HOST = "desk.example";
const ZONES = ["tw-north-a", "tw-north-b"];

/** Sleeps for some milliseconds. */
export function sleep(ms) {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

/**
 * Starts a deployment with one route for each service, and waits until its daemons are ready.
 *
 * @param options - `daemons` (their number), `services` (name, kind, targets, timeoutS and options of the targets), and
 *   `connectStore`, which may return the port of a proxy in front of the store for each daemon.
 */
export async function startDeployment({ daemons: daemonCount, services, connectStore }) {
  const runs = [];
  const store = await startStore();
  const folder = createFolder();
  store.put("config", "main", createConfiguration(services));
  const targets = [];
  for (const { name, targets: count, target } of services) {
    for (let index = 0; index < count; index += 1) {
      targets.push(
        await startTarget({
          store,
          id: `i-${name}-${index}`,
          service: name,
          zone: ZONES[index % ZONES.length],
          onRun: (run) => runs.push(run),
          ...target,
        }),
      );
    }
  }
  const hosts = await findHosts(daemonCount);
  const started = [];
  const start = async (index, bootstrap) => {
    const storePort = connectStore === undefined ? store.port : await connectStore(store.port);
    const zone = ZONES[index % ZONES.length];
    const daemon = startDaemon({
      name: `edge-${zone}-${index}`,
      zone,
      host: hosts[index],
      storePort,
      folder,
      bootstrap,
    });
    started.push(daemon);
    return daemon;
  };
  const daemons = [];
  const close = async () => {
    started.filter((daemon) => daemon.isRunning()).forEach((daemon) => daemon.signal("SIGKILL"));
    await Promise.all(started.map((daemon) => daemon.exited));
    targets.forEach((target) => target.stop());
    store.close();
    await rm(folder, { recursive: true, force: true });
  };
  try {
    for (let index = 0; index < daemonCount; index += 1) {
      daemons.push(await start(index, true));
    }
    await waitUntilReady(daemons);
  } catch (error) {
    await close();
    throw error;
  }
  return { store, targets, daemons, runs, folder, restart: (index) => start(index, false), close };
}

function createConfiguration(services) {
  const routes = services.map(({ name, kind, timeoutS = 2, attempts = 2 }) => ({
    type: "routes",
    metadata: { name: `r-${name}` },
    spec: {
      host: HOST,
      pathPrefix: `/${name}/`,
      kind,
      timeoutS,
      aimS: timeoutS / 2,
      priority: 1,
      service: name,
      attempts,
    },
  }));
  const policies = services.map(({ name }) => ({
    type: "services",
    metadata: { name },
    spec: {
      healthPath: "/healthz",
      maxConns: 130,
      protocol: "h1",
      tls: false,
      warmupS: 3,
      warmupPerS: 13,
    },
  }));
  const limits = {
    type: "limits",
    metadata: {},
    spec: { maxHeaderBytes: 16384, maxBodyBytes: 67108864, headerTimeoutS: 3, idleTimeoutS: 15 },
  };
  return { version: "00000007", resources: [...routes, ...policies, limits] };
}

/**
 * Runs a case: writes the record, prints the verdict and exits with 1 if the rule was broken, 0 if it held and 2 if the
 * case could not run.
 *
 * @param record - Path of the record.
 * @param play - Plays the case and returns `{ broken, verdict, lines }`.
 */
export async function runCase(record, play) {
  const isTroubled = process.env.TROUBLE !== "0";
  let code = 2;
  try {
    const { broken, verdict, lines } = await play(isTroubled);
    writeFileSync(record, `${lines.join("\n")}\n${verdict}\n`);
    console.log(verdict);
    code = broken ? 1 : 0;
  } catch (error) {
    console.error(`the case could not run: ${error instanceof Error ? error.stack : String(error)}`);
  }
  process.exit(code);
}
