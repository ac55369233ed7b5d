/** Injects the random faults of a soak, which follow one another and overlap. */
import { StoreFault } from "../edge/objectStore";
import { sleep, systemClock } from "../../src/types";
import type { ConnectedDaemon, ProxiedServer, SoakDeployment } from "./deployment";
import { LinkFault } from "./proxy";

const MIN_FAULT_MS = 300;
/** Maximum duration of a fault in milliseconds. */
export const MAX_FAULT_MS = 4000;
/** Time for which a server wants no requests, in seconds. */
const BACK_OFF_S = 2;
/** Limit of a backend server in need, in requests per second; far below what it gets otherwise. */
const LOW_RATE_LIMIT = 0.5;
/** Age of the copies that the store is restored from. */
const MIN_COPY_AGE_MS = 1000;
const MAX_COPY_AGE_MS = 12_000;
/** Mean time from the start of a fault to that of the next; most faults last longer, so that they overlap. */
const MEAN_FAULT_INTERVAL_MS = 700;
const MEAN_STATEMENT_INTERVAL_MS = 2500;
const MEAN_STOP_INTERVAL_MS = 4000;
/** Pause between two signals of one planned stop. */
const SECOND_STOP_MS = 900;
/** Pause between the stops of daemons in turn, shorter than a stop takes. */
const ROLLING_STOP_PAUSE_MS = 1500;
/** A daemon that is short of processor time runs in short turns, for about as long as a planned stop takes. */
const STARVED_TURNS = 18;
const STARVED_PAUSE_MS = 150;
const STARVED_RUN_MS = 20;

/** Injects random faults into a deployment. */
export interface FaultInjector {
  /** Injects faults for `durationMs`; resolves when the last one has ended. */
  run(durationMs: number): Promise<void>;
  /** Names and planned durations of the faults, in the order of their start. */
  readonly injectedFaults: readonly string[];
  /** Returns whether for `ms` no fault has changed a link or the process of a backend server. */
  areLinksUndisturbedFor(ms: number): boolean;
  /** Returns whether between two times no fault has changed a link or the process of a backend server. */
  wereLinksUndisturbed(from: number, to: number): boolean;
}

interface Fault {
  readonly name: string;
  readonly start: () => void | Promise<void>;
  readonly end: () => void | Promise<void>;
}

/**
 * Creates a fault injector.
 *
 * @param deployment - Deployment to disturb.
 * @param randomInt - Returns a seeded random integer from 0 to below its argument.
 * @param statementRandomInt - The same for what servers state in answers alone, which leaves the other faults as they are.
 * @param stopRandomInt - The same for planned stops that overlap with others.
 * @returns The injector.
 */
export function createFaultInjector(
  deployment: SoakDeployment,
  randomInt: (limit: number) => number,
  statementRandomInt: (limit: number) => number,
  stopRandomInt: (limit: number) => number,
): FaultInjector {
  const { daemons, servers, store } = deployment;
  const injectedFaults: string[] = [];
  const linkDisturbances: number[] = [];

  return {
    injectedFaults,
    areLinksUndisturbedFor: (ms) => wereLinksUndisturbed(performance.now() - ms, performance.now()),
    wereLinksUndisturbed,
    run: async (durationMs) => {
      await Promise.all([
        runSeries(durationMs, randomInt, chooseFault, MEAN_FAULT_INTERVAL_MS),
        runSeries(durationMs, statementRandomInt, chooseStatementFault, MEAN_STATEMENT_INTERVAL_MS),
        runSeries(durationMs, stopRandomInt, chooseStopFault, MEAN_STOP_INTERVAL_MS),
      ]);
    },
  };

  async function runSeries(
    durationMs: number,
    random: (limit: number) => number,
    choose: () => Fault,
    meanIntervalMs: number,
  ): Promise<void> {
    const endAt = performance.now() + durationMs;
    const running: Promise<void>[] = [];
    while (performance.now() < endAt) {
      const fault = choose();
      const lengthMs = MIN_FAULT_MS + random(MAX_FAULT_MS - MIN_FAULT_MS);
      injectedFaults.push(`${fault.name} for ${lengthMs} ms`);
      running.push(runFault(fault, Math.min(lengthMs, endAt - performance.now() + MIN_FAULT_MS)));
      await sleep(systemClock, random(meanIntervalMs * 2));
    }
    await Promise.all(running);
  }

  function chooseStatementFault(): Fault {
    const server = servers[statementRandomInt(servers.length)];
    const choices = server === undefined ? [] : listStatementFaults(server);
    const fault = choices[statementRandomInt(choices.length)];
    if (fault === undefined) {
      throw new RangeError("cannot choose a fault: the deployment has no backend server");
    }
    return fault;
  }

  function chooseStopFault(): Fault {
    const daemon = daemons[stopRandomInt(daemons.length)];
    const choices = daemon === undefined ? [] : listStopFaults(daemon);
    const fault = choices[stopRandomInt(choices.length)];
    if (fault === undefined) {
      throw new RangeError("cannot choose a stop: the deployment has no daemon");
    }
    return fault;
  }

  function wereLinksUndisturbed(from: number, to: number): boolean {
    return !linkDisturbances.some((at) => at > from && at <= to);
  }

  async function runFault(fault: Fault, lengthMs: number): Promise<void> {
    await fault.start();
    await sleep(systemClock, lengthMs);
    await fault.end();
  }

  function chooseFault(): Fault {
    const daemon = daemons[randomInt(daemons.length)];
    const server = servers[randomInt(servers.length)];
    if (daemon === undefined || server === undefined) {
      throw new RangeError("cannot choose a fault: the deployment has no daemon or no backend server");
    }
    const choices = [...listDaemonFaults(daemon), ...listServerFaults(server), ...listStoreFaults(daemon)];
    const fault = choices[randomInt(choices.length)];
    if (fault === undefined) {
      throw new RangeError("cannot choose a fault: the list of faults is empty");
    }
    return fault;
  }

  function listDaemonFaults({ daemon }: ConnectedDaemon): readonly Fault[] {
    return [
      createFault(`kill ${daemon.name}`, () => {
        daemon.kill();
      }),
      createFault(`stop ${daemon.name}`, () => {
        daemon.terminate();
      }),
      createFault(`reload ${daemon.name}`, () => {
        daemon.reload();
      }),
      createFault(
        `pause ${daemon.name}`,
        () => {
          daemon.pause();
        },
        () => {
          daemon.resume();
        },
      ),
      createFault("kill all daemons", () => {
        daemons.forEach((each) => {
          each.daemon.kill();
        });
      }),
    ];
  }

  /** Lists planned stops that overlap with others. */
  function listStopFaults({ daemon }: ConnectedDaemon): readonly Fault[] {
    return [
      createFault(`stop ${daemon.name} twice`, async () => {
        daemon.terminate();
        await sleep(systemClock, SECOND_STOP_MS);
        daemon.terminate();
      }),
      createFault(
        `starve ${daemon.name} while it stops`,
        async () => {
          daemon.terminate();
          for (let turn = 0; turn < STARVED_TURNS; turn += 1) {
            daemon.pause();
            await sleep(systemClock, STARVED_PAUSE_MS);
            daemon.resume();
            await sleep(systemClock, STARVED_RUN_MS);
          }
        },
        () => undefined,
      ),
      createFault("stop all daemons in turn", async () => {
        for (const each of daemons) {
          each.daemon.terminate();
          await sleep(systemClock, ROLLING_STOP_PAUSE_MS);
        }
      }),
    ];
  }

  /** Lists what a server may state in its answers alone. */
  function listStatementFaults({ server }: ProxiedServer): readonly Fault[] {
    const { name } = server.options;
    return [
      createFault(
        `leave ${name} without an entry that says so`,
        () => {
          server.sayLeaving();
        },
        async () => {
          await sleep(systemClock, MAX_FAULT_MS);
          await changeServer(() => server.crash());
          await changeServer(() => server.restart());
        },
      ),
      createFault(`back off from ${name}`, () => {
        server.backOff(BACK_OFF_S);
      }),
    ];
  }

  function listServerFaults({ server, proxy }: ProxiedServer): readonly Fault[] {
    const { name } = server.options;
    const links = [LinkFault.Delayed, LinkFault.Silent, LinkFault.OneWay, LinkFault.Refusing];
    return [
      ...links.map((fault) =>
        createFault(
          `link of ${name} ${fault}`,
          () => {
            recordLinkDisturbance();
            proxy.setFault(fault);
          },
          () => {
            recordLinkDisturbance();
            proxy.setFault(LinkFault.None);
            proxy.resetAll();
          },
        ),
      ),
      createFault(`reset connections of ${name}`, () => {
        recordLinkDisturbance();
        proxy.resetAll();
      }),
      createFault(
        `crash ${name}`,
        () => changeServer(() => server.crash()),
        () => changeServer(() => server.restart()),
      ),
      createFault(
        `rate limit of ${name}`,
        () => {
          server.setRateLimit(LOW_RATE_LIMIT);
        },
        async () => {
          await sleep(systemClock, MAX_FAULT_MS);
          server.setRateLimit(undefined);
        },
      ),
      createFault(
        `drain ${name}`,
        () => {
          server.drain();
        },
        // Only a restart ends the draining.
        async () => {
          await sleep(systemClock, MAX_FAULT_MS);
          await changeServer(() => server.crash());
          await changeServer(() => server.restart());
        },
      ),
    ];
  }

  function listStoreFaults(single: ConnectedDaemon): readonly Fault[] {
    const create = (fault: StoreFault, affected: readonly ConnectedDaemon[]): Fault =>
      createFault(
        `store ${fault} for ${affected.map(({ daemon }) => daemon.name).join(" ")}`,
        () => {
          setStoreFault(fault, affected);
        },
        () => {
          setStoreFault(StoreFault.None, affected);
        },
      );
    return [
      create(StoreFault.Silent, daemons),
      create(StoreFault.Busy, daemons),
      create(StoreFault.LostAnswers, daemons),
      create(StoreFault.Slow, daemons),
      create(StoreFault.Busy, [single]),
      create(StoreFault.Silent, [single]),
      createFault(
        "store away and restored from a copy",
        () => {
          setStoreFault(StoreFault.Silent, daemons);
        },
        async () => {
          const restored = deployment.restoreStore(
            MIN_COPY_AGE_MS + randomInt(MAX_COPY_AGE_MS - MIN_COPY_AGE_MS),
          );
          setStoreFault(StoreFault.None, daemons);
          await restored;
        },
      ),
      createFault("store drops its history", () => {
        store.compact();
        daemons.forEach(({ daemon }) => {
          daemon.recordDisturbance();
        });
      }),
      createFault(
        "configuration changes",
        () => deployment.writeConfigurationSeries(),
        () => {
          deployment.writeConfiguration();
        },
      ),
    ];
  }

  function recordLinkDisturbance(): void {
    linkDisturbances.push(performance.now());
  }

  async function changeServer(change: () => Promise<void>): Promise<void> {
    recordLinkDisturbance();
    await change();
    recordLinkDisturbance();
  }

  function setStoreFault(fault: StoreFault, affected: readonly ConnectedDaemon[]): void {
    for (const { daemon, endpoint } of affected) {
      endpoint.setFault(fault);
      daemon.recordDisturbance();
    }
  }
}

function createFault(name: string, start: Fault["start"], end: Fault["end"] = () => undefined): Fault {
  return { name, start, end };
}
