/** Callers of a soak whose organisation sends far more than its allowance, some of them without a valid API key. */
import { Agent, request } from "undici";
import { WireHeader } from "../../platform/wireNames";
import { sleep, systemClock } from "../../src/types";
import { type ConnectedDaemon, SOAK_HOST, SOAK_TIMEOUT_MS, SoakKey } from "./deployment";

/** Eight times the allowance. */
const REQUEST_INTERVAL_MS = 25;
/** One request of this many has no valid API key. */
const UNAUTHORIZED_EVERY = 9;
const CONNECTIONS = 16;

/** One request of these callers. */
export interface BoundedRecord {
  readonly requestId: string;
  readonly hasValidKey: boolean;
  /** HTTP status; undefined when there was no answer. */
  readonly status: number | undefined;
}

/** Options for {@link createBoundedCallers}. */
export interface BoundedCallersOptions {
  readonly seed: number;
  /** Returns a seeded random integer from 0 to below its argument. */
  readonly randomInt: (limit: number) => number;
  readonly daemons: readonly ConnectedDaemon[];
}

/** Callers of an organisation with an allowance. */
export interface BoundedCallers {
  readonly records: readonly BoundedRecord[];
  /** Sends requests until aborted; resolves when all have ended. */
  run(signal: AbortSignal): Promise<void>;
}

/**
 * Creates the callers.
 *
 * @param options - Seed, random numbers and daemons.
 * @returns The callers.
 */
export function createBoundedCallers(options: BoundedCallersOptions): BoundedCallers {
  const { seed, randomInt, daemons } = options;
  const records: BoundedRecord[] = [];
  const agent = new Agent({ connections: CONNECTIONS, pipelining: 1 });

  return {
    records,
    run: async (signal) => {
      const pending = new Set<Promise<void>>();
      for (let index = 0; !signal.aborted; index += 1) {
        const call = sendOne(index).finally(() => pending.delete(call));
        pending.add(call);
        await sleep(systemClock, REQUEST_INTERVAL_MS);
      }
      await Promise.all(pending);
      await agent.destroy();
    },
  };

  async function sendOne(index: number): Promise<void> {
    const url = daemons[randomInt(daemons.length)]?.daemon.url ?? "";
    const requestId = `b${seed}-${index}`;
    const hasValidKey = index % UNAUTHORIZED_EVERY !== 0;
    const status = await sendRequest(url, requestId, hasValidKey ? SoakKey.bounded : "unknown");
    records.push({ requestId, hasValidKey, status });
  }

  async function sendRequest(url: string, requestId: string, apiKey: string): Promise<number | undefined> {
    try {
      const answer = await request(`${url}/order/x`, {
        dispatcher: agent,
        headers: {
          host: SOAK_HOST,
          [WireHeader.RequestId]: requestId,
          [WireHeader.RemainingMs]: String(SOAK_TIMEOUT_MS),
          [WireHeader.Authorization]: `Bearer ${apiKey}`,
          // A name that the caller claims must not reach a server.
          [WireHeader.Tenant]: "claimed",
        },
        signal: AbortSignal.timeout(2 * SOAK_TIMEOUT_MS),
      });
      await answer.body.dump();
      return answer.statusCode;
    } catch {
      return undefined;
    }
  }
}
