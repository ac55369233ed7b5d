/** Planned stop of a daemon process that is paused most of the time while callers connect without a break. */
import { expect, test } from "vitest";
import { connectCaller, formatRequest } from "./support/plannedStop";
import { startSingleDaemon } from "./support/singleDaemon";

/** Determines the addresses of the daemon process; no soak uses it. */
const PROCESS_SEED = 198;
/** More than the requests in flight at any time. */
const CAPACITY = 1000;
const MAX_CONNECTIONS = 100_000;
const GRACE_MS = 6000;
const DEADLINE_MS = 3000;
/** More requests than the daemon handles while it is paused. */
const ARRIVAL_INTERVAL_MS = 4;
/** Maximum time that the backend server takes for a request. */
const ANSWER_INTERVAL_MS = 150;
const UNPAUSED_MS = 300;
const LOADED_BEFORE_STOP_MS = 1500;
const PROCESS_TIMEOUT_MS = 120_000;
/** Events that a shutdown ends with. */
const SHUTDOWN_ENDED = /"event":100[45],/;
/** Promises that the request has not run. */
const REFUSAL = "HTTP/1.1 503";

const wait = (ms: number) => new Promise((resolve) => setTimeout(resolve, ms));

// Guards against a daemon short of processor time that accepts connections until it is killed at the end of the grace
// period, against answers that are cut by its exit, and against requests that run although they were refused.
test.each([
  { pausedMs: 150, runningMs: 20 },
  { pausedMs: 300, runningMs: 30 },
])(
  "a daemon that runs for $runningMs ms between pauses of $pausedMs ms ends by itself and cuts no request",
  async ({ pausedMs, runningMs }) => {
    const limits = { capacity: CAPACITY, maxConns: MAX_CONNECTIONS };
    const { daemon, begun, answer, close } = await startSingleDaemon(PROCESS_SEED, limits);
    const answered = new Set<string>();
    const refused = new Set<string>();
    let sent = 0;
    let isLoaded = true;
    let isPaced = true;
    const send = () => {
      sent += 1;
      const id = `r${sent}`;
      const caller = connectCaller(daemon.callerPort, daemon.host);
      caller.socket.write(formatRequest("/long/1", DEADLINE_MS).replace("q1", id));
      // The process has ended then. It is started again, and its next start is no part of the stop.
      caller.socket.once("error", ({ message }) => (isLoaded &&= !message.includes("ECONNREFUSED")));
      caller.socket.once("close", () => {
        if (caller.getHead() !== "") {
          answered.add(id);
        }
        if (caller.getHead().startsWith(REFUSAL)) {
          refused.add(id);
        }
      });
    };
    const load = setInterval(() => {
      if (isLoaded) {
        send();
      }
    }, ARRIVAL_INTERVAL_MS);
    const answers = setInterval(answer, ANSWER_INTERVAL_MS);
    const pauseRepeatedly = async () => {
      while (isPaced) {
        daemon.pause();
        await wait(pausedMs);
        daemon.resume();
        await wait(runningMs);
      }
    };
    try {
      await wait(UNPAUSED_MS);
      const paused = pauseRepeatedly();
      await wait(LOADED_BEFORE_STOP_MS);
      daemon.terminate();
      await wait(GRACE_MS);
      isLoaded = false;
      isPaced = false;
      daemon.kill();
      await paused;
      const cut = [...begun].filter((id) => !answered.has(id));
      const runRefused = [...refused].filter((id) => begun.has(id));
      const hasEnded = SHUTDOWN_ENDED.test(daemon.readLog());
      expect({ cut, runRefused, hasEnded }).toEqual({ cut: [], runRefused: [], hasEnded: true });
      expect(answered.size).toBeGreaterThan(0);
    } finally {
      clearInterval(load);
      clearInterval(answers);
      await close();
    }
  },
  PROCESS_TIMEOUT_MS,
);
