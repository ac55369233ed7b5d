/** Callers of a soak that send several requests on one connection before the first one is answered. */
import { connect } from "node:net";
import { WireHeader } from "../../platform/wireNames";
import { sleep, systemClock } from "../../src/types";
import { type ConnectedDaemon, SOAK_HOST, SOAK_TIMEOUT_MS, SoakKey } from "./deployment";

const SERIES_INTERVAL_MS = 150;
const MAX_SERIES_LENGTH = 6;
/** Longer than all requests of a series may take. */
const SERIES_TIMEOUT_MS = 4 * SOAK_TIMEOUT_MS;
const KEY_COUNT = 65_536;

/** One series of requests on a connection. */
export interface SeriesRecord {
  readonly requestIds: readonly string[];
  /** Identifiers in the order of the answers. */
  readonly answeredIds: readonly string[];
  /** Whether the last answer announced the close of the connection. */
  readonly isClosedByAnswer: boolean;
}

/** Options for {@link createPipeliningCallers}. */
export interface PipeliningCallersOptions {
  readonly seed: number;
  /** Returns a seeded random integer from 0 to below its argument. */
  readonly randomInt: (limit: number) => number;
  readonly daemons: readonly ConnectedDaemon[];
}

/** Callers that send ahead. */
export interface PipeliningCallers {
  readonly series: readonly SeriesRecord[];
  /** Sends series until aborted; resolves when all have ended. */
  run(signal: AbortSignal): Promise<void>;
}

/**
 * Creates the callers.
 *
 * @param options - Seed, random numbers and daemons.
 * @returns The callers.
 */
export function createPipeliningCallers(options: PipeliningCallersOptions): PipeliningCallers {
  const { seed, randomInt, daemons } = options;
  const series: SeriesRecord[] = [];

  return {
    series,
    run: async (signal) => {
      const pending = new Set<Promise<void>>();
      for (let index = 0; !signal.aborted; index += 1) {
        const call = sendSeries(index).finally(() => pending.delete(call));
        pending.add(call);
        await sleep(systemClock, SERIES_INTERVAL_MS);
      }
      await Promise.all(pending);
    },
  };

  async function sendSeries(index: number): Promise<void> {
    const connected = daemons[randomInt(daemons.length)];
    if (connected === undefined) {
      return;
    }
    const count = 2 + randomInt(MAX_SERIES_LENGTH - 1);
    const requestIds = Array.from({ length: count }, (_, position) => `p${seed}-${index}-${position}`);
    const url = new URL(connected.daemon.url);
    const received = await exchange(url.hostname, Number(url.port), requestIds);
    series.push({ requestIds, ...readAnswers(received, requestIds.length) });
  }

  /** Sends all requests at once and returns what comes until the connection ends or all are answered. */
  function exchange(host: string, port: number, requestIds: readonly string[]): Promise<string> {
    return new Promise((resolve) => {
      const socket = connect(port, host);
      let received = "";
      const finish = () => {
        cancel();
        socket.destroy();
        resolve(received);
      };
      const cancel = systemClock.schedule(SERIES_TIMEOUT_MS, finish);
      socket.on("data", (chunk) => {
        received += chunk.toString("latin1");
        if (readAnswers(received, requestIds.length).answeredIds.length === requestIds.length) {
          finish();
        }
      });
      socket.once("error", finish);
      socket.once("close", finish);
      socket.write(requestIds.map(formatRequest).join(""));
    });
  }

  function formatRequest(requestId: string): string {
    const fields = [
      `Host: ${SOAK_HOST}`,
      `${WireHeader.RequestId}: ${requestId}`,
      `${WireHeader.RemainingMs}: ${SOAK_TIMEOUT_MS}`,
      `${WireHeader.Key}: ${randomInt(KEY_COUNT)}`,
      `${WireHeader.Authorization}: Bearer ${SoakKey.regular}`,
    ];
    return `GET /lookup/x HTTP/1.1\r\n${fields.join("\r\n")}\r\n\r\n`;
  }
}

/** Reads the complete answers. An answer without an identifier, or with extra bytes before it, counts as foreign. */
function readAnswers(
  received: string,
  maxCount: number,
): Pick<SeriesRecord, "answeredIds" | "isClosedByAnswer"> {
  const answeredIds: string[] = [];
  let isClosedByAnswer = false;
  let rest = received;
  while (answeredIds.length <= maxCount) {
    const end = rest.indexOf("\r\n\r\n");
    if (end === -1) {
      break;
    }
    const head = rest.slice(0, end);
    const length = Number(/^content-length: *(\d+)/im.exec(head)?.[1] ?? 0);
    const bodyEnd = end + 4 + length;
    if (rest.length < bodyEnd) {
      break;
    }
    const [, id = ""] = new RegExp(`^${WireHeader.RequestId}: *(\\S+)`, "im").exec(head) ?? [];
    answeredIds.push(head.startsWith("HTTP/1.1 ") ? id : "foreign");
    isClosedByAnswer = /^connection: *close/im.test(head);
    rest = rest.slice(bodyEnd);
  }
  return { answeredIds, isClosedByAnswer };
}
