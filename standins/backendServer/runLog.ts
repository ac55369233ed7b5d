/** Log in which a backend server stand-in records the requests that it runs. */
import { appendFileSync } from "node:fs";

/** How a run ended. */
export type RunEnd = "done" | "cancelled" | "lapsed" | "deadline";

/** One line of the log. Times are milliseconds on the machine's monotonic clock. */
export type RunRecord =
  | {
      readonly kind: "start";
      readonly run: string;
      readonly server: string;
      readonly key: string;
      readonly slot: number;
      readonly epoch: number;
      readonly generation: number;
      readonly method: string;
      /** Identifier that the caller set in the request; it is the same for all attempts. */
      readonly callerId: string;
      readonly at: number;
    }
  | { readonly kind: "end"; readonly run: string; readonly end: RunEnd; readonly at: number }
  | {
      readonly kind: "overload";
      readonly server: string;
      /** Number of running requests, including the one that is beyond the capacity. */
      readonly running: number;
      /** Number of requests that the server could run at this time; it grows to `slots` in a cold start. */
      readonly allowed: number;
      /** Number of requests that the server can run at once when it is warm. */
      readonly slots: number;
      readonly at: number;
    };

/** Appends a record to the log. */
export type RunLog = (record: RunRecord) => void;

/**
 * Creates a log in a file. Lines are written synchronously, so that none is lost when the process is killed.
 *
 * @param file - Path of the file.
 * @returns The log.
 */
export function createFileRunLog(file: string): RunLog {
  return (record) => {
    appendFileSync(file, `${JSON.stringify(record)}\n`);
  };
}
