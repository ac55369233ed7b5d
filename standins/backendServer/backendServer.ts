/** Backend server stand-in: grants, slots, cold start, draining, load shedding, deadlines, cancellation. */
import { randomUUID } from "node:crypto";
import { type IncomingMessage, type ServerResponse, createServer } from "node:http";
import type { AddressInfo } from "node:net";
import type { LeaseCall } from "../../src/ownership";
import { readText, reply } from "../http";
import { createGrantTable } from "./grantTable";
import { type RequestMetadata, readRequestMetadata } from "./requestMetadata";
import type { RunEnd, RunLog } from "./runLog";

const NANOSECONDS_PER_MS = 1_000_000n;
const BODY_CHUNK_BYTES = 64 * 1024;
const ETAG = '"v1"';

/** Behaviour that can be changed while the server runs. */
export interface ServerBehaviour {
  readonly workMs: number;
  /** Added to the processing time of each request, in milliseconds; load reports do not show it. */
  readonly stragglerMs: number;
  readonly isDraining: boolean;
  readonly isShedding: boolean;
}

/** Options for {@link startBackendServer}. */
export interface BackendServerOptions {
  readonly name: string;
  readonly host: string;
  /** Port to listen on; 0 picks a free one. */
  readonly port: number;
  readonly slots: number;
  /** Maximum number of open connections; further ones are closed. */
  readonly maxConnections: number;
  readonly isFenced: boolean;
  /** Duration of a cold start in milliseconds. */
  readonly coldMs: number;
  /** Interval at which the report for health checks is refreshed, and so its maximum age, in milliseconds. */
  readonly reportLagMs: number;
  readonly behaviour: ServerBehaviour;
  readonly log: RunLog;
}

/** A running backend server stand-in. */
export interface BackendServerStandIn {
  readonly port: number;
  /** Replaces the given fields of the behaviour. */
  updateBehaviour(behaviour: Partial<ServerBehaviour>): void;
  /** Makes the server cold again without a restart: its boot id and its grants stay. */
  beginColdStart(): void;
  close(): void;
}

interface Run {
  readonly id: string;
  readonly lapsesAtStart: number;
  isEnded: boolean;
  /** Cancels the processing of the request. */
  readonly stop: AbortController;
}

/**
 * Returns the machine's monotonic time, which is the same in all processes.
 *
 * @returns Milliseconds since an arbitrary instant.
 */
export function getMonotonicTimeMs(): number {
  return Number(process.hrtime.bigint() / NANOSECONDS_PER_MS);
}

/**
 * Starts a backend server stand-in.
 *
 * @param options - Address, capacity and behaviour.
 * @returns The stand-in, listening on its port.
 */
export async function startBackendServer(options: BackendServerOptions): Promise<BackendServerStandIn> {
  const bootId = randomUUID();
  const grants = createGrantTable(getMonotonicTimeMs);
  const runs = new Set<Run>();
  const slotByRun = new Map<string, number>();
  const answersByIdempotencyKey = new Map<string, string>();
  let behaviour = options.behaviour;
  let coldStartedAt = getMonotonicTimeMs();
  let lastReport = { running: 0, isCold: options.coldMs > 0 };
  const server = createServer((request, response) => {
    handle(request, response).catch(() => {
      response.destroy();
    });
  });
  server.maxConnections = options.maxConnections;
  await new Promise<void>((resolve, reject) => {
    server.once("error", reject);
    server.listen(options.port, options.host, resolve);
  });
  const reportTimer = setInterval(
    () => {
      lastReport = { running: runs.size, isCold: isCold() };
    },
    Math.max(1, options.reportLagMs),
  );

  return {
    port: (server.address() as AddressInfo).port,
    updateBehaviour,
    beginColdStart,
    close: () => {
      clearInterval(reportTimer);
      server.close();
      server.closeAllConnections();
    },
  };

  function updateBehaviour(next: Partial<ServerBehaviour>): void {
    behaviour = { ...behaviour, ...next };
  }

  function beginColdStart(): void {
    coldStartedAt = getMonotonicTimeMs();
  }

  function isCold(): boolean {
    return getMonotonicTimeMs() - coldStartedAt < options.coldMs;
  }

  /** Returns how many requests the server can run at once; in a cold start this grows from 1 to all slots. */
  function computeMaxRuns(): number {
    if (!isCold()) {
      return options.slots;
    }
    return Math.max(1, Math.ceil((options.slots * (getMonotonicTimeMs() - coldStartedAt)) / options.coldMs));
  }

  async function handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const path = (request.url ?? "/").split("?")[0] ?? "/";
    switch (path) {
      case "/hemlockbank/lease":
        handleLease(JSON.parse(await readText(request)) as LeaseCall, response);
        return;
      case "/hemlockbank/health":
        reply(response, 200, createReport(lastReport.running, lastReport.isCold));
        return;
      case "/control/behaviour":
        updateBehaviour(JSON.parse(await readText(request)) as Partial<ServerBehaviour>);
        reply(response, 200, {});
        return;
      case "/control/cold":
        beginColdStart();
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
    const report = createReport(runs.size, isCold());
    reply(response, 200, { report, stillRunning: listRunningSlots(call.revoke), lapses: answer.lapses });
  }

  function createReport(running: number, isReportedCold: boolean) {
    return {
      bootId,
      clockMs: getMonotonicTimeMs(),
      running,
      isCold: isReportedCold,
      isDraining: behaviour.isDraining,
    };
  }

  function listRunningSlots(slots: readonly number[]): readonly number[] {
    const running = new Set([...runs].map((run) => slotByRun.get(run.id) ?? -1));
    return slots.filter((slot) => running.has(slot));
  }

  async function handleWork(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const metadata = readRequestMetadata(request);
    if (
      options.isFenced &&
      metadata.slot >= 0 &&
      !grants.canStart(metadata.slot, metadata.epoch, metadata.generation)
    ) {
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
    // A cold server also runs requests beyond its current capacity, but records each as an overload.
    if (runs.size >= computeMaxRuns()) {
      logOverload();
    }
    const run = startRun(request, metadata, response);
    try {
      await runWork(run, request, response, metadata);
    } finally {
      endRun(run, "cancelled");
    }
  }

  function logOverload(): void {
    const allowed = computeMaxRuns();
    const { name: server, slots } = options;
    options.log({
      kind: "overload",
      server,
      running: runs.size + 1,
      allowed,
      slots,
      at: getMonotonicTimeMs(),
    });
  }

  function startRun(request: IncomingMessage, metadata: RequestMetadata, response: ServerResponse): Run {
    const run: Run = {
      id: randomUUID(),
      lapsesAtStart: grants.countLapses(),
      isEnded: false,
      stop: new AbortController(),
    };
    runs.add(run);
    slotByRun.set(run.id, metadata.slot);
    options.log({
      kind: "start",
      run: run.id,
      server: options.name,
      key: metadata.key,
      slot: metadata.slot,
      epoch: metadata.epoch,
      generation: metadata.generation,
      method: request.method ?? "GET",
      callerId: metadata.callerId,
      at: getMonotonicTimeMs(),
    });
    response.once("close", () => {
      endRun(run, "cancelled");
    });
    if (metadata.timeoutMs > 0) {
      setTimeout(() => {
        endRun(run, "deadline");
      }, metadata.timeoutMs).unref();
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
    // Work done after the lease lapsed takes no effect, so the run counts as ended at the lapse.
    const hasLapsed = options.isFenced && grants.countLapses() !== run.lapsesAtStart;
    const at = hasLapsed ? Math.min(getMonotonicTimeMs(), grants.getLastLapseAt()) : getMonotonicTimeMs();
    options.log({ kind: "end", run: run.id, end: hasLapsed ? "lapsed" : end, at });
  }

  async function runWork(
    run: Run,
    request: IncomingMessage,
    response: ServerResponse,
    metadata: RequestMetadata,
  ): Promise<void> {
    const content = await readText(request);
    const earlierAnswer = answersByIdempotencyKey.get(metadata.idempotencyKey);
    if (metadata.idempotencyKey !== "" && earlierAnswer !== undefined) {
      endRun(run, "done");
      sendAnswer(response, metadata, earlierAnswer);
      return;
    }
    await wait(behaviour.workMs + behaviour.stragglerMs, run.stop.signal);
    if (run.isEnded) {
      response.destroy();
      return;
    }
    if (options.isFenced && metadata.slot >= 0 && grants.countLapses() !== run.lapsesAtStart) {
      endRun(run, "lapsed");
      response.destroy();
      return;
    }
    if (metadata.bytes > 0) {
      await sendDownload(run, request, response, metadata);
      return;
    }
    const text = JSON.stringify({ key: metadata.key, server: options.name, received: content.length });
    if (metadata.idempotencyKey !== "") {
      answersByIdempotencyKey.set(metadata.idempotencyKey, text);
    }
    endRun(run, "done");
    sendAnswer(response, metadata, text);
  }

  function sendAnswer(response: ServerResponse, metadata: RequestMetadata, text: string): void {
    response.writeHead(200, { ...createAnswerHeaders(metadata), "content-length": Buffer.byteLength(text) });
    response.end(text);
  }

  function createAnswerHeaders(metadata: RequestMetadata): Record<string, string> {
    const cold = isCold() ? { "x-hemlockbank-cold": "1" } : {};
    return { "x-request-id": metadata.requestId, ...cold };
  }

  /** Sends a download with a strong validator, so that a range request can resume it. */
  async function sendDownload(
    run: Run,
    request: IncomingMessage,
    response: ServerResponse,
    metadata: RequestMetadata,
  ): Promise<void> {
    const from = Number(/^bytes=(\d+)-$/.exec(request.headers.range ?? "")?.[1] ?? 0);
    const isRange = request.headers.range !== undefined && request.headers["if-range"] === ETAG;
    const start = isRange ? from : 0;
    response.writeHead(isRange ? 206 : 200, {
      ...createAnswerHeaders(metadata),
      etag: ETAG,
      "accept-ranges": "bytes",
      "content-length": metadata.bytes - start,
      ...(isRange ? { "content-range": `bytes ${start}-${metadata.bytes - 1}/${metadata.bytes}` } : {}),
    });
    for (let sent = start; sent < metadata.bytes && !run.isEnded; sent += BODY_CHUNK_BYTES) {
      const size = Math.min(BODY_CHUNK_BYTES, metadata.bytes - sent);
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
 * Creates a part of a download's content. Bytes are computed from their offsets, so callers can verify them.
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
