/** Permission to send one request to a backend server. */
import type { Epoch, RefusalReason, Slot } from "../types";

/** How a request that was sent has ended. */
export type WorkEnd = "answered" | "notSent" | "unresolved";

/** Permission to send one request. */
export interface WorkPermit {
  readonly slot: Slot | undefined;
  readonly epoch: Epoch | undefined;
  /** Aborted when the server is proved stopped. */
  readonly serverLost: AbortSignal;
  /** Takes note of the end. Call it exactly once. */
  end(end: WorkEnd, latencyMs: number | undefined): void;
}

/** Answer to a request for permission. */
export type WorkAdmission =
  | { readonly kind: "permitted"; readonly permit: WorkPermit }
  | { readonly kind: "refused"; readonly reason: RefusalReason };
