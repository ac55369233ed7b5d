/** Callers that the product does not control: connections that send what they are told and need not read. */
import { readFileSync, readdirSync } from "node:fs";
import { type Socket, connect } from "node:net";

const POLL_INTERVAL_MS = 100;
/** Index of the user time, which the system time follows, behind the name of the program in /proc/PID/stat. */
const USER_TICKS_FIELD = 11;
const MS_PER_TICK = 10;
/** Polls without progress after which the crowd counts as stalled: the daemon reads no more of it. */
const STALLED_POLLS = 10;

/** One connection of a crowd: its pieces are written in order, as fast as they are read. */
export interface CrowdConnection {
  /** Returns the number of bytes that the kernel has taken. */
  countSent(): number;
  isClosed(): boolean;
  /** Returns what the connection has received, which is nothing unless it reads. */
  read(): string;
  close(): void;
}

/**
 * Opens a connection and writes to it.
 *
 * @param address - Address of the daemon.
 * @param pieces - What is written.
 * @param isReading - Whether answers are read.
 * @returns The connection, which stays open after the last piece.
 */
export function openCrowdConnection(
  address: { readonly host: string; readonly port: number },
  pieces: Iterable<string | Buffer>,
  isReading = false,
): CrowdConnection {
  const socket = connect({ ...address, allowHalfOpen: true });
  let received = "";
  let isClosed = false;
  // The daemon may close the connection at any time.
  socket.on("error", () => undefined);
  socket.once("close", () => {
    isClosed = true;
  });
  if (isReading) {
    socket.on("data", (chunk) => {
      received += chunk.toString("latin1");
    });
  }
  void writeAll(socket, pieces);
  return {
    countSent: () => socket.bytesWritten - socket.writableLength,
    isClosed: () => isClosed,
    read: () => received,
    close: () => socket.destroy(),
  };
}

async function writeAll(socket: Socket, pieces: Iterable<string | Buffer>): Promise<void> {
  for (const piece of pieces) {
    if (socket.destroyed) {
      return;
    }
    if (!socket.write(piece)) {
      await new Promise<void>((resolve) => {
        socket.once("drain", resolve);
        socket.once("close", resolve);
      });
    }
  }
}

/**
 * Waits until the daemon reads no more of what a crowd sends: all of it was sent, or nothing moves any more.
 *
 * @param crowd - The connections.
 * @returns A promise that resolves then.
 */
export async function waitUntilStalled(crowd: readonly CrowdConnection[]): Promise<void> {
  let progress = "";
  for (let quietPolls = 0; quietPolls < STALLED_POLLS;) {
    await new Promise((resolve) => setTimeout(resolve, POLL_INTERVAL_MS));
    const current = crowd.map((each) => `${each.countSent()}${each.isClosed() ? "c" : ""}`).join();
    quietPolls = current === progress ? quietPolls + 1 : 0;
    progress = current;
  }
}

/**
 * Waits until each connection of a crowd has sent a number of bytes or is closed.
 *
 * @param crowd - The connections.
 * @param bytes - The number of bytes.
 * @returns A promise that resolves then.
 */
export async function waitUntilSent(crowd: readonly CrowdConnection[], bytes: number): Promise<void> {
  while (crowd.some((each) => each.countSent() < bytes && !each.isClosed())) {
    await new Promise((resolve) => setTimeout(resolve, POLL_INTERVAL_MS));
  }
}

/** Returns the peak of a process's resident memory in bytes. */
export function readPeakBytes(pid: number): number {
  const match = /^VmHWM:\s+(\d+) kB$/m.exec(readFileSync(`/proc/${pid}/status`, "utf8"));
  return Number(match?.[1]) * 1024;
}

/** Returns the processor time that a process has used, in milliseconds; 0 when it has ended. */
export function readProcessorMs(pid: number): number {
  try {
    const fields = readFileSync(`/proc/${pid}/stat`, "utf8").split(") ")[1]?.split(" ") ?? [];
    return (Number(fields[USER_TICKS_FIELD]) + Number(fields[USER_TICKS_FIELD + 1])) * MS_PER_TICK;
  } catch {
    return 0;
  }
}

/** Returns the number of a process's open descriptors. */
export function countDescriptors(pid: number): number {
  return readdirSync(`/proc/${pid}/fd`).length;
}
