/** Stand-in for the platform: object API and VM list over HTTP, with fault injection. */
import { type IncomingMessage, type Server, type ServerResponse, createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { readText, reply } from "../http";
import { createObjectTable } from "./objectTable";

const MAX_VALUE_BYTES = 1024 * 1024;
const RATE_WINDOW_MS = 1000;

/** A VM in the VM list. */
export interface ListedVm {
  readonly host: string;
  readonly port: number;
  readonly dataCentre: string;
  readonly state: "live" | "leaving";
}

/** Faults that are injected at one endpoint. */
export interface PlatformFaults {
  /** The connection of every API call is closed without a response. */
  readonly isDown: boolean;
  /** Delay before every API call is handled, in milliseconds. */
  readonly delayMs: number;
  /** Number of next writes that are carried out but get no response. */
  readonly lostAnswers: number;
  /** The VM list is frozen: changes that come due while this is set at any endpoint are discarded. */
  readonly hasStaleVms: boolean;
}

/** Number of calls since the start. */
export interface PlatformCallCounts {
  readonly reads: number;
  readonly writes: number;
  readonly watches: number;
  readonly refused: number;
}

/** Options for {@link startPlatform}. */
export interface PlatformOptions {
  readonly host: string;
  /** Ports to listen on, one endpoint with faults of its own for each; 0 picks a free port. */
  readonly ports: readonly number[];
  readonly writesPerSecond: number;
  readonly readsPerSecond: number;
  /** Delay until a change of the VMs appears in the VM list, in milliseconds. */
  readonly vmListLagMs: number;
}

/** A running platform stand-in. */
export interface PlatformStandIn {
  readonly ports: readonly number[];
  setFaults(endpoint: number, faults: Partial<PlatformFaults>): void;
  setVms(vms: readonly ListedVm[]): void;
  getCallCounts(): PlatformCallCounts;
  close(): void;
}

const noFaults: PlatformFaults = { isDown: false, delayMs: 0, lostAnswers: 0, hasStaleVms: false };

/**
 * Starts a platform stand-in.
 *
 * @param options - Addresses and limits.
 * @returns The stand-in, listening on all its ports.
 */
export async function startPlatform(options: PlatformOptions): Promise<PlatformStandIn> {
  const table = createObjectTable();
  const faults = options.ports.map(() => noFaults);
  const counts = { reads: 0, writes: 0, watches: 0, refused: 0 };
  const rateWindow = { startedAt: performance.now(), reads: 0, writes: 0 };
  let listedVms: readonly ListedVm[] = [];
  const servers = await Promise.all(options.ports.map((port, endpoint) => listen(port, endpoint)));
  const ports = servers.map((server) => (server.address() as AddressInfo).port);

  return {
    ports,
    setFaults,
    setVms,
    getCallCounts: () => ({ ...counts }),
    close: () => {
      for (const server of servers) {
        server.close();
        server.closeAllConnections();
      }
    },
  };

  function listen(port: number, endpoint: number): Promise<Server> {
    const server = createServer((request, response) => {
      handle(request, response, endpoint).catch(() => {
        response.destroy();
      });
    });
    return new Promise((resolve, reject) => {
      server.once("error", reject);
      server.listen(port, options.host, () => {
        resolve(server);
      });
    });
  }

  function setFaults(endpoint: number, change: Partial<PlatformFaults>): void {
    faults[endpoint] = { ...(faults[endpoint] ?? noFaults), ...change };
  }

  function setVms(vms: readonly ListedVm[]): void {
    setTimeout(() => {
      if (!faults.some((fault) => fault.hasStaleVms)) {
        listedVms = vms;
      }
    }, options.vmListLagMs);
  }

  async function handle(request: IncomingMessage, response: ServerResponse, endpoint: number): Promise<void> {
    const url = new URL(request.url ?? "/", "http://platform");
    if (url.pathname.startsWith("/control/")) {
      await handleControl(url, request, response);
      return;
    }
    const fault = faults[endpoint] ?? noFaults;
    if (fault.isDown) {
      request.socket.destroy();
      return;
    }
    if (fault.delayMs > 0) {
      await new Promise((resolve) => setTimeout(resolve, fault.delayMs));
    }
    if (!admit(request.method === "PUT")) {
      counts.refused += 1;
      reply(response, 429, {});
      return;
    }
    await handleApiCall(url, request, response, endpoint);
  }

  async function handleApiCall(
    url: URL,
    request: IncomingMessage,
    response: ServerResponse,
    endpoint: number,
  ): Promise<void> {
    const prefix = url.searchParams.get("prefix") ?? "";
    if (url.pathname === "/vms") {
      reply(response, 200, { vms: listedVms });
    } else if (url.pathname === "/watch") {
      counts.watches += 1;
      const since = Number(url.searchParams.get("since"));
      const changes = await table.watch(prefix, since, Number(url.searchParams.get("wait")));
      replyUnlessDown(response, endpoint, changes);
    } else if (url.pathname === "/objects") {
      reply(response, 200, table.list(prefix));
    } else if (request.method === "PUT") {
      await handleWrite(url, request, response, endpoint);
    } else {
      const object = table.read(getObjectPath(url));
      reply(response, object === undefined ? 404 : 200, object ?? {});
    }
  }

  function replyUnlessDown(response: ServerResponse, endpoint: number, body: unknown): void {
    if (faults[endpoint]?.isDown === true) {
      response.destroy();
    } else {
      reply(response, 200, body);
    }
  }

  async function handleWrite(
    url: URL,
    request: IncomingMessage,
    response: ServerResponse,
    endpoint: number,
  ): Promise<void> {
    const text = await readText(request);
    if (text.length > MAX_VALUE_BYTES) {
      reply(response, 413, {});
      return;
    }
    const { value } = JSON.parse(text) as { value: unknown };
    const result = table.write(getObjectPath(url), value, Number(url.searchParams.get("base")));
    const lostAnswers = faults[endpoint]?.lostAnswers ?? 0;
    if (lostAnswers > 0) {
      setFaults(endpoint, { lostAnswers: lostAnswers - 1 });
      request.socket.destroy();
    } else if (result.kind === "conflict") {
      reply(response, 409, { current: result.current ?? null });
    } else {
      reply(response, 200, { version: result.version });
    }
  }

  async function handleControl(url: URL, request: IncomingMessage, response: ServerResponse): Promise<void> {
    const text = await readText(request);
    if (url.pathname === "/control/faults") {
      const { entrance, ...change } = JSON.parse(text) as Partial<PlatformFaults> & { entrance: number };
      setFaults(entrance, change);
    } else if (url.pathname === "/control/vms") {
      setVms(JSON.parse(text) as ListedVm[]);
    }
    reply(response, 200, { ...counts });
  }

  function admit(isWrite: boolean): boolean {
    if (performance.now() - rateWindow.startedAt > RATE_WINDOW_MS) {
      Object.assign(rateWindow, { startedAt: performance.now(), reads: 0, writes: 0 });
    }
    if (isWrite) {
      counts.writes += 1;
      rateWindow.writes += 1;
      return rateWindow.writes <= options.writesPerSecond;
    }
    counts.reads += 1;
    rateWindow.reads += 1;
    return rateWindow.reads <= options.readsPerSecond;
  }
}

function getObjectPath(url: URL): string {
  return decodeURIComponent(url.pathname.slice("/objects/".length));
}
