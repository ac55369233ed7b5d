/** A small stand-in for a backend server: grants, slots, cold start, drain, shedding, deadlines, cancellation. */
import { randomUUID } from "node:crypto";
import { type IncomingMessage, type ServerResponse, createServer } from "node:http";
import type { AddressInfo } from "node:net";
import type { LeaseCall } from "../../src/ownership";
import { readText, reply } from "../http";
import { createGrantTable } from "./grantTable";
import { type Marks, readMarks } from "./marks";
import type { RunEnd, RunLog } from "./runLog";

const NANOSECONDS_PER_MS = 1_000_000n;
const BODY_CHUNK_BYTES = 64 * 1024;
const ETAG = '"v1"';

/** Behaviour that can be switched while the server runs. */
export interface ServerBehaviour {
  readonly workMs: number;
  /** Added to the work of each request; load reports do not show it. */
  readonly stragglerMs: number;
  readonly isDraining: boolean;
  readonly isShedding: boolean;
}

/** What a stand-in is made from. */
export interface BackendServerOptions {
  readonly name: string;
  readonly host: string;
  /** 0 takes a free port. */
  readonly port: number;
  readonly slots: number;
  /** Connections that it accepts; further ones are closed. */
  readonly connections: number;
  readonly isFenced: boolean;
  /** Duration of a cold start in milliseconds. */
  readonly coldMs: number;
  /** Age of the reports that health shows, in milliseconds. */
  readonly reportLagMs: number;
  readonly behaviour: ServerBehaviour;
  readonly log: RunLog;
}

/** A running stand-in. */
export interface BackendServerStandIn {
  readonly port: number;
  /** Changes behaviour. */
  change(behaviour: Partial<ServerBehaviour>): void;
  /** Turns the server cold without notice. */
  turnCold(): void;
  close(): void;
}

interface Run {
  readonly id: string;
  readonly startLapses: number;
  isEnded: boolean;
  /** Cancels the run's work. */
  readonly stop: AbortController;
}

/**
 * Milliseconds on the machine's monotonic clock, the same for all processes.
 *
 * @returns The time.
 */
export function machineTime(): number {
  return Number(process.hrtime.bigint() / NANOSECONDS_PER_MS);
}

/**
 * Starts a stand-in.
 *
 * @param options - Address, size and behaviour.
 * @returns The running stand-in.
 */
export async function startBackendServer(options: BackendServerOptions): Promise<BackendServerStandIn> {
  const bootId = randomUUID();
  const grants = createGrantTable(machineTime);
  const runs = new Set<Run>();
  const slotByRun = new Map<string, number>();
  const finishedByKey = new Map<string, string>();
  let behaviour = options.behaviour;
  let coldSince = machineTime();
  let reported = { running: 0, isCold: options.coldMs > 0 };
  const server = createServer((request, response) => {
    handle(request, response).catch(() => {
      response.destroy();
    });
  });
  server.maxConnections = options.connections;
  await new Promise<void>((resolve, reject) => {
    server.once("error", reject);
    server.listen(options.port, options.host, resolve);
  });
  const reportTimer = setInterval(
    () => {
      reported = { running: runs.size, isCold: isCold() };
    },
    Math.max(1, options.reportLagMs),
  );

  return {
    port: (server.address() as AddressInfo).port,
    change,
    turnCold,
    close: () => {
      clearInterval(reportTimer);
      server.close();
      server.closeAllConnections();
    },
  };

  function change(next: Partial<ServerBehaviour>): void {
    behaviour = { ...behaviour, ...next };
  }

  function turnCold(): void {
    coldSince = machineTime();
  }

  function isCold(): boolean {
    return machineTime() - coldSince < options.coldMs;
  }

  /** Requests that a cold server can bear grow from one to all slots. */
  function allowedRuns(): number {
    if (!isCold()) {
      return options.slots;
    }
    return Math.max(1, Math.ceil((options.slots * (machineTime() - coldSince)) / options.coldMs));
  }

  async function handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const path = (request.url ?? "/").split("?")[0] ?? "/";
    switch (path) {
      case "/hemlockbank/lease":
        handleLease(JSON.parse(await readText(request)) as LeaseCall, response);
        return;
      case "/hemlockbank/health":
        reply(response, 200, describe(reported.running, reported.isCold));
        return;
      case "/control/behaviour":
        change(JSON.parse(await readText(request)) as Partial<ServerBehaviour>);
        reply(response, 200, {});
        return;
      case "/control/cold":
        turnCold();
        reply(response, 200, {});
        return;
      default:
        await handleWork(request, response);
    }
  }

  function handleLease(call: LeaseCall, response: ServerResponse): void {
    const answer = grants.apply(call, bootId);
    if (answer.kind === "fenced") {
      reply(response, 409, { generation: answer.generation });
      return;
    }
    const report = describe(runs.size, isCold());
    reply(response, 200, { report, stillRunning: listRunningSlots(call.revoke), lapses: answer.lapses });
  }

  function describe(running: number, reportsCold: boolean) {
    return { bootId, clockMs: machineTime(), running, isCold: reportsCold, isDraining: behaviour.isDraining };
  }

  function listRunningSlots(slots: readonly number[]): readonly number[] {
    const running = new Set([...runs].map((run) => slotByRun.get(run.id) ?? -1));
    return slots.filter((slot) => running.has(slot));
  }

  async function handleWork(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const marks = readMarks(request);
    if (options.isFenced && marks.slot >= 0 && !grants.mayStart(marks.slot, marks.epoch, marks.generation)) {
      refuse(response, 412);
      return;
    }
    if (behaviour.isShedding || runs.size >= options.slots) {
      if (runs.size >= options.slots) {
        logOverload();
      }
      refuse(response, 503);
      return;
    }
    if (runs.size >= allowedRuns()) {
      logOverload();
    }
    const run = startRun(request, marks, response);
    try {
      await runWork(run, request, response, marks);
    } finally {
      endRun(run, "cancelled");
    }
  }

  function logOverload(): void {
    const allowed = allowedRuns();
    const { name: server, slots } = options;
    options.log({ kind: "overload", server, running: runs.size + 1, allowed, slots, at: machineTime() });
  }

  function startRun(request: IncomingMessage, marks: Marks, response: ServerResponse): Run {
    const run: Run = {
      id: randomUUID(),
      startLapses: grants.lapses(),
      isEnded: false,
      stop: new AbortController(),
    };
    runs.add(run);
    slotByRun.set(run.id, marks.slot);
    options.log({
      kind: "start",
      run: run.id,
      server: options.name,
      key: marks.key,
      slot: marks.slot,
      epoch: marks.epoch,
      generation: marks.generation,
      method: request.method ?? "GET",
      callerId: marks.callerId,
      at: machineTime(),
    });
    response.once("close", () => {
      endRun(run, "cancelled");
    });
    if (marks.timeoutMs > 0) {
      setTimeout(() => {
        endRun(run, "deadline");
      }, marks.timeoutMs).unref();
    }
    return run;
  }

  function endRun(run: Run, end: RunEnd): void {
    if (run.isEnded) {
      return;
    }
    run.isEnded = true;
    run.stop.abort();
    runs.delete(run);
    slotByRun.delete(run.id);
    // Whatever a run did after its lease had lapsed took no effect.
    const hasLapsed = options.isFenced && grants.lapses() !== run.startLapses;
    const at = hasLapsed ? Math.min(machineTime(), grants.lapsedAt()) : machineTime();
    options.log({ kind: "end", run: run.id, end: hasLapsed ? "lapsed" : end, at });
  }

  async function runWork(
    run: Run,
    request: IncomingMessage,
    response: ServerResponse,
    marks: Marks,
  ): Promise<void> {
    const content = await readText(request);
    const known = finishedByKey.get(marks.idempotencyKey);
    if (marks.idempotencyKey !== "" && known !== undefined) {
      endRun(run, "done");
      sendText(response, marks, known);
      return;
    }
    await wait(behaviour.workMs + behaviour.stragglerMs, run.stop.signal);
    if (run.isEnded) {
      response.destroy();
      return;
    }
    if (options.isFenced && marks.slot >= 0 && grants.lapses() !== run.startLapses) {
      endRun(run, "lapsed");
      response.destroy();
      return;
    }
    if (marks.bytes > 0) {
      await sendLarge(run, request, response, marks);
      return;
    }
    const text = JSON.stringify({ key: marks.key, server: options.name, received: content.length });
    if (marks.idempotencyKey !== "") {
      finishedByKey.set(marks.idempotencyKey, text);
    }
    endRun(run, "done");
    sendText(response, marks, text);
  }

  function sendText(response: ServerResponse, marks: Marks, text: string): void {
    response.writeHead(200, { ...markHeaders(marks), "content-length": Buffer.byteLength(text) });
    response.end(text);
  }

  function markHeaders(marks: Marks): Record<string, string> {
    const cold = isCold() ? { "x-hemlockbank-cold": "1" } : {};
    return { "x-request-id": marks.requestId, ...cold };
  }

  /** A download with a strong validator, which can be continued by range. */
  async function sendLarge(
    run: Run,
    request: IncomingMessage,
    response: ServerResponse,
    marks: Marks,
  ): Promise<void> {
    const from = Number(/^bytes=(\d+)-$/.exec(request.headers.range ?? "")?.[1] ?? 0);
    const isRange = request.headers.range !== undefined && request.headers["if-range"] === ETAG;
    const start = isRange ? from : 0;
    response.writeHead(isRange ? 206 : 200, {
      ...markHeaders(marks),
      etag: ETAG,
      "accept-ranges": "bytes",
      "content-length": marks.bytes - start,
      ...(isRange ? { "content-range": `bytes ${start}-${marks.bytes - 1}/${marks.bytes}` } : {}),
    });
    for (let sent = start; sent < marks.bytes && !run.isEnded; sent += BODY_CHUNK_BYTES) {
      const size = Math.min(BODY_CHUNK_BYTES, marks.bytes - sent);
      if (!response.write(createContent(sent, size))) {
        await new Promise((resolve) => {
          response.once("drain", resolve);
          response.once("close", resolve);
        });
      }
    }
    endRun(run, "done");
    response.end();
  }

  function refuse(response: ServerResponse, status: number): void {
    response.writeHead(status, { "x-hemlockbank-outcome": "not-run", "content-length": 0 });
    response.end();
  }
}

/**
 * Content of a large download, computable at any offset so that the reader can check it.
 *
 * @param offset - Offset of the first byte.
 * @param size - Number of bytes.
 * @returns The bytes.
 */
export function createContent(offset: number, size: number): Buffer {
  const content = Buffer.alloc(size);
  for (let index = 0; index < size; index += 1) {
    content[index] = (offset + index) % 251;
  }
  return content;
}

function wait(delayMs: number, signal: AbortSignal): Promise<void> {
  return new Promise((resolve) => {
    const timer = setTimeout(resolve, delayMs);
    signal.addEventListener("abort", () => {
      clearTimeout(timer);
      resolve();
    });
  });
}
