/** An object API in memory, seen through the faults of one daemon's way to it. */
import { PlatformUnavailableError } from "../../src/errors";
import type { ObjectStore, WriteResult } from "../../src/objectStore";
import type { ObjectTable } from "../../standins/platform/objectTable";
import { type ProcessClock, flush } from "./fakeClock";

/** Faults on the way of one daemon to the platform. */
export interface PlatformWay {
  isDown: boolean;
  /** Next writes that take effect but whose answers are lost. */
  lostAnswers: number;
  /** Next writes that get no answer and take effect only after this many milliseconds. */
  lateWrites: number;
  lateByMs: number;
  writes: number;
}

/**
 * Creates a way without faults.
 *
 * @returns The way.
 */
export function createWay(): PlatformWay {
  return { isDown: false, lostAnswers: 0, lateWrites: 0, lateByMs: 0, writes: 0 };
}

/**
 * Creates the object API as one daemon sees it.
 *
 * @param table - The shared objects.
 * @param way - Faults of this daemon's way.
 * @param clock - Clock of the daemon's process.
 * @returns The port.
 */
export function createFakeObjectStore(
  table: ObjectTable,
  way: PlatformWay,
  clock: ProcessClock,
): ObjectStore {
  return {
    read: (path) => answer(() => table.read(path)),
    list: (prefix) => answer(() => table.list(prefix)),
    watch: (prefix, since) => answer(() => table.list(prefix)).then((changes) => ({ ...changes, since })),
    write: (path, value, base) => answer(() => write(path, value, base)),
  };

  async function answer<Value>(call: () => Value): Promise<Value> {
    await flush();
    if (way.isDown) {
      throw unavailable();
    }
    const value = call();
    await clock.gate();
    return value;
  }

  function write(path: string, value: unknown, base: number): WriteResult {
    way.writes += 1;
    const stored = structuredClone(value);
    if (way.lateWrites > 0) {
      way.lateWrites -= 1;
      clock.schedule(way.lateByMs, () => table.write(path, stored, base));
      throw unavailable();
    }
    const result = table.write(path, stored, base);
    if (way.lostAnswers > 0) {
      way.lostAnswers -= 1;
      throw unavailable();
    }
    return result;
  }
}

function unavailable(): Error {
  return new PlatformUnavailableError("no answer", { props: { step: "call platform" } });
}
