/** Estimates the memory of header and trailer fields that the HTTP parser keeps until their end has arrived. */
import { estimateFieldBytes } from "./memoryBudget";

/** Limits of the HTTP parser on what it keeps. */
const MAX_FIELDS = 1000;
const MAX_TEXT_BYTES = 65_536;
const LINE_FEED = 10;

/** Options for {@link createHeadEstimate}. */
export interface HeadEstimateOptions {
  /** Counts the requests whose heads are complete. */
  readonly countRequests: () => number;
  /** Returns a number that changes with each part of a body. */
  readonly countBodyRest: () => number;
  /** Called with the change of the estimate, in bytes. */
  readonly onChange: (change: number) => void;
}

/**
 * Creates the estimate of one connection.
 *
 * @param options - What the parser has completed, and the listener.
 * @returns A function to be called before each piece is parsed; the function that it returns is to be called afterwards.
 */
export function createHeadEstimate(options: HeadEstimateOptions): (piece: Buffer) => () => void {
  let fields = 0;
  let textBytes = 0;
  let estimate = 0;

  return (piece) => {
    const requests = options.countRequests();
    const bodyRest = options.countBodyRest();
    return () => {
      if (options.countRequests() !== requests || options.countBodyRest() !== bodyRest) {
        fields = 0;
        textBytes = 0;
      } else {
        fields = Math.min(MAX_FIELDS, fields + countLines(piece));
        textBytes = Math.min(MAX_TEXT_BYTES, textBytes + piece.byteLength);
      }
      const current = estimateFieldBytes(fields, textBytes);
      if (current !== estimate) {
        const change = current - estimate;
        estimate = current;
        options.onChange(change);
      }
    };
  };
}

function countLines(piece: Buffer): number {
  let count = 0;
  for (let index = piece.indexOf(LINE_FEED); index !== -1; index = piece.indexOf(LINE_FEED, index + 1)) {
    count += 1;
  }
  return count;
}
