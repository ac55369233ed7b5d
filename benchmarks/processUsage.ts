/** CPU time and memory of processes, as the kernel reports them in /proc. */
import { readFileSync } from "node:fs";

const TICKS_PER_SECOND = 100;
const PAGE_BYTES = 4096;
/** Indexes of utime and stime (fields 14 and 15 in proc(5)) among the fields after the command name. */
const USER_TIME_FIELD = 11;
const SYSTEM_TIME_FIELD = 12;

/**
 * Reads the user and system CPU time of a process.
 *
 * @param processId - Id of the process.
 * @returns CPU seconds since the start of the process.
 */
export function readCpuSeconds(processId: number): number {
  const stat = readFileSync(`/proc/${processId}/stat`, "utf8");
  const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
  return (Number(fields[USER_TIME_FIELD]) + Number(fields[SYSTEM_TIME_FIELD])) / TICKS_PER_SECOND;
}

/**
 * Reads the resident memory of a process.
 *
 * @param processId - Id of the process.
 * @returns Resident memory in MiB.
 */
export function readMemoryMib(processId: number): number {
  const pages = Number(readFileSync(`/proc/${processId}/statm`, "utf8").split(" ")[1]);
  return (pages * PAGE_BYTES) / 1024 / 1024;
}
