/** A backend server in memory with the stand-in's grant table: freezes, restarts and keeps its own record. */
import { ServerUnreachableError } from "../../src/errors";
import type { ServerControl } from "../../src/ownership";
import { type GrantTable, createGrantTable } from "../../standins/backendServer/grantTable";
import { type FakeClock, type ProcessClock, createProcessClock } from "./fakeClock";

const CONTROL_TIMEOUT_MS = 300;

/** One run in the server's record. */
export interface FakeRun {
  readonly server: string;
  readonly slot: number;
  readonly requestId: number;
  readonly startedAt: number;
  /** Infinity while it runs. */
  endedAt: number;
}

/** Marks of a request. */
export interface FakeRequest {
  readonly slot: number;
  readonly epoch: number;
  readonly generation: number;
  readonly requestId: number;
  readonly workMs: number;
}

/** A server in memory. */
export interface FakeServer {
  readonly name: string;
  readonly isFenced: boolean;
  /** Daemons that cannot reach the server. */
  readonly cutFrom: Set<string>;
  /** Control calls as a daemon makes them. */
  controlFor(daemon: string, clock: ProcessClock): ServerControl;
  /** Delivers a request; the promise ends with the server's answer, or never. */
  send(daemon: string, request: FakeRequest): Promise<"done" | "refused">;
  freeze(): void;
  thaw(): void;
  kill(): void;
  /** Starts a killed server: cold, without grants. */
  start(): void;
  setDraining(isDraining: boolean): void;
  readonly runs: readonly FakeRun[];
  isRunning(): boolean;
  readonly counts: { running: number; mostRunning: number };
}

/**
 * Creates a running server.
 *
 * @param name - Its name.
 * @param isFenced - Whether it checks grants.
 * @param machine - The machine's clock.
 * @returns The server.
 */
export function createFakeServer(name: string, isFenced: boolean, machine: FakeClock): FakeServer {
  const runs: FakeRun[] = [];
  const cutFrom = new Set<string>();
  const counts = { running: 0, mostRunning: 0 };
  let process: ProcessClock = createProcessClock(machine);
  let grants: GrantTable = createGrantTable(() => machine.now());
  let boot = 1;
  let isAlive = true;
  let isDraining = false;

  return {
    name,
    isFenced,
    cutFrom,
    runs,
    counts,
    isRunning: () => isAlive,
    controlFor,
    send,
    freeze: () => {
      process.pause();
    },
    thaw: () => {
      process.resume();
    },
    kill: () => {
      isAlive = false;
      process.stop();
      counts.running = 0;
      for (const run of runs) {
        run.endedAt = Math.min(run.endedAt, machine.now());
      }
    },
    start: () => {
      isAlive = true;
      boot += 1;
      process = createProcessClock(machine);
      grants = createGrantTable(() => machine.now());
    },
    setDraining: (value) => {
      isDraining = value;
    },
  };

  function controlFor(daemon: string, clock: ProcessClock): ServerControl {
    return {
      lease: (call) =>
        callControl(daemon, clock, () => {
          const answer = grants.apply(call, bootId());
          const running = new Set(
            runs.filter((run) => run.endedAt === Number.POSITIVE_INFINITY).map((run) => run.slot),
          );
          return answer.kind === "fenced"
            ? answer
            : { ...answer, report: report(), stillRunning: call.revoke.filter((slot) => running.has(slot)) };
        }),
      health: () => callControl(daemon, clock, report),
      refusesConnections: () => Promise.resolve(!isAlive && !cutFrom.has(daemon)),
      close: () => undefined,
    };
  }

  /** A call to a frozen server is carried out when the server continues, long after its caller has given up. */
  function callControl<Value>(daemon: string, clock: ProcessClock, carryOut: () => Value): Promise<Value> {
    return new Promise((resolve, reject) => {
      const fail = () => {
        reject(new ServerUnreachableError("no answer", { props: { step: "control", peer: name } }));
      };
      if (!isAlive) {
        fail();
        return;
      }
      const cancel = clock.schedule(CONTROL_TIMEOUT_MS, fail);
      if (cutFrom.has(daemon)) {
        return;
      }
      void process.gate().then(async () => {
        const value = carryOut();
        await clock.gate();
        cancel();
        resolve(value);
      });
    });
  }

  function report() {
    return { bootId: bootId(), clockMs: machine.now(), running: counts.running, isCold: false, isDraining };
  }

  function bootId(): string {
    return `${name}/${boot}`;
  }

  async function send(daemon: string, request: FakeRequest): Promise<"done" | "refused"> {
    if (!isAlive || cutFrom.has(daemon)) {
      return new Promise(() => undefined);
    }
    const ownProcess = process;
    await ownProcess.gate();
    if (isFenced && !grants.canStart(request.slot, request.epoch, request.generation)) {
      return "refused";
    }
    return run(request, ownProcess);
  }

  async function run(request: FakeRequest, ownProcess: ProcessClock): Promise<"done"> {
    const { slot, requestId } = request;
    const record = {
      server: name,
      slot,
      requestId,
      startedAt: machine.now(),
      endedAt: Number.POSITIVE_INFINITY,
    };
    const lapses = grants.countLapses();
    runs.push(record);
    counts.running += 1;
    counts.mostRunning = Math.max(counts.mostRunning, counts.running);
    await new Promise<void>((resolve) => {
      ownProcess.schedule(request.workMs, resolve);
    });
    counts.running -= 1;
    const hasLapsed = isFenced && grants.countLapses() !== lapses;
    record.endedAt = hasLapsed ? Math.min(machine.now(), grants.getLastLapseAt()) : machine.now();
    return hasLapsed ? new Promise(() => undefined) : "done";
  }
}

/**
 * Finds runs for one slot at two servers at the same time.
 *
 * @param servers - All servers.
 * @returns Descriptions of the overlaps.
 */
export function findDoubleOwners(servers: readonly FakeServer[]): readonly string[] {
  const runs = servers.flatMap((server) => server.runs);
  return runs.flatMap((run) =>
    runs
      .filter((other) => other.slot === run.slot && other.server > run.server)
      .filter((other) => other.startedAt < run.endedAt && run.startedAt < other.endedAt)
      .map((other) => `slot ${run.slot}: ${describe(run)} and ${describe(other)}`),
  );
}

function describe(run: FakeRun): string {
  return `${run.server} from ${run.startedAt} to ${run.endedAt}`;
}
