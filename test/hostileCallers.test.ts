/**
 * Callers that the product does not control, against the daemon's real process: it must live, stay within the memory
 * and descriptors of its VM, and answer an ordinary request afterwards.
 */
import { afterEach, expect, test } from "vitest";
import { CHUNK, CHUNKED_HEAD, PIECE, POST, SMALL_CHUNKS, repeat } from "./support/callerRequests";
import { listByName } from "./support/cases";
import { countDescriptors, readPeakBytes, readProcessorMs } from "./support/crowd";
import { type CrowdKind, MAX_BODY_BYTES, bodyCrowdKinds, openCrowd } from "./support/crowdKinds";
import { SERVED, exchange, sendOrdinaryRequest } from "./support/ordinaryCaller";
import type { CallerAddress } from "./support/singleDaemon";
import { MEMORY_BYTES, startOnSmallVm } from "./support/smallVm";

/** Determines the addresses of the daemon process; no soak uses it. */
const PROCESS_SEED = 198;
const MAX_FDS = 200;
/** Default limit on bodies; the whole of it must be served on the smallest VM when nothing else is in progress. */
const LARGEST_BODY_BYTES = 67_108_864;
/**
 * Processor time within which an ordinary request is answered after a crowd has gone: a timeout of 8 s on the smallest
 * VM, which has 0.203 of a core. It depends neither on other load nor on waits.
 */
const MAX_ANSWER_PROCESSOR_MS = 1600;
const TEST_TIMEOUT_MS = 240_000;

let close: (() => Promise<void>) | undefined;

afterEach(async () => {
  await close?.();
  close = undefined;
});

const crowds: readonly (CrowdKind & {
  /** Bytes after which each caller leaves while the daemon still has unread input; once it reads no more by default. */
  readonly leaveAfterBytes?: number;
})[] = [
  ...bodyCrowdKinds,
  {
    name: "send bodies in chunks of one byte that stop short",
    connections: 40,
    createPieces: () => [CHUNKED_HEAD, ...repeat(SMALL_CHUNKS, 200)],
    leaveAfterBytes: 600_000,
  },
  {
    name: "send requests with Host ahead and read no answer",
    connections: 60,
    createPieces: () => repeat("GET /long/ HTTP/1.1\r\nHost: a.example\r\n\r\n".repeat(1000), 20),
  },
  {
    name: "send requests without Host ahead and read no answer",
    connections: 200,
    createPieces: () => repeat("GET / HTTP/1.1\r\n\r\n".repeat(1000), 20),
  },
  { name: "open connections and send nothing", connections: 400, createPieces: () => [] },
];

// Guards against a process that runs out of memory or descriptors, or gets stuck, by what callers send.
test.each(listByName(crowds))(
  "a daemon survives callers that %s",
  async (_name, { leaveAfterBytes, ...kind }) => {
    const { daemon, address, pid } = await start(MAX_BODY_BYTES);
    const crowd = openCrowd(address, [kind]);
    await (leaveAfterBytes === undefined ? crowd.waitUntilSettled() : crowd.waitUntilSent(leaveAfterBytes));
    const descriptors = daemon.getPid() === pid ? countDescriptors(pid) : Number.NaN;
    crowd.close();
    const processorMs = readProcessorMs(pid);
    const answer = await sendOrdinaryRequest(address, { maxTries: 2, timeoutMs: TEST_TIMEOUT_MS });
    expect(daemon.getPid(), "the process has ended").toBe(pid);
    expect.soft(readProcessorMs(pid) - processorMs).toBeLessThan(MAX_ANSWER_PROCESSOR_MS);
    expect.soft(readPeakBytes(pid)).toBeLessThan(MEMORY_BYTES);
    expect.soft(descriptors).toBeLessThanOrEqual(MAX_FDS);
    expect(answer).toMatch(SERVED);
  },
  TEST_TIMEOUT_MS,
);

const singleBodies = [
  {
    name: "of 67,108,864 bytes with a length",
    createPieces: () => [
      `${POST}Content-Length: ${LARGEST_BODY_BYTES}\r\n\r\n`,
      ...repeat(PIECE, LARGEST_BODY_BYTES / PIECE.byteLength),
    ],
    bytes: LARGEST_BODY_BYTES,
  },
  {
    name: "of 67,108,864 bytes in chunks",
    createPieces: () => [CHUNKED_HEAD, ...repeat(CHUNK, LARGEST_BODY_BYTES / PIECE.byteLength), "0\r\n\r\n"],
    bytes: LARGEST_BODY_BYTES,
  },
  {
    name: "of 200,000 bytes in chunks of one byte",
    createPieces: () => [CHUNKED_HEAD, ...repeat(SMALL_CHUNKS, 20), "0\r\n\r\n"],
    bytes: 200_000,
  },
];

// Guards against limits that refuse a request inside the default limits while nothing else is in progress.
test.each(listByName(singleBodies))(
  "a single body %s is served",
  async (_name, { createPieces, bytes }) => {
    const { daemon, address, pid } = await start(LARGEST_BODY_BYTES);
    const answer = await exchange(address, createPieces(), TEST_TIMEOUT_MS);
    expect(answer).toMatch(/^HTTP\/1\.1 200 /);
    expect(answer.endsWith(`\r\n\r\n${bytes}`)).toBe(true);
    expect(daemon.getPid(), "the process has ended").toBe(pid);
    expect(readPeakBytes(pid)).toBeLessThan(MEMORY_BYTES);
  },
  TEST_TIMEOUT_MS,
);

async function start(maxBodyBytes: number) {
  const started = await startOnSmallVm(PROCESS_SEED, MAX_FDS, { maxBodyBytes });
  ({ close } = started);
  const { daemon } = started;
  const address: CallerAddress = { host: daemon.host, port: daemon.callerPort };
  return { daemon, address, pid: daemon.getPid() ?? 0 };
}
