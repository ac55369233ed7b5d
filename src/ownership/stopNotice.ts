/** An operator's word that daemons or backend servers have stopped for good. */
import { z } from "zod";
import type { DaemonRun, Generation, ServerName } from "../types";

/** Path of the stop notice in the object API. */
export const STOP_NOTICE_PATH = "operator/stopped";

const stopNoticeSchema = z.object({
  daemons: z.array(z.object({ daemon: z.string(), incarnation: z.number() })),
  servers: z.array(z.object({ server: z.string(), generation: z.int() })),
});

/** Daemon runs and servers that operators declared stopped. */
export interface StopNotice {
  readonly daemons: readonly DaemonRun[];
  /** A server counts as stopped only under the generation at the time of the word. */
  readonly servers: readonly { readonly server: ServerName; readonly generation: Generation }[];
}

/**
 * Checks a stored stop notice.
 *
 * @param value - The stored value.
 * @returns The notice.
 * @throws ZodError when it is malformed.
 */
export function parseStopNotice(value: unknown): StopNotice {
  return stopNoticeSchema.parse(value);
}
