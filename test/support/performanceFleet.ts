/**
 * Servers of uneven speed, the daemons that send to them, and the exchange of server performance between these, in
 * simulated time and without a network.
 */
import { pack } from "msgpackr";
import { ServerPhase, type DiscoveredServer } from "../../src/discovery";
import {
  type ProcessNumbers,
  type ServerLoads,
  type ServerPerformance,
  type StateChannel,
  type StateExchangeOptions,
  createPerformanceEstimates,
  createPerformanceExchange,
  createProcessNumbers,
  createServerLoads,
  createServerPerformance,
} from "../../src/gateway";
import { type Counters, createCounters, silentLogger } from "../../src/observability";
import type { Address, Clock, ServerName } from "../../src/types";
import { createRandom } from "../../standins/scenarios/callers";

/** Step of the simulated time, in milliseconds. */
const STEP_MS = 5;
const EXCHANGE_INTERVAL_MS = 400;
const MAX_QUEUED = 12;
/** Share of the time for which a server's machine is slow, and how slow for how long. */
const SLOW_SHARE = 0.2;
const SLOW_MS = 400;
const SLOWNESS = 3;
const SERVICE = "stock";

/** Options for {@link createPerformanceFleet}. */
export interface FleetOptions {
  readonly seed: number;
  readonly daemons: number;
  readonly servers: number;
  readonly slots: number;
  /** Mean work of a request, in milliseconds at the usual speed. */
  readonly workMs: number;
  readonly requestsPerSecond: number;
  /** Whether estimates are shared at all; true if there are more than 16 servers. */
  readonly isShared?: boolean;
  /** Whether machines are slow at times. */
  readonly isNoisy: boolean;
  /** Whether the slowness that servers state contains their speed; otherwise only that of the moment. */
  readonly statesSpeed?: boolean;
  /** Returns the initial speed of a server. */
  readonly getSpeed: (index: number) => number;
  /** Returns the number of requests above which a server does no more work; its slots by default. */
  readonly getKnee?: (index: number) => number;
  /** Returns the server that a daemon sends a request to. */
  readonly route: (daemon: number, random: () => number) => number;
}

interface SimulatedServer {
  entry: DiscoveredServer;
  speed: number;
  running: SimulatedRequest[];
  queue: SimulatedRequest[];
  slowUntil: number;
  nextSlowAt: number;
  /** Time for which its slots were in use, in milliseconds, relative to the best that it can do. */
  busyMs: number;
}

interface SimulatedRequest {
  readonly daemon: number;
  readonly arrivedAt: number;
  remainingMs: number;
}

/** One daemon's view. */
export interface FleetDaemon {
  readonly loads: ServerLoads;
  readonly performance: ServerPerformance;
  readonly numbers: ProcessNumbers;
  readonly channel: StateChannel;
  readonly options: StateExchangeOptions;
  readonly counters: Counters;
  /** Factor by which the daemon distorts the latencies that it measures. */
  distortion: number;
}

/**
 * Creates a fleet at time 0.
 *
 * @param options - Servers, daemons and load.
 * @returns The fleet; time passes only in `run`.
 */
export function createPerformanceFleet(options: FleetOptions) {
  const random = createRandom(options.seed);
  let now = 0;
  const clock: Clock = { now: () => now, schedule: () => () => undefined };
  const servers = Array.from({ length: options.servers }, (_, index) => createServer(index));
  const byName = new Map(servers.map((server) => [server.entry.name, server]));
  const handlers = new Map<string, (content: unknown) => void>();
  const fleet = {
    clock,
    servers,
    coordinator: 0,
    /** Whether datagrams arrive. */
    isConnected: true,
    latencies: [] as number[],
    refused: 0,
    maxMessageBytes: 0,
    sentBytes: 0,
    daemons: [] as FleetDaemon[],
    createDaemon,
    restartServer: (index: number) => {
      const server = servers[index] ?? raise();
      server.entry = { ...server.entry, bornAt: server.entry.bornAt + 1 + now };
      server.running = [];
      server.queue = [];
    },
    getName: (index: number): ServerName => (servers[index] ?? raise()).entry.name,
    getServer: (index: number) => servers[index] ?? raise(),
    getDaemon: (index: number) => fleet.daemons[index] ?? raise(),
    /** Delivers a datagram to a daemon. */
    send: (daemon: number, kind: string, content: unknown) => {
      handlers.get(`${daemon}/${kind}`)?.(content);
    },
    run,
  };
  for (let index = 0; index < options.daemons; index += 1) {
    fleet.daemons.push(createDaemon(index));
  }
  return fleet;

  function run(durationMs: number, onStep: () => void = () => undefined): void {
    const end = now + durationMs;
    while (now < end) {
      now += STEP_MS;
      const expected = (options.requestsPerSecond * STEP_MS) / 1000;
      for (let left = expected; left > 0; left -= 1) {
        if (random() < left) {
          arrive();
        }
      }
      servers.forEach(work);
      if (now % EXCHANGE_INTERVAL_MS === 0) {
        exchange();
      }
      onStep();
    }
  }

  function arrive(): void {
    const daemon = Math.floor(random() * options.daemons);
    const server = servers[options.route(daemon, random)] ?? raise();
    // Sum of two exponential times: half as variable as one.
    const workMs = -(options.workMs / 2) * Math.log((1 - random()) * (1 - random()));
    const request = { daemon, arrivedAt: now, remainingMs: workMs };
    if (server.running.length < options.slots) {
      server.running.push(request);
    } else if (server.queue.length < MAX_QUEUED) {
      server.queue.push(request);
    } else {
      fleet.refused += 1;
      fleet.getDaemon(daemon).loads.recordLoad(server.entry.name, getLoad(server));
    }
  }

  function work(server: SimulatedServer, index: number): void {
    if (options.isNoisy && now >= server.nextSlowAt) {
      server.slowUntil = now + SLOW_MS;
      server.nextSlowAt =
        server.slowUntil - SLOW_MS * ((1 - SLOW_SHARE) / SLOW_SHARE) * Math.log(1 - random());
    }
    const knee = options.getKnee?.(index) ?? options.slots;
    const count = server.running.length;
    const rate = (server.speed / getSlowness(server)) * Math.min(1, knee / Math.max(1, count));
    server.busyMs += (Math.min(count, knee) / knee) * STEP_MS;
    for (const request of server.running) {
      request.remainingMs -= STEP_MS * rate;
    }
    const done = server.running.filter((request) => request.remainingMs <= 0);
    server.running = server.running.filter((request) => request.remainingMs > 0);
    while (server.running.length < options.slots && server.queue.length > 0) {
      server.running.push(server.queue.shift() ?? raise());
    }
    for (const { daemon, arrivedAt } of done) {
      const { loads, distortion } = fleet.getDaemon(daemon);
      loads.recordLoad(server.entry.name, getLoad(server));
      loads.recordAnswer(server.entry.name, (now - arrivedAt) * distortion, 1);
      fleet.latencies.push(now - arrivedAt);
    }
  }

  function getLoad(server: SimulatedServer) {
    return {
      running: server.running.length,
      waiting: server.queue.length,
      slots: options.slots,
      slowness: getSlowness(server) / (options.statesSpeed === true ? server.speed : 1),
    };
  }

  function getSlowness(server: SimulatedServer): number {
    return now < server.slowUntil ? SLOWNESS : 1;
  }

  function exchange(): void {
    fleet.daemons.forEach(({ channel, options: exchanged }) => {
      channel.report(exchanged);
    });
    fleet.daemons.forEach(({ channel, options: exchanged }) => {
      channel.announce(exchanged);
    });
  }

  function createDaemon(index: number): FleetDaemon {
    const numbers = createProcessNumbers(() => servers.map(({ entry }) => entry), clock);
    const isShared = () => options.isShared ?? options.servers > 16;
    const performance = createServerPerformance({
      clock,
      numbers,
      findServer: (name) => byName.get(name)?.entry,
      isShared,
    });
    const loads = createServerLoads(clock, () => SERVICE, performance);
    const counters = createCounters("test");
    const channel = createPerformanceExchange({
      performance,
      estimates: createPerformanceEstimates({
        clock,
        numbers,
        isShared,
        findAnnounced: (process) => performance.findProcess(process),
        logger: silentLogger,
      }),
      applyLoad: (process, load) => {
        const server = numbers.find(process);
        if (server !== undefined) {
          loads.mergeLoad(server.name, server.slots, load);
        }
      },
      counters,
    });
    const exchanged: StateExchangeOptions = {
      daemon: `d${index}`,
      channel: {
        send: (address, kind, content) => {
          const { length } = pack({ kind, content });
          fleet.maxMessageBytes = Math.max(fleet.maxMessageBytes, length);
          fleet.sentBytes += length;
          if (fleet.isConnected) {
            fleet.send(address.port, kind, content);
          }
        },
        receive: (kind, schema, handler) => {
          handlers.set(`${index}/${kind}`, (content) => {
            handler(schema.parse(content));
          });
        },
      },
      isCoordinator: () => fleet.coordinator === index,
      findCoordinator: () => getAddress(fleet.coordinator),
      getPeers: () => fleet.daemons.flatMap((_, other) => (other === index ? [] : [getAddress(other)])),
      states: [channel],
      clock,
      logger: silentLogger,
    };
    channel.listen(exchanged);
    return { loads, performance, numbers, channel, options: exchanged, counters, distortion: 1 };
  }

  function createServer(index: number): SimulatedServer {
    return {
      entry: {
        name: `i-${(0xabcdef1234 + index * 7919).toString(16)}`,
        bornAt: 1_780_000_000_000 + index * 37,
        service: SERVICE,
        address: { host: "s", port: index + 1 },
        dataCentre: "a",
        slots: options.slots,
        phase: ServerPhase.Ready,
        sequence: 1,
        coldForMs: 0,
      },
      speed: options.getSpeed(index),
      running: [],
      queue: [],
      slowUntil: Number.NEGATIVE_INFINITY,
      nextSlowAt: options.isNoisy ? (SLOW_MS / SLOW_SHARE) * random() : Infinity,
      busyMs: 0,
    };
  }
}

function getAddress(daemon: number): Address {
  return { host: "d", port: daemon };
}

function raise(): never {
  throw new RangeError("no such server or daemon");
}
