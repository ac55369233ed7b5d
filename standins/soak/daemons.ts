/** Daemons of a soak: the bundled program in separate processes, stopped, paused and killed by signals. */
import { type ChildProcess, spawn } from "node:child_process";
import { closeSync, mkdtempSync, openSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { request } from "undici";
import { WirePath } from "../../platform/wireNames";

const PROGRAM = "target/hemlockbank.cjs";
const HEAP_MB = 160;
const RESTART_DELAY_MS = 300;
const Port = { callers: 8000, readiness: 8001, peers: 7540 } as const;

/** A daemon of a soak. */
export interface SoakDaemon {
  readonly name: string;
  readonly dataCentre: string;
  readonly host: string;
  /** URL of the caller listener. */
  readonly url: string;
  /**
   * Returns whether the process is not paused and for `ms` had no start, exit, signal other than that of a
   * reload, or recorded disturbance.
   */
  isUndisturbedFor(ms: number): boolean;
  /** Returns whether the daemon was told to stop and has not started again. */
  isStopping(): boolean;
  /** The same as `isUndisturbedFor`, but neither the signals of a planned stop nor the exit after it count. */
  isOrderlyFor(ms: number): boolean;
  /** Returns the process identifier; undefined while no process runs. */
  getPid(): number | undefined;
  /** Returns the local time of the latest disturbance. */
  getDisturbedAt(): number;
  isReady(): Promise<boolean>;
  /** Records a disturbance from outside the process, such as a fault of its store endpoint. */
  recordDisturbance(): void;
  pause(): void;
  resume(): void;
  kill(): void;
  /** Requests a graceful shutdown; the process is started again after it has exited. */
  terminate(): void;
  /** Sends SIGHUP, on which the daemon checks its settings file; this does not count as a disturbance. */
  reload(): void;
  /** Kills the process and does not start it again; resolves when it has exited. */
  close(): Promise<void>;
}

/** Options for {@link startSoakDaemon}. */
export interface SoakDaemonOptions {
  readonly name: string;
  readonly dataCentre: string;
  readonly host: string;
  readonly storePort: number;
  /** Folder for the settings file and the log file. */
  readonly folder: string;
  /** Limits of the VM beside its processor; the settings omit them by default. */
  readonly limits?: { readonly memoryMb: number; readonly maxFds: number } | undefined;
}

/**
 * Creates a temporary folder for settings and logs.
 *
 * @returns Path of the folder.
 */
export function createSoakFolder(): string {
  return mkdtempSync(join(tmpdir(), "hemlockbank-soak-"));
}

/**
 * Starts a daemon. A process that exits is started again after a short delay.
 *
 * @param options - Name, data centre, addresses and folder.
 * @returns The daemon.
 */
export function startSoakDaemon(options: SoakDaemonOptions): SoakDaemon {
  const settingsFile = join(options.folder, `${options.name}.toml`);
  writeFileSync(settingsFile, createSettings(options, true));
  let disturbedAt = performance.now();
  let unplannedAt = disturbedAt;
  let isClosed = false;
  let isPaused = false;
  let isStopping = false;
  let child = startProcess();

  return {
    name: options.name,
    dataCentre: options.dataCentre,
    host: options.host,
    url: `http://${options.host}:${Port.callers}`,
    isUndisturbedFor: (ms) => !isPaused && performance.now() - disturbedAt >= ms,
    isStopping: () => isStopping,
    isOrderlyFor: (ms) => !isPaused && performance.now() - unplannedAt >= ms,
    getPid: () => (child.exitCode === null && child.signalCode === null ? child.pid : undefined),
    getDisturbedAt: () => (isPaused ? performance.now() : disturbedAt),
    isReady: async () => {
      try {
        const url = `http://${options.host}:${Port.readiness}${WirePath.Ready}`;
        const answer = await request(url, { headersTimeout: 500, bodyTimeout: 500 });
        await answer.body.dump();
        return answer.statusCode === 200;
      } catch {
        return false;
      }
    },
    recordDisturbance,
    pause: () => {
      isPaused = true;
      signal("SIGSTOP");
    },
    resume: () => {
      isPaused = false;
      signal("SIGCONT");
    },
    kill: () => {
      signal("SIGKILL");
    },
    terminate: () => {
      isStopping = true;
      disturbedAt = performance.now();
      child.kill("SIGTERM");
    },
    reload: () => {
      child.kill("SIGHUP");
    },
    close: () => {
      isClosed = true;
      const ended = new Promise<void>((resolve) => {
        if (child.exitCode !== null || child.signalCode !== null) {
          resolve();
        }
        child.once("exit", () => {
          resolve();
        });
      });
      child.kill("SIGKILL");
      return ended;
    },
  };

  function recordDisturbance(): void {
    disturbedAt = performance.now();
    unplannedAt = disturbedAt;
  }

  function signal(name: NodeJS.Signals): void {
    recordDisturbance();
    child.kill(name);
  }

  function startProcess(): ChildProcess {
    const log = openSync(join(options.folder, `${options.name}.log`), "a");
    const started = spawn(process.execPath, [`--max-old-space-size=${HEAP_MB}`, PROGRAM], {
      env: { PATH: process.env.PATH, HEMLOCKBANK_SETTINGS: settingsFile },
      stdio: ["ignore", log, log],
    });
    closeSync(log);
    started.once("exit", (code) => {
      disturbedAt = performance.now();
      unplannedAt = isStopping && code === 0 ? unplannedAt : disturbedAt;
      if (!isClosed) {
        setTimeout(() => {
          disturbedAt = performance.now();
          isStopping = false;
          writeFileSync(settingsFile, createSettings(options, false));
          child = isClosed ? child : startProcess();
        }, RESTART_DELAY_MS);
      }
    });
    return started;
  }
}

function createSettings(
  { name, dataCentre, host, storePort, limits }: SoakDaemonOptions,
  isFirstStart: boolean,
): string {
  const vmLimits = Object.entries(limits ?? {}).map(([limit, value]) => `${limit} = ${value}\n`);
  return `
[self]
bootstrap = ${isFirstStart}
nodeName = "${name}"
zone = "${dataCentre}"
ip = "${host}"
[self.limits]
cpuShare = 0.5
cpus = 1
${vmLimits.join("")}[network]
portRange = [${Port.peers}, ${Port.peers + 15}]
[network.listen]
http = "${host}:${Port.callers}"
readiness = "${host}:${Port.readiness}"
[provider.provider]
address = "127.0.0.1:${storePort}"
writesPerS = 400
readsPerS = 2000
[terms.bounds]
drainS = 2
graceS = 6
retryRatio = 0.2
retryWindowS = 10
retrySlack = 64
holdMaxS = 10
`;
}
