/** One daemon or several as real processes, with a store and a backend server that answers when the test says so. */
import { readFileSync } from "node:fs";
import { type ServerResponse, createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { join } from "node:path";
import { request } from "undici";
import { CONFIGURATION_NAME, StoreKind, WireHeader, WirePath } from "../../platform/wireNames";
import { type StoreEndpoint, type StoreFault, createEdgeObjectStore } from "../../standins/edge/objectStore";
import { HOST } from "../../standins/scenarios/ports";
import { type SoakDaemon, createSoakFolder, startSoakDaemon } from "../../standins/soak/daemons";

const CALLER_PORT = 8000;
const READINESS_PORT = 8001;
const POLL_INTERVAL_MS = 20;
/** Polls until a wait is given up, so that the processes are ended. */
const MAX_POLLS = 1500;

/** Options for {@link startSingleDaemon}. */
export interface SingleDaemonOptions {
  /** Limits of the VM in the daemon's settings. */
  readonly limits?: { readonly memoryMb: number; readonly maxFds: number };
  /** Limit of the configuration on request bodies. */
  readonly maxBodyBytes?: number;
  /** Requests that the backend server works on at the same time; 4 by default. */
  readonly capacity?: number;
  /** Connections that it accepts from all daemons; 130 by default. */
  readonly maxConns?: number;
  /** Whether the backend server answers a request as soon as its body has arrived, with the length of the body. */
  readonly answersAtOnce?: boolean;
  /** Length of the answers to GET requests instead, in bytes. */
  readonly answerBytes?: number;
  /** Number of further daemons of the same cluster; none by default. */
  readonly peers?: number;
  /** Called once the daemon accepts callers, before there is a configuration. */
  readonly beforeConfiguration?: (address: CallerAddress) => Promise<void>;
}

/** Address at which a daemon accepts callers. */
export interface CallerAddress {
  readonly host: string;
  readonly port: number;
}

/**
 * Starts the daemon and waits until it is ready. Its only route is `/long/` on the host `a.example`; requests to it
 * are not idempotent. The program must have been built.
 *
 * @param seed - Determines the address of the daemon.
 * @param options - Limits, and how the backend server answers.
 * @returns The daemon and its backend server.
 */
export async function startSingleDaemon(seed: number, options: SingleDaemonOptions = {}) {
  const begun = new Set<string>();
  const waiting: { readonly id: string; readonly response: ServerResponse }[] = [];
  const largeAnswer = "x".repeat(options.answerBytes ?? 0);
  let isAnsweringAtOnce = options.answersAtOnce === true;
  const server = createServer((message, response) => {
    const id = String(message.headers[WireHeader.RequestId]);
    begun.add(id);
    let bytes = 0;
    message.on("data", (chunk: Buffer) => {
      bytes += chunk.byteLength;
    });
    if (isAnsweringAtOnce) {
      message.once("end", () => {
        const isLarge = message.method === "GET" && options.answerBytes !== undefined;
        respond(response, id, isLarge ? largeAnswer : String(bytes));
      });
    } else {
      waiting.push({ id, response });
    }
  });
  await new Promise<void>((resolve) => server.listen(0, HOST, resolve));
  const { port } = server.address() as AddressInfo;
  const store = createEdgeObjectStore(Math.random);
  const configure = () => {
    store.put(StoreKind.Configuration, CONFIGURATION_NAME, createConfiguration(options));
  };
  if (options.beforeConfiguration === undefined) {
    configure();
  }
  store.put(StoreKind.Servers, "desk-0", {
    address: `${HOST}:${port}`,
    born: Date.now(),
    info: { service: "desk", version: "v1", zone: "a", capacity: options.capacity ?? 4 },
    status: { state: "ready", seq: 1, warmupLeftS: 0 },
  });
  const folder = createSoakFolder();
  const endpoints: StoreEndpoint[] = [];
  const startDaemon = async (index: number): Promise<SoakDaemon> => {
    const endpoint = await store.openEndpoint();
    endpoints.push(endpoint);
    return startSoakDaemon({
      name: `d${index}`,
      dataCentre: "a",
      host: `127.0.${seed}.${10 + index}`,
      storePort: endpoint.port,
      folder,
      limits: options.limits,
    });
  };
  const daemon = await startDaemon(0);
  const peers: SoakDaemon[] = [];
  const close = async () => {
    await Promise.all([daemon, ...peers].map((each) => each.close()));
    server.closeAllConnections();
    server.close();
    await store.close();
  };
  try {
    for (let index = 1; index <= (options.peers ?? 0); index += 1) {
      peers.push(await startDaemon(index));
    }
    if (options.beforeConfiguration !== undefined) {
      await poll(() => isAnswering(daemon));
      await options.beforeConfiguration(getCallerAddress(daemon));
      configure();
    }
    for (const each of [daemon, ...peers]) {
      await poll(() => each.isReady());
    }
  } catch (error) {
    await close();
    throw error;
  }
  return {
    daemon: {
      host: daemon.host,
      callerPort: CALLER_PORT,
      getPid: () => daemon.getPid(),
      terminate: () => {
        daemon.terminate();
      },
      pause: () => {
        daemon.pause();
      },
      resume: () => {
        daemon.resume();
      },
      kill: () => {
        daemon.kill();
      },
      /** Returns what the daemon has logged. */
      readLog: () => readFileSync(join(folder, "d0.log"), "utf8"),
      /** Waits until readiness probes fail, as they do once a shutdown has begun. */
      waitUntilNotReady: () => poll(async () => !(await daemon.isReady())),
      /** Returns whether the process answers readiness probes, whatever the answer. */
      isAnswering: () => isAnswering(daemon),
      /** Waits until the daemon is ready, after a restart or a fault. */
      waitUntilReady: () => poll(() => daemon.isReady()),
    },
    /** All daemons: their addresses and processes. */
    daemons: [daemon, ...peers].map((each) => ({
      address: getCallerAddress(each),
      getPid: () => each.getPid(),
    })),
    /** Sets a fault of the store for all daemons. */
    setStoreFault: (fault: StoreFault) => {
      endpoints.forEach((endpoint) => {
        endpoint.setFault(fault);
      });
    },
    /** Has the backend server answer requests at once from now on, or leave them waiting. */
    setAnsweringAtOnce: (value: boolean) => {
      isAnsweringAtOnce = value;
    },
    /** Closes the backend server, which refuses connections until the returned function is called. */
    closeServer: async () => {
      server.closeAllConnections();
      await new Promise((resolve) => server.close(resolve));
      return () => new Promise<void>((resolve) => server.listen(port, HOST, resolve));
    },
    /** Ids of the requests that the backend server has begun. */
    begun,
    /** Waits until a request is at the backend server. */
    waitUntilAtServer: () => poll(() => Promise.resolve(waiting.length > 0)),
    /** Answers all requests that are at the backend server. */
    answer: () => {
      waiting.splice(0).forEach(({ id, response }) => {
        respond(response, id, "x");
      });
    },
    close,
  };
}

async function isAnswering(daemon: SoakDaemon): Promise<boolean> {
  try {
    const answer = await request(`http://${daemon.host}:${READINESS_PORT}${WirePath.Ready}`);
    await answer.body.dump();
    return true;
  } catch {
    return false;
  }
}

function getCallerAddress(daemon: SoakDaemon): CallerAddress {
  return { host: daemon.host, port: CALLER_PORT };
}

function respond(response: ServerResponse, id: string, body: string): void {
  response.writeHead(200, { [WireHeader.RequestId]: id, [WireHeader.Signature]: `signed-${id}` });
  response.end(body);
}

async function poll(condition: () => Promise<boolean>): Promise<void> {
  for (let count = 0; count < MAX_POLLS; count += 1) {
    if (await condition()) {
      return;
    }
    await new Promise((resolve) => setTimeout(resolve, POLL_INTERVAL_MS));
  }
  throw new Error("the daemon process did not get to the expected state");
}

/** Creates a configuration with one route to one service. */
export function createConfiguration({
  maxBodyBytes = 1_048_576,
  maxConns = 130,
}: Pick<SingleDaemonOptions, "maxBodyBytes" | "maxConns"> = {}) {
  return {
    version: "00000001",
    resources: [
      {
        type: "routes",
        metadata: { name: "long" },
        spec: {
          host: "a.example",
          pathPrefix: "/long/",
          kind: "unsafe",
          timeoutS: 8,
          aimS: 0.5,
          priority: 1,
          service: "desk",
          attempts: 1,
        },
      },
      { type: "services", metadata: { name: "desk" }, spec: { maxConns, warmupS: 0, sharded: false } },
      {
        type: "limits",
        metadata: {},
        spec: { maxHeaderBytes: 16_384, maxBodyBytes, headerTimeoutS: 3, idleTimeoutS: 15 },
      },
    ],
  };
}
