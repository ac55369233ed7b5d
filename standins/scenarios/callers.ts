/**
 * Callers that send open-loop load: requests start on schedule, whether or not earlier ones have been
 * answered, and latency counts from the scheduled start.
 */
import { type Histogram, build } from "hdr-histogram-js";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { Agent, request } from "undici";
import { createContent } from "../backendServer/backendServer";

const MAX_LATENCY_US = 120_000_000;
const TICK_INTERVAL_MS = 2;
const ANSWER_TIMEOUT_MS = 30_000;

/** A request that a caller sends. */
export interface CallerRequest {
  readonly url: string;
  readonly method: "GET" | "POST";
  /** Identifies the request in the results and, as the parameter `caller` of its URL, in the run records. */
  readonly callerId: string;
  readonly headers?: Readonly<Record<string, string>>;
  /** Size of the expected download in bytes; undefined for a request whose answer names its key. */
  readonly bytes?: number;
}

/** Result of one request as its caller saw it. */
export interface CallerResult {
  readonly callerId: string;
  readonly method: string;
  /**
   * `whole` for a complete answer with the expected content, `wrong content` for an answer with any other,
   * the reason of a refusal, `status N` for a refusal without a reason, or `broken` when no complete answer
   * that can be parsed arrived in time.
   */
  readonly end: string;
  /** `run` for status 200, the outcome header of a refusal, or the error message of a `broken` request. */
  readonly outcome: string;
  /** Scheduled start in milliseconds on the clock of `performance.now()`. */
  readonly startedAt: number;
  readonly latencyMs: number;
}

/** Sends requests and records their results. */
export interface Callers {
  /** Sends `rate` requests per second for `durationMs`; resolves when all have ended. */
  send(rate: number, durationMs: number, createRequest: (index: number) => CallerRequest): Promise<void>;
  /** Sends one request at once; resolves with its result. */
  sendOne(callerRequest: CallerRequest): Promise<CallerResult>;
  /** Returns the results of all requests that have ended. */
  getResults(): readonly CallerResult[];
  /** Latency of the requests that ended as `whole`, in microseconds. */
  readonly latency: Histogram;
  close(): Promise<void>;
}

/**
 * Creates callers that share one pool of connections.
 *
 * @returns The callers.
 */
export function createCallers(): Callers {
  const agent = new Agent({ connections: 512, pipelining: 1 });
  const results: CallerResult[] = [];
  const latency = build({ highestTrackableValue: MAX_LATENCY_US, numberOfSignificantValueDigits: 3 });

  return {
    latency,
    getResults: () => results,
    close: () => agent.destroy(),
    sendOne: (callerRequest) => sendAt(callerRequest, performance.now()),
    send: async (rate, durationMs, createRequest) => {
      const startedAt = performance.now();
      const total = Math.floor((rate * durationMs) / 1000);
      const pending: Promise<CallerResult>[] = [];
      while (pending.length < total) {
        const dueCount = Math.min(total, Math.floor(((performance.now() - startedAt) * rate) / 1000));
        while (pending.length < dueCount) {
          const index = pending.length;
          pending.push(sendAt(createRequest(index), startedAt + (index * 1000) / rate));
        }
        await new Promise((resolve) => setTimeout(resolve, TICK_INTERVAL_MS));
      }
      await Promise.all(pending);
    },
  };

  async function sendAt(callerRequest: CallerRequest, scheduledAt: number): Promise<CallerResult> {
    const { callerId, method } = callerRequest;
    const ended = await executeRequest(callerRequest);
    const latencyMs = performance.now() - scheduledAt;
    if (ended.end === "whole") {
      latency.recordValue(Math.max(1, Math.round(latencyMs * 1000)));
    }
    const result = { callerId, method, ...ended, startedAt: scheduledAt, latencyMs };
    results.push(result);
    return result;
  }

  async function executeRequest(callerRequest: CallerRequest): Promise<{ end: string; outcome: string }> {
    try {
      const response = await request(callerRequest.url, {
        method: callerRequest.method,
        dispatcher: agent,
        signal: AbortSignal.timeout(ANSWER_TIMEOUT_MS),
        ...(callerRequest.headers === undefined ? {} : { headers: callerRequest.headers }),
        ...(callerRequest.method === "POST" ? { body: "{}" } : {}),
      });
      const content = Buffer.from(await response.body.arrayBuffer());
      if (response.statusCode === 200) {
        return {
          end: hasExpectedContent(callerRequest, content) ? "whole" : "wrong content",
          outcome: "run",
        };
      }
      const reason = response.headers["x-hemlockbank-reason"];
      const outcome = response.headers["x-hemlockbank-outcome"];
      return {
        end: typeof reason === "string" ? reason : `status ${response.statusCode}`,
        outcome: String(outcome),
      };
    } catch (error) {
      return { end: "broken", outcome: error instanceof Error ? error.message : "unknown" };
    }
  }
}

/** Returns whether a download has its generated content, or a small answer names the key of its request. */
function hasExpectedContent(callerRequest: CallerRequest, content: Buffer): boolean {
  if (callerRequest.bytes !== undefined) {
    return content.equals(createContent(0, callerRequest.bytes));
  }
  const parts = new URL(callerRequest.url).pathname.split("/");
  return parts.includes((JSON.parse(content.toString()) as { key: string }).key);
}

/**
 * Creates a uniform random number generator.
 *
 * @param seed - Seed; the same seed gives the same numbers.
 * @returns A function that returns numbers in [0, 1).
 */
export function createRandom(seed: number): () => number {
  const generator = xoroshiro128plus(seed);
  return () => (generator.next() >>> 0) / 2 ** 32;
}

/**
 * Creates a generator of ranks with a Zipf distribution.
 *
 * @param count - Number of ranks.
 * @param exponent - Exponent of the distribution.
 * @param random - Uniform random numbers in [0, 1).
 * @returns A function that returns ranks from 0, which is the most frequent one.
 */
export function createZipf(count: number, exponent: number, random: () => number): () => number {
  const cumulative = new Float64Array(count);
  let sum = 0;
  for (let rank = 0; rank < count; rank += 1) {
    sum += 1 / (rank + 1) ** exponent;
    cumulative[rank] = sum;
  }
  return () => {
    const target = random() * sum;
    let low = 0;
    let high = count - 1;
    while (low < high) {
      const middle = (low + high) >> 1;
      if ((cumulative[middle] ?? 0) < target) {
        low = middle + 1;
      } else {
        high = middle;
      }
    }
    return low;
  };
}
