/** Writes lines to a file descriptor without ever blocking on its reader. */
import { write } from "node:fs";
import { Writable } from "node:stream";

/** Maximum lines buffered for a slow reader; further lines are dropped and counted. */
const MAX_WAITING_LINES = 2000;
/** Maximum lines in one write. */
const MAX_LINES_PER_WRITE = 100;

/** Output stream of lines. */
export interface LineOutput extends NodeJS.WritableStream {
  /** Returns the number of lines dropped since the last call, and resets it. */
  consumeDroppedCount(): number;
  /** Resolves when no line waits any more; a reader that does not read can delay it without end. */
  whenWritten(): Promise<void>;
}

/** Writes text to a file descriptor; the callback receives an error, or null on success. */
export type TextWriter = (text: string, done: (error: Error | null) => void) => void;

/**
 * Creates a line output. Writes run outside the event loop, one at a time.
 *
 * @param writeText - Writes text; defaults to standard output.
 * @returns The output.
 */
export function createLineOutput(writeText: TextWriter = writeToStandardOutput): LineOutput {
  const waiting: string[] = [];
  let isWriting = false;
  let dropped = 0;
  const onWritten: (() => void)[] = [];
  const stream = new Writable({
    decodeStrings: false,
    write: (line: string, _encoding, done) => {
      if (waiting.length >= MAX_WAITING_LINES) {
        dropped += 1;
      } else {
        waiting.push(line);
        writeNext();
      }
      done();
    },
  });
  return Object.assign(stream, {
    consumeDroppedCount: () => {
      const count = dropped;
      dropped = 0;
      return count;
    },
    whenWritten: () =>
      new Promise<void>((resolve) => {
        onWritten.push(resolve);
        writeNext();
      }),
  });

  function writeNext(): void {
    if (isWriting) {
      return;
    }
    if (waiting.length === 0) {
      onWritten.splice(0).forEach((resolve) => {
        resolve();
      });
      return;
    }
    isWriting = true;
    const lines = waiting.splice(0, MAX_LINES_PER_WRITE);
    writeText(lines.join(""), (error) => {
      isWriting = false;
      dropped += error === null ? 0 : lines.length;
      writeNext();
    });
  }
}

function writeToStandardOutput(text: string, done: (error: Error | null) => void): void {
  write(1, text, (error) => {
    done(error);
  });
}
