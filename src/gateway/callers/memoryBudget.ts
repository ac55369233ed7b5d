/** Limits on what is held for callers, and the choice of those to close when a limit is exceeded. No network. */

/** Memory of a VM whose settings state none. */
export const DEFAULT_MEMORY_MB = 350;
/** Maximum open descriptors on a VM whose settings state none. */
export const DEFAULT_MAX_DESCRIPTORS = 4100;
const BYTES_PER_MB = 1_000_000;
/** Memory of the process beside its JavaScript heap and what is held for callers, in MB. */
const RESERVE_MB = 90;
/** The rest of what is left goes to the fragments and the garbage that holding it leaves behind. */
const HELD_SHARE = 0.7;
/** Part of the VM's memory beside the reserve that heap and buffers may take before garbage is collected. */
const COLLECT_SHARE = 0.8;
/** Least limit, so that the garbage of a large heap alone closes no connection. */
const MIN_SHARED_MB = 16;
/** Limit for a single holder: one body of the largest size, 67,108,864 bytes, with its bookkeeping. */
const SINGLE_MB = 72;
/** Maximum of all others together with which a holder counts as a single one, in bytes. */
const MAX_BESIDE_SINGLE_BYTES = 8_000_000;
/** Limit on the estimates for requests and connections, which are objects of the JavaScript heap. */
const MAX_STATE_BYTES = 40_000_000;
/** Part of what a small VM has left beside one largest body that these estimates may take. */
const STATE_SHARE = 0.5;
/** Part of the VM's descriptors for callers; the others are for backend servers, the store and the log. */
const CONNECTION_SHARE = 0.6;
/** Added to the time without progress, so that size decides among holders that have just made some. */
const MIN_STALLED_MS = 200;
/** After the limit was exceeded, this share of it is left free, so that not each further byte needs a choice. */
const RELIEF_SHARE = 0.1;

/** Estimated memory of an open connection with its HTTP parser, in bytes. */
export const CONNECTION_BYTES = 12_288;
/** Estimated memory of a request with its header fields and its answer's head, in bytes. */
export const REQUEST_BYTES = 8192;
/** Estimated memory of a header field beside its text: strings, and its places in the lists of those read and sent. */
const FIELD_BYTES = 192;
/** Header fields up to this estimate are a part of {@link REQUEST_BYTES}. */
const USUAL_FIELDS_BYTES = 4096;
/** Estimated memory of a chunk beside its content, in bytes. */
export const CHUNK_BYTES = 256;

/** Limits on what is held for all callers together. */
export interface CallerBudget {
  /** Returns the limit on what all callers hold together, in bytes, with a JavaScript heap of a size in bytes beside it. */
  readonly getSharedBytes: (heapBytes: number) => number;
  /** Returns the limit on what a single holder has, in bytes, with such a heap; it fits one largest body. */
  readonly getSingleBytes: (heapBytes: number) => number;
  /** JavaScript heap and buffers together, in bytes, beyond which what is no longer held is to be freed. */
  readonly collectBytes: number;
  /** Limit on the estimates for connections and requests, in bytes. */
  readonly stateBytes: number;
  readonly maxConnections: number;
}

/** What is held for the connection of one caller. */
export interface Holder {
  /** Bytes of everything, estimates for the connection and its requests included. */
  readonly bytes: number;
  /** Time for which this daemon has waited for the caller without progress, in milliseconds; 0 while it does not wait. */
  readonly stalledMs: number;
}

/**
 * Derives the limits from those of the VM.
 *
 * @param memoryMb - Memory of the VM in MB.
 * @param maxDescriptors - Maximum open descriptors of the process.
 * @returns The limits.
 */
export function createCallerBudget(
  memoryMb = DEFAULT_MEMORY_MB,
  maxDescriptors = DEFAULT_MAX_DESCRIPTORS,
): CallerBudget {
  const freeBytes = (memoryMb - RESERVE_MB) * BYTES_PER_MB;
  const getSharedBytes = (heapBytes: number) =>
    Math.max(MIN_SHARED_MB * BYTES_PER_MB, (freeBytes - heapBytes) * HELD_SHARE);
  return {
    getSharedBytes,
    getSingleBytes: (heapBytes) => Math.max(SINGLE_MB * BYTES_PER_MB, getSharedBytes(heapBytes)),
    collectBytes: freeBytes * COLLECT_SHARE,
    stateBytes: Math.min(MAX_STATE_BYTES, Math.max(0, (freeBytes - SINGLE_MB * BYTES_PER_MB) * STATE_SHARE)),
    maxConnections: Math.max(1, Math.floor(maxDescriptors * CONNECTION_SHARE)),
  };
}

/**
 * Returns whether one holder has nearly everything: a single largest body is served even if several together may not
 * hold as much.
 *
 * @param largestBytes - What the largest holder has, in bytes.
 * @param heldBytes - What all hold, in bytes.
 * @returns Whether the largest holder counts as a single one.
 */
export function isSingleHolder(largestBytes: number, heldBytes: number): boolean {
  return heldBytes - largestBytes <= MAX_BESIDE_SINGLE_BYTES;
}

/**
 * Chooses the holders to close when a limit is exceeded: the largest and slowest first.
 *
 * @param holders - All holders.
 * @param heldBytes - What is held now, in bytes.
 * @param limitBytes - The limit, in bytes.
 * @returns The holders to close; empty while the limit is kept.
 */
export function chooseHoldersToClose<Each extends Holder>(
  holders: readonly Each[],
  heldBytes: number,
  limitBytes: number,
): readonly Each[] {
  if (heldBytes <= limitBytes) {
    return [];
  }
  const chosen: Each[] = [];
  let excess = heldBytes - limitBytes * (1 - RELIEF_SHARE);
  const ordered = [...holders].sort((left, right) => weigh(right) - weigh(left));
  for (const holder of ordered) {
    if (excess <= 0) {
      break;
    }
    chosen.push(holder);
    excess -= holder.bytes;
  }
  return chosen;
}

/**
 * Chooses the connection to close when there are too many: the one that has been idle for longest, or else the one
 * whose caller has been waited for the longest.
 *
 * @param connections - All connections, the newest last, without the one that was just accepted.
 * @returns The connection; undefined when none is idle or waited for.
 */
export function chooseConnectionToClose<
  Each extends { readonly stalledMs: number; readonly isIdle: boolean },
>(connections: Iterable<Each>): Each | undefined {
  let chosen: Each | undefined;
  for (const each of connections) {
    const isBetter =
      chosen === undefined ||
      (each.isIdle !== chosen.isIdle ? each.isIdle : each.stalledMs > chosen.stalledMs);
    if (each.stalledMs > 0 && isBetter) {
      chosen = each;
    }
  }
  return chosen;
}

/**
 * Estimates the memory of header fields.
 *
 * @param fields - Their number.
 * @param textBytes - Length of all names and values.
 * @returns The estimate in bytes, without the fields of an ordinary request.
 */
export function estimateFieldBytes(fields: number, textBytes: number): number {
  return Math.max(0, fields * FIELD_BYTES + textBytes - USUAL_FIELDS_BYTES);
}

function weigh({ bytes, stalledMs }: Holder): number {
  return bytes * (stalledMs + MIN_STALLED_MS);
}
