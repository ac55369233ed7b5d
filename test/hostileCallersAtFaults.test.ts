/**
 * Callers that the product does not control, against real daemon processes: further kinds of callers, and all kinds at
 * once during faults, a start and a stop. A process must live, stay within the memory and descriptors of its VM, and
 * answer an ordinary request afterwards.
 */
import { afterEach, expect, test } from "vitest";
import { StoreFault } from "../standins/edge/objectStore";
import { listByName } from "./support/cases";
import { countDescriptors, readPeakBytes } from "./support/crowd";
import {
  type Crowd,
  type CrowdKind,
  crowdKinds,
  mixedCrowd,
  openCrowd,
  waitingCrowdKinds,
} from "./support/crowdKinds";
import { SERVED, sendOrdinaryRequest } from "./support/ordinaryCaller";
import type { CallerAddress, SingleDaemonOptions } from "./support/singleDaemon";
import { MEMORY_BYTES, startOnSmallVm } from "./support/smallVm";

/** Determines the addresses of the daemon processes, beyond those that soaks use. */
const PROCESS_SEED = 201;
/** Enough for the largest crowd. */
const MAX_FDS = 2200;
/** The backend server takes this many requests at the same time in cases in which it does not answer. */
const CAPACITY = 200;
const SAMPLE_INTERVAL_MS = 50;
const TEST_TIMEOUT_MS = 120_000;
/** Events that a shutdown ends with. */
const SHUTDOWN_ENDED = /"event":100[45],/;

type SingleDaemon = Awaited<ReturnType<typeof startOnSmallVm>>;
type DaemonProcess = SingleDaemon["daemons"][number];

const closing: (() => Promise<void> | void)[] = [];

afterEach(async () => {
  for (const close of closing.splice(0).reverse()) {
    await close();
  }
});

const waitingForServer = { answersAtOnce: false, capacity: CAPACITY, maxConns: 10 * CAPACITY };
const kinds: readonly (CrowdKind & { readonly options?: SingleDaemonOptions })[] = [
  ...Object.values(crowdKinds),
  ...Object.values(waitingCrowdKinds).map((kind) => ({ ...kind, options: waitingForServer })),
  {
    name: "send requests for large answers ahead and read none",
    connections: 120,
    createPieces: crowdKinds.aheadWithUsualFields.createPieces,
    options: { answerBytes: 900_000, capacity: CAPACITY, maxConns: 10 * CAPACITY },
  },
];

// Guards against a process that runs out of memory or descriptors, or gets stuck, by what callers send.
test.each(listByName(kinds))(
  "a daemon survives callers that %s",
  async (_name, kind) => {
    const single = await start(kind.options);
    await withstand(single, single.daemons, [kind]);
    single.setAnsweringAtOnce(true);
    single.answer();
    await expectServed(single.daemons);
  },
  TEST_TIMEOUT_MS,
);

const faults: readonly {
  readonly name: string;
  readonly options?: SingleDaemonOptions;
  readonly begin?: (single: SingleDaemon) => Promise<() => unknown> | (() => unknown);
}[] = [
  { name: "nothing else happens" },
  {
    name: "the backend server does not answer",
    options: waitingForServer,
    begin: ({ setAnsweringAtOnce, answer }) => {
      return () => {
        setAnsweringAtOnce(true);
        answer();
      };
    },
  },
  { name: "the backend server refuses connections", begin: ({ closeServer }) => closeServer() },
  { name: "the store does not answer", begin: (single) => disturbStore(single, StoreFault.Silent) },
  { name: "the store refuses calls", begin: (single) => disturbStore(single, StoreFault.Busy) },
  { name: "other daemons have the same callers", options: { peers: 2 } },
];

// Guards against limits that hold for each kind of callers alone, or only while nothing else fails.
test.each(listByName(faults))(
  "daemons survive all kinds of callers at once while %s",
  async (_name, { options, begin }) => {
    const single = await start(options);
    const end = await begin?.(single);
    await withstand(single, single.daemons, mixedCrowd);
    await end?.();
    await expectServed(single.daemons);
  },
  TEST_TIMEOUT_MS,
);

// Guards against a process that ends by memory, or does not end by itself, when it is stopped under such callers.
test(
  "a daemon that is stopped under all kinds of callers ends by itself",
  async () => {
    const single = await start();
    const { daemon, daemons } = single;
    const [first] = daemons;
    const pid = first?.getPid() ?? 0;
    const crowd = connect(daemons[0], mixedCrowd);
    await crowd.waitUntilSettled();
    const peak = watchPeak(pid);
    daemon.terminate();
    await expect
      .poll(() => daemon.getPid() !== pid, { timeout: TEST_TIMEOUT_MS, interval: SAMPLE_INTERVAL_MS })
      .toBe(true);
    crowd.close();
    expect(daemon.readLog()).toMatch(SHUTDOWN_ENDED);
    expect.soft(peak.stop()).toBeLessThan(MEMORY_BYTES);
    await expect.poll(() => daemon.getPid() !== undefined).toBe(true);
    await daemon.waitUntilReady();
    await expectServed(daemons);
  },
  TEST_TIMEOUT_MS,
);

// Guards against a process that runs out of memory before it has a configuration, and so no configured limits.
test(
  "a daemon that starts under all kinds of callers gets ready",
  async () => {
    let crowd: Crowd | undefined;
    const single = await start({
      beforeConfiguration: async (address) => {
        crowd = connect({ address }, mixedCrowd);
        await crowd.waitUntilSettled();
      },
    });
    crowd?.close();
    await withstand(single, single.daemons, []);
    await expectServed(single.daemons);
  },
  TEST_TIMEOUT_MS,
);

async function start(options: SingleDaemonOptions = {}): Promise<SingleDaemon> {
  const single = await startOnSmallVm(PROCESS_SEED, MAX_FDS, options);
  closing.push(single.close);
  return single;
}

function connect(
  daemon: { readonly address: CallerAddress } | undefined,
  crowdOf: readonly CrowdKind[],
): Crowd {
  const crowd = openCrowd(daemon?.address ?? { host: "", port: 0 }, crowdOf);
  closing.push(() => {
    crowd.close();
  });
  return crowd;
}

/** Connects a crowd to each daemon until nothing moves any more, and checks the processes. */
async function withstand(
  { daemon }: SingleDaemon,
  daemons: readonly DaemonProcess[],
  crowdOf: readonly CrowdKind[],
): Promise<void> {
  const pids = daemons.map(({ getPid }) => getPid() ?? 0);
  const peaks = pids.map((pid) => watchPeak(pid));
  const crowds = daemons.map((each) => connect(each, crowdOf));
  await Promise.all(crowds.map((crowd) => crowd.waitUntilSettled()));
  const isAlive = () => daemons.every(({ getPid }, index) => getPid() === pids[index]);
  const descriptors = isAlive() ? pids.map((pid) => countDescriptors(pid)) : [];
  crowds.forEach((crowd) => {
    crowd.close();
  });
  const peakBytes = peaks.map((peak) => peak.stop());
  expect(isAlive(), `a process has ended: ${/FATAL ERROR.*/.exec(daemon.readLog())?.[0] ?? ""}`).toBe(true);
  expect.soft(Math.max(...peakBytes)).toBeLessThan(MEMORY_BYTES);
  expect.soft(Math.max(...descriptors)).toBeLessThanOrEqual(MAX_FDS);
}

async function expectServed(daemons: readonly DaemonProcess[]): Promise<void> {
  for (const { address } of daemons) {
    expect(await sendOrdinaryRequest(address)).toMatch(SERVED);
  }
}

function disturbStore({ setStoreFault }: SingleDaemon, fault: StoreFault): () => void {
  setStoreFault(fault);
  return () => {
    setStoreFault(StoreFault.None);
  };
}

/** Follows the peak memory of a process until it ends, after which it cannot be read. */
function watchPeak(pid: number): { readonly stop: () => number } {
  let peakBytes = 0;
  const sample = () => {
    try {
      peakBytes = Math.max(peakBytes, readPeakBytes(pid) || 0);
    } catch {
      // The process has ended.
    }
  };
  sample();
  const timer = setInterval(sample, SAMPLE_INTERVAL_MS);
  return {
    stop: () => {
      clearInterval(timer);
      sample();
      return peakBytes;
    },
  };
}
