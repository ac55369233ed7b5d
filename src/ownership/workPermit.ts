/** Permission to send one request to a backend server. */
import type { Epoch, RefusalReason, Slot } from "../types";

/** How a permitted request ended. `unresolved`: it was sent, and its end is not known. */
export type WorkEnd = "answered" | "notSent" | "unresolved";

/** Permission to send one request. */
export interface WorkPermit {
  readonly slot: Slot | undefined;
  readonly epoch: Epoch | undefined;
  /** Aborted when the server is proved stopped. */
  readonly serverLost: AbortSignal;
  /** Records how the request ended, and its latency in milliseconds if known. Call it exactly once. */
  end(end: WorkEnd, latencyMs: number | undefined): void;
}

/** Result of a request for permission. */
export type WorkAdmission =
  | { readonly kind: "permitted"; readonly permit: WorkPermit }
  | { readonly kind: "refused"; readonly reason: RefusalReason };
