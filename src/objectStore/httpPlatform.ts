/** HTTP clients of the platform's object store and VM list. */
import { Agent } from "undici";
import { z } from "zod";
import { PlatformUnavailableError, describeError } from "../errors";
import { type Clock, systemClock } from "../types";
import { callOverHttp } from "./httpCall";
import { createRateLimiter } from "./rateLimiter";
import { CallPriority, type ObjectStore, type VmList, type VmRecord, type WriteResult } from "./types";

const MAX_CONNECTIONS = 4;
const WATCH_MARGIN_MS = 1000;
const HTTP_OK = 200;
const HTTP_NOT_FOUND = 404;
const HTTP_CONFLICT = 409;

const storedObjectSchema = z.object({ path: z.string(), version: z.int(), value: z.unknown() });
const conflictSchema = z.object({ current: storedObjectSchema.nullable() });
const writtenSchema = z.object({ version: z.int() });
const changesSchema = z.object({ objects: z.array(storedObjectSchema), version: z.int() });
const vmListSchema = z.object({
  vms: z.array(
    z.object({ host: z.string(), port: z.int(), dataCentre: z.string(), state: z.enum(["live", "leaving"]) }),
  ),
});

/** Options for {@link createHttpPlatform}. */
export interface HttpPlatformOptions {
  readonly url: string;
  readonly timeoutMs: number;
  readonly writesPerSecond: number;
  readonly readsPerSecond: number;
}

/** Clients of the platform, which share their connections. */
export interface Platform {
  readonly objects: ObjectStore;
  readonly vms: VmList;
  /** Closes the connections. */
  close(): Promise<void>;
}

interface Answer {
  readonly status: number;
  readonly body: unknown;
}

/**
 * Creates the HTTP clients. Calls wait until the daemon's share of the platform's rate limits permits them.
 *
 * @param options - Address, timeout and rate limits.
 * @param clock - Clock of the time and rate limits.
 * @returns The clients.
 */
export function createHttpPlatform(options: HttpPlatformOptions, clock: Clock = systemClock): Platform {
  const agent = new Agent({ connections: MAX_CONNECTIONS, connect: { timeout: options.timeoutMs } });
  const reads = createRateLimiter(clock, options.readsPerSecond);
  const writes = createRateLimiter(clock, options.writesPerSecond);

  const objects: ObjectStore = {
    read: async (path, priority) => {
      await reads.acquire(priority);
      const answer = await call("read", "GET", `/objects/${encodePath(path)}`);
      return answer.status === HTTP_NOT_FOUND ? undefined : storedObjectSchema.parse(answer.body);
    },
    write: async (path, value, base, priority) => {
      await writes.acquire(priority);
      const answer = await call(
        "write",
        "PUT",
        `/objects/${encodePath(path)}?base=${base}`,
        JSON.stringify({ value }),
      );
      return parseWriteResult(answer);
    },
    list: async (prefix, priority) => {
      await reads.acquire(priority);
      const answer = await call("list", "GET", `/objects?prefix=${encodeURIComponent(prefix)}`);
      return changesSchema.parse(answer.body);
    },
    watch: async (prefix, since, { waitMs, signal }) => {
      await reads.acquire(CallPriority.Configuration);
      const path = `/watch?prefix=${encodeURIComponent(prefix)}&since=${since}&wait=${waitMs}`;
      const answer = await call("watch", "GET", path, undefined, waitMs + WATCH_MARGIN_MS, signal);
      return changesSchema.parse(answer.body);
    },
  };

  const vms: VmList = {
    list: async () => {
      await reads.acquire(CallPriority.Status);
      const answer = await call("list VMs", "GET", "/vms");
      return vmListSchema.parse(answer.body).vms.map(parseVm);
    },
  };

  return { objects, vms, close: () => agent.destroy() };

  async function call(
    step: string,
    method: "GET" | "PUT",
    path: string,
    body?: string,
    timeoutMs: number = options.timeoutMs,
    signal?: AbortSignal,
  ): Promise<Answer> {
    try {
      const answer = await callOverHttp(agent, clock, {
        url: `${options.url}${path}`,
        method,
        body,
        timeoutMs,
        signal,
      });
      return { status: checkStatus(answer.status), body: JSON.parse(answer.text) };
    } catch (error) {
      throw new PlatformUnavailableError(`platform ${step} failed: ${describeError(error)}`, {
        props: { step, peer: options.url },
      });
    }
  }
}

function checkStatus(status: number): number {
  if (status !== HTTP_OK && status !== HTTP_NOT_FOUND && status !== HTTP_CONFLICT) {
    throw new Error(`unexpected HTTP status ${status}`);
  }
  return status;
}

function parseWriteResult(answer: Answer): WriteResult {
  if (answer.status === HTTP_CONFLICT) {
    return {
      kind: "conflict",
      current: conflictSchema.parse(answer.body).current ?? undefined,
    };
  }
  return { kind: "written", version: writtenSchema.parse(answer.body).version };
}

function parseVm(vm: z.output<typeof vmListSchema>["vms"][number]): VmRecord {
  return { address: { host: vm.host, port: vm.port }, dataCentre: vm.dataCentre, state: vm.state };
}

function encodePath(path: string): string {
  return path.split("/").map(encodeURIComponent).join("/");
}
