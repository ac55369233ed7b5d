/** An operator's declaration that daemons or backend servers have stopped permanently. */
import { z } from "zod";
import type { DaemonRun, Generation, ServerName } from "../types";

/** Path of the stop notice in the object store. */
export const STOP_NOTICE_PATH = "operator/stopped";

const stopNoticeSchema = z.object({
  daemons: z.array(z.object({ daemon: z.string(), incarnation: z.number() })),
  servers: z.array(z.object({ server: z.string(), generation: z.int() })),
});

/** Daemon runs and servers that operators declared stopped. */
export interface StopNotice {
  readonly daemons: readonly DaemonRun[];
  /** A server counts as stopped only under the generation that it had at the time of the declaration. */
  readonly servers: readonly { readonly server: ServerName; readonly generation: Generation }[];
}

/**
 * Validates a stored stop notice.
 *
 * @param value - The stored value.
 * @returns The notice.
 * @throws ZodError when it is malformed.
 */
export function parseStopNotice(value: unknown): StopNotice {
  return stopNoticeSchema.parse(value);
}
