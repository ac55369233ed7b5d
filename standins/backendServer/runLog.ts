/** The backend server's own record of what it ran. */
import { appendFileSync } from "node:fs";

/** How a run ended. */
export type RunEnd = "done" | "cancelled" | "lapsed" | "deadline";

/** One line of the record. Times are milliseconds on the machine's monotonic clock. */
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
      /** Identifier that the caller put into the request, the same for all attempts. */
      readonly callerId: string;
      readonly at: number;
    }
  | { readonly kind: "end"; readonly run: string; readonly end: RunEnd; readonly at: number }
  | {
      readonly kind: "overload";
      readonly server: string;
      readonly running: number;
      readonly allowed: number;
      /** What it bears when it is warm. */
      readonly slots: number;
      readonly at: number;
    };

/** Takes records. */
export type RunLog = (record: RunRecord) => void;

/**
 * Creates a record in a file; every line is written at once, so that a killed process leaves all of them.
 *
 * @param file - Path of the file.
 * @returns The record.
 */
export function createFileRunLog(file: string): RunLog {
  return (record) => {
    appendFileSync(file, `${JSON.stringify(record)}\n`);
  };
}
