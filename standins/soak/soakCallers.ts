/** Callers of a soak: send requests of all kinds at a steady rate and record the result of each. */
import { Agent, request } from "undici";
import { WireHeader } from "../../platform/wireNames";
import { createAnswer } from "../edge/backendServer";
import { sleep, systemClock } from "../../src/types";
import type { SoakDaemon } from "./daemons";
import {
  AnswerBytes,
  type ConnectedDaemon,
  SOAK_HOST,
  SOAK_TIMEOUT_MS,
  SoakKey,
  getAddedPrefix,
} from "./deployment";
import type { AttemptRecord } from "./promises";

const REQUESTS_PER_SECOND = 60;
const MILLISECONDS_PER_SECOND = 1000;
const TICK_INTERVAL_MS = 10;
/** Longer than the request's deadline, so that an answer missing by then is the daemon's failure. */
const REQUEST_TIMEOUT_MS = 2 * SOAK_TIMEOUT_MS;
const KEY_COUNT = 65_536;
const CONNECTIONS = 200;
/** Time without a disturbance after which a daemon has recovered from the last one. */
const MIN_UNDISTURBED_MS = 3000;
/** Time within which a configuration must be in force everywhere. */
const CONFIGURATION_LIMIT_MS = 2000;
/** Callers that leave early do so within this time. */
const MAX_DEPARTURE_MS = 150;

interface SoakRequest {
  readonly daemon: SoakDaemon;
  readonly kind: AttemptRecord["kind"];
  /** First part of the path, which selects the route. */
  readonly path: string;
  readonly requestId: string;
  /** When the caller leaves, in milliseconds; undefined when it waits for its timeout. */
  readonly leavesAfterMs: number | undefined;
}

/** Options for {@link createSoakCallers}. */
export interface SoakCallersOptions {
  readonly seed: number;
  /** Returns a seeded random integer from 0 to below its argument. */
  readonly randomInt: (limit: number) => number;
  readonly daemons: readonly ConnectedDaemon[];
  /** Returns whether for `ms` no fault has changed a link or the process of a backend server. */
  readonly areLinksUndisturbedFor: (ms: number) => boolean;
  /** Returns the version of the newest route that was added at least `ms` ago. */
  readonly findAddedRoute: (ms: number) => number | undefined;
}

/** The callers of a soak. */
export interface SoakCallers {
  readonly attempts: readonly AttemptRecord[];
  /** Sends requests until aborted; resolves when all have ended. */
  run(signal: AbortSignal): Promise<void>;
}

/**
 * Creates the callers of a soak.
 *
 * @param options - Seed, random numbers and daemons.
 * @returns The callers.
 */
export function createSoakCallers(options: SoakCallersOptions): SoakCallers {
  const { seed, randomInt, daemons } = options;
  const attempts: AttemptRecord[] = [];
  const agent = new Agent({ connections: CONNECTIONS, pipelining: 1 });

  return {
    attempts,
    run: async (signal) => {
      const pending = new Set<Promise<void>>();
      const startedAt = performance.now();
      let sent = 0;
      while (!signal.aborted) {
        const dueCount = ((performance.now() - startedAt) * REQUESTS_PER_SECOND) / MILLISECONDS_PER_SECOND;
        for (; sent < dueCount; sent += 1) {
          const call = sendOne(sent).finally(() => pending.delete(call));
          pending.add(call);
        }
        await sleep(systemClock, TICK_INTERVAL_MS);
      }
      await Promise.all(pending);
      await agent.destroy();
    },
  };

  async function sendOne(index: number): Promise<void> {
    const connected = daemons[randomInt(daemons.length)];
    if (connected === undefined) {
      return;
    }
    const { daemon, endpoint } = connected;
    const addedVersion = index % 7 === 0 ? options.findAddedRoute(CONFIGURATION_LIMIT_MS) : undefined;
    const kind = addedVersion === undefined ? chooseKind(index) : "added";
    const path = addedVersion === undefined ? kind : getAddedPrefix(addedVersion);
    const leavesAfterMs = index % 11 === 0 ? randomInt(MAX_DEPARTURE_MS) : undefined;
    const requestId = `s${seed}-${index}`;
    const sentAt = performance.now();
    const wasUndisturbed = isUndisturbed(daemon);
    const wasStopping = daemon.isStopping();
    const wasOrderly = isOrderly(connected);
    const { status, isWhole, leftAt } = await sendRequest({ daemon, kind, path, requestId, leavesAfterMs });
    const endedAt = performance.now();
    attempts.push({
      requestId,
      daemon: daemon.name,
      kind,
      sentAt,
      endedAt,
      leftAt,
      status,
      isWhole,
      isUndisturbed: wasUndisturbed && isUndisturbed(daemon),
      daemonDisturbedAt: daemon.getDisturbedAt(),
      isDaemonUndisturbed: daemon.isUndisturbedFor(endedAt - sentAt + MIN_UNDISTURBED_MS),
      wasStopping: wasStopping || daemon.isStopping(),
      isOrderly: wasOrderly && isOrderly(connected),
      isInTouch:
        daemon.isUndisturbedFor(endedAt - sentAt + MIN_UNDISTURBED_MS) &&
        endpoint.isHealthyFor(endedAt - sentAt + MIN_UNDISTURBED_MS),
    });
  }

  async function sendRequest({
    daemon,
    kind,
    path,
    requestId,
    leavesAfterMs,
  }: SoakRequest): Promise<Pick<AttemptRecord, "status" | "isWhole" | "leftAt">> {
    const departure = AbortSignal.timeout(leavesAfterMs ?? REQUEST_TIMEOUT_MS);
    try {
      const answer = await request(`${daemon.url}/${path}/x`, {
        dispatcher: agent,
        method: kind === "order" ? "POST" : "GET",
        headers: {
          host: SOAK_HOST,
          [WireHeader.RequestId]: requestId,
          [WireHeader.RemainingMs]: String(SOAK_TIMEOUT_MS),
          [WireHeader.Key]: String(randomInt(KEY_COUNT)),
          [WireHeader.Authorization]: `Bearer ${SoakKey.regular}`,
        },
        ...(kind === "order" ? { body: requestId } : {}),
        signal: departure,
      });
      const content = Buffer.from(await answer.body.arrayBuffer());
      const expected = createAnswer(requestId, kind === "bundle" ? AnswerBytes.bundle : AnswerBytes.short);
      const isSigned = answer.headers[WireHeader.Signature] === `signed-${requestId}`;
      return { status: answer.statusCode, isWhole: isSigned && content.equals(expected), leftAt: undefined };
    } catch {
      // After a broken connection or a departure the outcome is unknown; the record then has no status.
      const leftAt = departure.aborted ? performance.now() : undefined;
      return { status: undefined, isWhole: false, leftAt };
    }
  }

  function isOrderly({ daemon }: ConnectedDaemon): boolean {
    return daemon.isOrderlyFor(MIN_UNDISTURBED_MS) && options.areLinksUndisturbedFor(MIN_UNDISTURBED_MS);
  }

  function isUndisturbed(daemon: SoakDaemon): boolean {
    return daemon.isUndisturbedFor(MIN_UNDISTURBED_MS) && options.areLinksUndisturbedFor(MIN_UNDISTURBED_MS);
  }
}

function chooseKind(index: number): AttemptRecord["kind"] {
  return index % 5 === 0 ? "bundle" : index % 3 === 0 ? "order" : "lookup";
}
