/**
 * An in-memory backend server with the stand-in's grant table. Tests can freeze and restart it, and it
 * records the runs of its requests.
 */
import { ServerUnreachableError } from "../../src/errors";
import type { ServerControl } from "../../src/ownership";
import { type GrantTable, createGrantTable } from "../../standins/backendServer/grantTable";
import { type FakeClock, type ProcessClock, createProcessClock } from "./fakeClock";

const CONTROL_TIMEOUT_MS = 300;

/** Record of one run of a request. */
export interface FakeRun {
  readonly server: string;
  readonly slot: number;
  readonly requestId: number;
  readonly startedAt: number;
  /** Infinity while the request runs. */
  endedAt: number;
}

/** A request: the slot of its key, the epoch and generation it is sent with, and how long it runs. */
export interface FakeRequest {
  readonly slot: number;
  readonly epoch: number;
  readonly generation: number;
  readonly requestId: number;
  readonly workMs: number;
}

/** An in-memory backend server. */
export interface FakeServer {
  readonly name: string;
  readonly isFenced: boolean;
  /** Daemons that cannot reach the server. */
  readonly unreachableFrom: Set<string>;
  /** Creates a daemon's control connection to the server; `clock` is the clock of the daemon's process. */
  createControl(daemon: string, clock: ProcessClock): ServerControl;
  /** Sends a request. The promise resolves with the server's answer, or never when there is none. */
  send(daemon: string, request: FakeRequest): Promise<"done" | "refused">;
  /** Pauses the process: it accepts calls and requests, but executes none of them until `thaw`. */
  freeze(): void;
  thaw(): void;
  kill(): void;
  /** Starts a killed server as a new process without grants. */
  start(): void;
  setDraining(isDraining: boolean): void;
  /** All runs so far, including those still in progress. */
  readonly runs: readonly FakeRun[];
  isRunning(): boolean;
  /** Number of requests that run now, and the highest such number so far. */
  readonly counts: { running: number; maxRunning: number };
}

/**
 * Creates a running server.
 *
 * @param name - Name of the server.
 * @param isFenced - Whether the server checks the grant of a request before it runs it.
 * @param machineClock - Clock of the machine that the server runs on.
 * @returns The server.
 */
export function createFakeServer(name: string, isFenced: boolean, machineClock: FakeClock): FakeServer {
  const runs: FakeRun[] = [];
  const unreachableFrom = new Set<string>();
  const counts = { running: 0, maxRunning: 0 };
  let processClock: ProcessClock = createProcessClock(machineClock);
  let grants: GrantTable = createGrantTable(() => machineClock.now());
  let bootNumber = 1;
  let isAlive = true;
  let isDraining = false;

  return {
    name,
    isFenced,
    unreachableFrom,
    runs,
    counts,
    isRunning: () => isAlive,
    createControl,
    send,
    freeze: () => {
      processClock.pause();
    },
    thaw: () => {
      processClock.resume();
    },
    kill: () => {
      isAlive = false;
      processClock.stop();
      counts.running = 0;
      for (const run of runs) {
        run.endedAt = Math.min(run.endedAt, machineClock.now());
      }
    },
    start: () => {
      isAlive = true;
      bootNumber += 1;
      processClock = createProcessClock(machineClock);
      grants = createGrantTable(() => machineClock.now());
    },
    setDraining: (value) => {
      isDraining = value;
    },
  };

  function createControl(daemon: string, clock: ProcessClock): ServerControl {
    return {
      lease: (call) =>
        callControl(daemon, clock, () => {
          const answer = grants.apply(call, getBootId());
          const running = new Set(
            runs.filter((run) => run.endedAt === Number.POSITIVE_INFINITY).map((run) => run.slot),
          );
          return answer.kind === "fenced"
            ? answer
            : {
                ...answer,
                report: createReport(),
                stillRunning: call.revoke.filter((slot) => running.has(slot)),
              };
        }),
      health: () => callControl(daemon, clock, createReport),
      refusesConnections: () => Promise.resolve(!isAlive && !unreachableFrom.has(daemon)),
      close: () => undefined,
    };
  }

  /**
   * Makes a control call. A call to a frozen server is executed when the server thaws, even if the caller has
   * timed out long before.
   */
  function callControl<Value>(daemon: string, clock: ProcessClock, execute: () => Value): Promise<Value> {
    return new Promise((resolve, reject) => {
      const fail = () => {
        reject(new ServerUnreachableError("no answer", { props: { step: "control", peer: name } }));
      };
      if (!isAlive) {
        fail();
        return;
      }
      const cancel = clock.schedule(CONTROL_TIMEOUT_MS, fail);
      if (unreachableFrom.has(daemon)) {
        return;
      }
      void processClock.waitUntilRunning().then(async () => {
        const value = execute();
        await clock.waitUntilRunning();
        cancel();
        resolve(value);
      });
    });
  }

  function createReport() {
    return {
      bootId: getBootId(),
      clockMs: machineClock.now(),
      running: counts.running,
      isCold: false,
      isDraining,
    };
  }

  function getBootId(): string {
    return `${name}/${bootNumber}`;
  }

  async function send(daemon: string, request: FakeRequest): Promise<"done" | "refused"> {
    if (!isAlive || unreachableFrom.has(daemon)) {
      return new Promise(() => undefined);
    }
    const receivingProcess = processClock;
    await receivingProcess.waitUntilRunning();
    if (isFenced && !grants.canStart(request.slot, request.epoch, request.generation)) {
      return "refused";
    }
    return executeRequest(request, receivingProcess);
  }

  async function executeRequest(request: FakeRequest, receivingProcess: ProcessClock): Promise<"done"> {
    const { slot, requestId } = request;
    const record = {
      server: name,
      slot,
      requestId,
      startedAt: machineClock.now(),
      endedAt: Number.POSITIVE_INFINITY,
    };
    const lapsesAtStart = grants.countLapses();
    runs.push(record);
    counts.running += 1;
    counts.maxRunning = Math.max(counts.maxRunning, counts.running);
    await new Promise<void>((resolve) => {
      receivingProcess.schedule(request.workMs, resolve);
    });
    counts.running -= 1;
    // A run during which the lease lapsed must not take effect: it ends with the lease and gets no answer.
    const hasLapsed = isFenced && grants.countLapses() !== lapsesAtStart;
    record.endedAt = hasLapsed ? Math.min(machineClock.now(), grants.getLastLapseAt()) : machineClock.now();
    return hasLapsed ? new Promise(() => undefined) : "done";
  }
}

/**
 * Finds pairs of runs for the same slot that overlap in time at two servers.
 *
 * @param servers - All servers.
 * @returns One description for each pair; empty when there is none.
 */
export function findOwnershipConflicts(servers: readonly FakeServer[]): readonly string[] {
  const runs = servers.flatMap((server) => server.runs);
  return runs.flatMap((run) =>
    runs
      .filter((other) => other.slot === run.slot && other.server > run.server)
      .filter((other) => other.startedAt < run.endedAt && run.startedAt < other.endedAt)
      .map((other) => `slot ${run.slot}: ${describeRun(run)} and ${describeRun(other)}`),
  );
}

function describeRun(run: FakeRun): string {
  return `${run.server} from ${run.startedAt} to ${run.endedAt}`;
}
