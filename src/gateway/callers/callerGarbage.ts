/** Decides when the garbage collector is run to free what was held for callers and has been dropped. */

/** Growth or dropped bytes below which a collection frees too little for the pause that it causes. */
const MIN_COLLECTED_BYTES = 8_000_000;

/** Options for {@link createCallerGarbage}. */
export interface CallerGarbageOptions {
  /** JavaScript heap and buffers together, in bytes, beyond which what is no longer held is to be freed. */
  readonly collectBytes: number;
  /** Returns the size of the JavaScript heap in bytes. */
  readonly measureHeap: () => number;
  /** Returns the memory of all buffers in bytes, those that are not freed yet included. */
  readonly measureBuffers?: () => number;
  /** Frees the memory of what is no longer held; without it, Node.js does so when it sees fit. */
  readonly collectGarbage?: () => void;
}

/** Count of what was dropped and may not be freed yet. */
export interface CallerGarbage {
  /** Records bytes of buffers that were dropped. */
  addDropped(bytes: number): void;
  /** Records the estimate for header fields that were dropped, in bytes. */
  addDroppedFields(bytes: number): void;
  /** Records what a connection held that was closed, in bytes. */
  addClosed(bytes: number): void;
  /** Returns the bytes of dropped buffers that may not be freed yet. */
  countDropped(): number;
  /**
   * Frees dropped buffers when they exceed the limit together with what is held.
   *
   * @param heldBytes - What is held, in bytes.
   * @param heldBufferBytes - Buffers among it, in bytes.
   * @param limitBytes - The limit, in bytes.
   */
  collectDropped(heldBytes: number, heldBufferBytes: number, limitBytes: number): void;
  /** Runs the garbage collector when the process is larger than what is held explains. */
  collectIfLarge(): void;
}

/**
 * Creates the count, with nothing dropped.
 *
 * @param options - Limit, measurements and garbage collector.
 * @returns The count.
 */
export function createCallerGarbage(options: CallerGarbageOptions): CallerGarbage {
  const { collectBytes, measureHeap, measureBuffers, collectGarbage } = options;
  let droppedBytes = 0;
  /** Since the size of the process was last checked. */
  let droppedFieldBytes = 0;
  /** Since the garbage collector was last run for the size of the process. */
  let closedBytes = 0;
  /** Size of heap and buffers after the garbage collector was last run for it, or the least since. */
  let leastBytes = 0;

  return {
    addDropped: (bytes) => {
      droppedBytes += bytes;
    },
    addDroppedFields: (bytes) => {
      droppedFieldBytes += bytes;
      if (droppedFieldBytes >= MIN_COLLECTED_BYTES) {
        collectIfLarge();
      }
    },
    addClosed: (bytes) => {
      closedBytes += bytes;
    },
    countDropped: () => droppedBytes,
    collectDropped: (heldBytes, heldBufferBytes, limitBytes) => {
      if (heldBytes + droppedBytes <= limitBytes) {
        return;
      }
      // Node.js may have freed some of them in the meantime.
      const bufferBytes = measureBuffers?.() ?? Number.POSITIVE_INFINITY;
      droppedBytes = Math.min(droppedBytes, Math.max(0, bufferBytes - heldBufferBytes));
      if (droppedBytes >= MIN_COLLECTED_BYTES && heldBytes + droppedBytes > limitBytes) {
        collectGarbage?.();
        droppedBytes = 0;
      }
    },
    collectIfLarge,
  };

  function collectIfLarge(): void {
    droppedFieldBytes = 0;
    const measuredBytes = measure();
    leastBytes = Math.min(leastBytes, measuredBytes);
    const isMuchToFree =
      measuredBytes >= leastBytes + MIN_COLLECTED_BYTES || closedBytes >= MIN_COLLECTED_BYTES;
    if (measuredBytes > collectBytes && isMuchToFree) {
      collectGarbage?.();
      droppedBytes = 0;
      closedBytes = 0;
      leastBytes = measure();
    }
  }

  function measure(): number {
    return measureHeap() + (measureBuffers?.() ?? 0);
  }
}
