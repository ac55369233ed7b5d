/** A caller that keeps to the pages. */
import { sleep, systemClock } from "../../src/types";
import { openCrowdConnection } from "./crowd";
import type { CallerAddress } from "./singleDaemon";

const REQUEST =
  "POST /long/ HTTP/1.1\r\nHost: a.example\r\nRequest-Id: o\r\nRequest-Deadline: 60000\r\nContent-Length: 5\r\n\r\nhello";
/** Times that a refused request is sent, each after the time that the refusal states. */
const MAX_TRIES = 5;
const POLL_INTERVAL_MS = 20;
/** Polls until an answer is given up, so that the processes are ended. */
const MAX_POLLS = 3000;

/**
 * Sends one request with a body of 5 bytes, again after each refusal that states when to return.
 *
 * @param address - Address of the daemon.
 * @returns The last answer; empty when the connection ended without one.
 */
export async function sendOrdinaryRequest(address: CallerAddress): Promise<string> {
  let answer = "";
  for (let count = 0; count < MAX_TRIES; count += 1) {
    answer = await exchange(address);
    const retryAfterS = /^HTTP\/1\.1 503 [^]*\r\nretry-after: ([\d.]+)/.exec(answer)?.[1];
    if (retryAfterS === undefined) {
      return answer;
    }
    await sleep(systemClock, Number(retryAfterS) * 1000);
  }
  return answer;
}

async function exchange(address: CallerAddress): Promise<string> {
  const connection = openCrowdConnection(address, [REQUEST], true);
  const isEnded = () => /\r\n\r\n./.test(connection.read()) || connection.isClosed();
  for (let count = 0; count < MAX_POLLS && !isEnded(); count += 1) {
    await sleep(systemClock, POLL_INTERVAL_MS);
  }
  connection.close();
  return connection.read();
}
