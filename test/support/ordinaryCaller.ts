/** A caller that keeps to the limits, reads its answer and comes back when a refusal says so. */
import { sleep, systemClock } from "../../src/types";
import { openCrowdConnection } from "./crowd";
import type { CallerAddress } from "./singleDaemon";

const REQUEST =
  "POST /long/ HTTP/1.1\r\nHost: a.example\r\nRequest-Id: o\r\nRequest-Deadline: 60000\r\nContent-Length: 5\r\n\r\nhello";
const POLL_INTERVAL_MS = 20;
/** The answer to the ordinary request. */
export const SERVED = /^HTTP\/1\.1 200 [^]*\r\n\r\n5$/;

/** Options for {@link sendOrdinaryRequest}. */
export interface OrdinaryRequestOptions {
  /** Times that a refused request is sent, each after the time that the refusal states; 5 by default. */
  readonly maxTries?: number;
  /** Time after which each answer is given up, so that the processes are ended, in milliseconds; 60,000 by default. */
  readonly timeoutMs?: number;
}

/**
 * Sends one request with a body of 5 bytes, again after each refusal that states when to return.
 *
 * @param address - Address of the daemon.
 * @param options - Numbers of tries, and their timeout.
 * @returns The last answer; empty when the connection ended without one.
 */
export async function sendOrdinaryRequest(
  address: CallerAddress,
  { maxTries = 5, timeoutMs = 60_000 }: OrdinaryRequestOptions = {},
): Promise<string> {
  let answer = "";
  for (let count = 0; count < maxTries; count += 1) {
    answer = await exchange(address, [REQUEST], timeoutMs);
    const retryAfterS = /^HTTP\/1\.1 503 [^]*\r\nretry-after: ([\d.]+)/.exec(answer)?.[1];
    if (retryAfterS === undefined) {
      return answer;
    }
    await sleep(systemClock, Number(retryAfterS) * 1000);
  }
  return answer;
}

/**
 * Sends one request.
 *
 * @param address - Address of the daemon.
 * @param pieces - The request.
 * @param timeoutMs - Time after which the answer is given up, in milliseconds.
 * @returns The answer as far as it has arrived; empty when the connection ended without one.
 */
export async function exchange(
  address: CallerAddress,
  pieces: Iterable<string | Buffer>,
  timeoutMs: number,
): Promise<string> {
  const connection = openCrowdConnection(address, pieces, true);
  const isEnded = () => /\r\n\r\n./.test(connection.read()) || connection.isClosed();
  for (let count = 0; count < timeoutMs / POLL_INTERVAL_MS && !isEnded(); count += 1) {
    await sleep(systemClock, POLL_INTERVAL_MS);
  }
  connection.close();
  return connection.read();
}
