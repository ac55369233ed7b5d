/** Runs a complete deployment as separate processes on loopback, and injects faults into it. */
import { type ChildProcess, execFile, spawn } from "node:child_process";
import { appendFileSync, mkdirSync, mkdtempSync, openSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { promisify } from "node:util";
import { stringify } from "smol-toml";
import { request } from "undici";
import type { DaemonStatus } from "../../src/daemon";
import { getMonotonicTimeMs } from "../backendServer/backendServer";
import { HOST, findFreePort } from "./ports";

const EXECUTABLE = "dist/hemlockbank";
const START_TIMEOUT_MS = 20_000;
const POLL_INTERVAL_MS = 20;
const runFile = promisify(execFile);

/** A backend server to start. */
export interface ServerOptions {
  readonly name: string;
  readonly service: string;
  readonly dataCentre: string;
  readonly isFenced: boolean;
  readonly slots: number;
  readonly workMs?: number;
  readonly coldMs?: number;
}

/** Options for {@link startCluster}. */
export interface ClusterOptions {
  readonly dataCentres: readonly string[];
  readonly daemonsPerDataCentre: number;
  /** Services by name, in the form of the configuration file. */
  readonly services: Readonly<Record<string, object>>;
  readonly servers: readonly ServerOptions[];
  /** Time until a change shows in the platform's VM list. */
  readonly vmListLagMs?: number;
}

/** A daemon of the deployment and its process. */
export interface DaemonProcess {
  readonly name: string;
  readonly dataCentre: string;
  readonly callerUrl: string;
  readonly adminAddress: string;
  readonly peerPort: number;
  readonly settingsFile: string;
  process: ChildProcess;
}

/** A backend server of the deployment and its process. */
export interface ServerProcess extends ServerOptions {
  readonly port: number;
  process: ChildProcess;
}

/** A running deployment. */
export interface Cluster {
  readonly daemons: readonly DaemonProcess[];
  readonly servers: readonly ServerProcess[];
  readonly recordFile: string;
  readonly platformUrl: string;
  /** Kills a backend server and records the time, at which all its runs end. */
  killServer(name: string): void;
  /** Starts a killed backend server again on its port, cold and without grants. */
  restartServer(name: string): Promise<void>;
  /** Sends a signal to a daemon. */
  signalDaemon(name: string, signal: NodeJS.Signals): void;
  /** Starts a daemon again whose process has ended. */
  restartDaemon(name: string): void;
  /** Sends a signal to a backend server. */
  signalServer(name: string, signal: NodeJS.Signals): void;
  /** Calls a control path of a backend server, for example to change its behaviour. */
  controlServer(name: string, path: string, body: object): Promise<void>;
  /** Sets the faults of the platform endpoint that one data centre's daemons use. */
  setPlatformFaults(dataCentre: string, faults: object): Promise<void>;
  /** Fetches the numbers of calls that the platform has received since its start. */
  countPlatformCalls(): Promise<{ reads: number; writes: number; watches: number; refused: number }>;
  /** Changes the platform's VM list, in which all VMs are live at first. */
  updateVms(change: (vms: VmEntry[]) => VmEntry[]): Promise<void>;
  /** Runs a hemlockbank command; resolves with its standard output. */
  runCommand(...args: readonly string[]): Promise<string>;
  /** Fetches the status that a daemon reports. */
  fetchStatus(daemon: string): Promise<DaemonStatus>;
  /** Waits until a daemon's status meets a condition; resolves with the time waited in milliseconds. */
  waitFor(
    description: string,
    daemon: string,
    isMet: (status: DaemonStatus) => boolean,
    timeoutMs?: number,
  ): Promise<number>;
  /** Kills all processes and, unless `KEEP_RECORDS` is set, deletes settings, records and logs. */
  stop(): Promise<void>;
}

/** A VM in the platform's list. */
export interface VmEntry {
  readonly host: string;
  readonly port: number;
  readonly dataCentre: string;
  readonly state: "live" | "leaving";
}

/**
 * Starts a deployment and waits until every daemon is ready and sees all daemons and all backend servers up.
 *
 * @param options - Data centres, daemons, services and backend servers.
 * @returns The running deployment.
 */
export async function startCluster(options: ClusterOptions): Promise<Cluster> {
  const folder = mkdtempSync(join(tmpdir(), "hemlockbank-"));
  mkdirSync(folder, { recursive: true });
  const recordFile = join(folder, "records.jsonl");
  writeFileSync(recordFile, "");
  const output = openSync(join(folder, "output.log"), "a");
  const children = new Set<ChildProcess>();
  const platformPorts = await Promise.all([...options.dataCentres, "operators"].map(() => findFreePort()));
  const platformUrl = `http://${HOST}:${platformPorts[platformPorts.length - 1] ?? 0}`;
  startScript(
    "platform",
    "--ports",
    platformPorts.join(","),
    "--vm-list-lag",
    String(options.vmListLagMs ?? 2000),
  );
  const servers = await Promise.all(options.servers.map(startServer));
  const daemons = await prepareDaemons();
  for (const daemon of daemons) {
    daemon.process = startDaemon(daemon);
  }
  let vms: VmEntry[] = [
    ...daemons.map((daemon) => createVmEntry(daemon.peerPort, daemon.dataCentre)),
    ...servers.map((server) => createVmEntry(server.port, server.dataCentre)),
  ];
  await retryUntilStarted("platform", () => sendJson(`${platformUrl}/control/vms`, vms));
  await applyConfiguration();

  const cluster: Cluster = {
    daemons,
    servers,
    recordFile,
    platformUrl,
    killServer: (name) => {
      findServer(name).process.kill("SIGKILL");
      appendFileSync(
        recordFile,
        `${JSON.stringify({ kind: "killed", server: name, at: getMonotonicTimeMs() })}\n`,
      );
    },
    restartServer: async (name) => {
      const server = findServer(name);
      server.process = startServerProcess(server, server.port);
      await Promise.resolve();
    },
    signalDaemon: (name, signal) => {
      findDaemon(name).process.kill(signal);
    },
    restartDaemon: (name) => {
      const daemon = findDaemon(name);
      daemon.process = startDaemon(daemon);
    },
    signalServer: (name, signal) => {
      findServer(name).process.kill(signal);
    },
    controlServer: (name, path, body) =>
      sendJson(`http://${HOST}:${findServer(name).port}/control/${path}`, body),
    setPlatformFaults: (dataCentre, faults) => {
      const entrance = options.dataCentres.indexOf(dataCentre);
      return sendJson(`${platformUrl}/control/faults`, { entrance, ...faults });
    },
    countPlatformCalls: async () => {
      const response = await request(`${platformUrl}/control/calls`, { method: "POST", body: "{}" });
      return (await response.body.json()) as {
        reads: number;
        writes: number;
        watches: number;
        refused: number;
      };
    },
    updateVms: (change) => {
      vms = change(vms);
      return sendJson(`${platformUrl}/control/vms`, vms);
    },
    runCommand: async (...args) => (await runFile(EXECUTABLE, [...args])).stdout,
    fetchStatus,
    waitFor,
    stop: async () => {
      for (const child of children) {
        child.kill("SIGCONT");
        child.kill("SIGKILL");
      }
      await Promise.all([...children].map(waitForExit));
      if (process.env.KEEP_RECORDS === undefined) {
        rmSync(folder, { recursive: true, force: true });
      }
    },
  };
  try {
    await waitUntilReady(cluster);
  } catch (error) {
    await cluster.stop();
    throw error;
  }
  return cluster;

  function startScript(name: string, ...args: readonly string[]): ChildProcess {
    return track(
      spawn(process.execPath, [`build/${name}.cjs`, ...args], { stdio: ["ignore", output, output] }),
    );
  }

  function startDaemon(daemon: DaemonProcess): ChildProcess {
    const args = ["daemon", "--settings", daemon.settingsFile];
    return track(spawn(EXECUTABLE, args, { stdio: ["ignore", output, output] }));
  }

  function track(child: ChildProcess): ChildProcess {
    children.add(child);
    return child;
  }

  async function startServer(server: ServerOptions): Promise<ServerProcess> {
    const port = await findFreePort();
    return { ...server, port, process: startServerProcess(server, port) };
  }

  function startServerProcess(server: ServerOptions, port: number): ChildProcess {
    return startScript(
      "backendServer",
      ...["--name", server.name, "--port", String(port), "--record", recordFile],
      ...[
        "--slots",
        String(server.slots),
        "--work",
        String(server.workMs ?? 2),
        "--cold",
        String(server.coldMs ?? 300),
      ],
      ...(server.isFenced ? ["--fenced"] : []),
    );
  }

  async function prepareDaemons(): Promise<DaemonProcess[]> {
    const names = options.dataCentres.flatMap((dataCentre, endpoint) =>
      Array.from({ length: options.daemonsPerDataCentre }, (_unused, index) => ({
        name: `${dataCentre}-d${index + 1}`,
        dataCentre,
        endpoint,
      })),
    );
    const planned = await Promise.all(
      names.map(async (each) => ({
        ...each,
        callerPort: await findFreePort(),
        peerPort: await findFreePort(),
        adminPort: await findFreePort(),
      })),
    );
    const seeds = planned.map((each) => ({
      daemon: each.name,
      data_centre: each.dataCentre,
      host: HOST,
      port: each.peerPort,
    }));
    return planned.map((each) => {
      const settingsFile = join(folder, `${each.name}.toml`);
      const settings = {
        cluster: "demo",
        daemon: each.name,
        data_centre: each.dataCentre,
        platform: { url: `http://${HOST}:${platformPorts[each.endpoint] ?? 0}` },
        callers: { host: HOST, port: each.callerPort },
        peers: { host: HOST, port: each.peerPort },
        admin: { host: HOST, port: each.adminPort },
        seeds,
      };
      writeFileSync(settingsFile, stringify(settings));
      return {
        name: each.name,
        dataCentre: each.dataCentre,
        callerUrl: `http://${HOST}:${each.callerPort}`,
        adminAddress: `${HOST}:${each.adminPort}`,
        peerPort: each.peerPort,
        settingsFile,
        process: undefined as unknown as ChildProcess,
      };
    });
  }

  async function applyConfiguration(): Promise<void> {
    const file = join(folder, "configuration.toml");
    const configuration = {
      data_centres: Object.fromEntries(options.dataCentres.map((name) => [name, { state: "in" }])),
      services: options.services,
      servers: Object.fromEntries(
        servers.map((server) => [
          server.name,
          {
            service: server.service,
            data_centre: server.dataCentre,
            host: HOST,
            port: server.port,
            slots: server.slots,
            fenced: server.isFenced,
          },
        ]),
      ),
    };
    writeFileSync(file, stringify(configuration));
    await runFile(EXECUTABLE, ["config", "apply", file, "--platform", platformUrl]);
  }

  async function waitUntilReady(target: Cluster): Promise<void> {
    for (const daemon of daemons) {
      await target.waitFor("all backend servers and daemons up", daemon.name, (status) => {
        const up = status.servers.filter((server) => server.state === "up" || server.state === "cold");
        return status.ready && up.length === servers.length && status.members.length === daemons.length;
      });
    }
  }

  async function waitFor(
    description: string,
    daemon: string,
    isMet: (status: DaemonStatus) => boolean,
    timeoutMs: number = START_TIMEOUT_MS,
  ): Promise<number> {
    const startedAt = getMonotonicTimeMs();
    for (;;) {
      const status = await fetchStatus(daemon).catch(() => undefined);
      if (status !== undefined && isMet(status)) {
        return getMonotonicTimeMs() - startedAt;
      }
      if (getMonotonicTimeMs() - startedAt > timeoutMs) {
        throw new Error(
          `daemon ${daemon}: condition "${description}" not met within ${timeoutMs} ms; last status: ${JSON.stringify(status)}`,
        );
      }
      await new Promise((resolve) => setTimeout(resolve, POLL_INTERVAL_MS));
    }
  }

  async function fetchStatus(daemon: string): Promise<DaemonStatus> {
    const response = await request(`http://${findDaemon(daemon).adminAddress}/status`, {
      signal: AbortSignal.timeout(2000),
    });
    return (await response.body.json()) as DaemonStatus;
  }

  function findDaemon(name: string): DaemonProcess {
    return assertFound(
      daemons.find((daemon) => daemon.name === name),
      name,
    );
  }

  function findServer(name: string): ServerProcess {
    return assertFound(
      servers.find((server) => server.name === name),
      name,
    );
  }
}

function assertFound<Item>(item: Item | undefined, name: string): Item {
  if (item === undefined) {
    throw new Error(`there is no process named ${name}`);
  }
  return item;
}

function createVmEntry(port: number, dataCentre: string): VmEntry {
  return { host: HOST, port, dataCentre, state: "live" };
}

function waitForExit(child: ChildProcess): Promise<void> {
  return new Promise((resolve) => {
    if (child.exitCode !== null || child.signalCode !== null) {
      resolve();
      return;
    }
    child.once("exit", () => {
      resolve();
    });
  });
}

async function sendJson(url: string, body: object): Promise<void> {
  const response = await request(url, { method: "POST", body: JSON.stringify(body) });
  await response.body.dump();
}

async function retryUntilStarted(name: string, call: () => Promise<void>): Promise<void> {
  const startedAt = getMonotonicTimeMs();
  for (;;) {
    try {
      await call();
      return;
    } catch (error) {
      if (getMonotonicTimeMs() - startedAt > START_TIMEOUT_MS) {
        throw new Error(`${name} did not answer within ${START_TIMEOUT_MS} ms`, { cause: error });
      }
      await new Promise((resolve) => setTimeout(resolve, POLL_INTERVAL_MS));
    }
  }
}
