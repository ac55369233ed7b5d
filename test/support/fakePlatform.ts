/** An in-memory object API, with faults that are injected into one daemon's access to it. */
import { PlatformUnavailableError } from "../../src/errors";
import type { ObjectStore, WriteResult } from "../../src/objectStore";
import type { ObjectTable } from "../../standins/platform/objectTable";
import { type ProcessClock, flushPromises } from "./fakeClock";

/** One daemon's access to the platform: the injected faults and a count of its writes. */
export interface PlatformAccess {
  /** Whether all calls fail without taking effect. */
  isDown: boolean;
  /** Number of next writes that take effect but whose answers are lost. */
  lostAnswers: number;
  /** Number of next writes that get no answer and take effect only after a delay. */
  delayedWrites: number;
  /** Delay of these writes in milliseconds. */
  writeDelayMs: number;
  /** Time after which writes that have taken effect are answered, in milliseconds. */
  answerDelayMs: number;
  /** Number of writes so far, including those without an answer. */
  writeCount: number;
}

/**
 * Creates an access without faults.
 *
 * @returns The access.
 */
export function createPlatformAccess(): PlatformAccess {
  return {
    isDown: false,
    lostAnswers: 0,
    delayedWrites: 0,
    writeDelayMs: 0,
    answerDelayMs: 0,
    writeCount: 0,
  };
}

/**
 * Creates the object API as one daemon sees it.
 *
 * @param table - Objects that all daemons share.
 * @param access - Faults of this daemon's access, and its count of writes.
 * @param clock - Clock of the daemon's process.
 * @returns The object API.
 */
export function createFakeObjectStore(
  table: ObjectTable,
  access: PlatformAccess,
  clock: ProcessClock,
): ObjectStore {
  return {
    read: (path) => respond(() => table.read(path)),
    list: (prefix) => respond(() => table.list(prefix)),
    watch: (prefix, since) => respond(() => table.list(prefix)).then((changes) => ({ ...changes, since })),
    write: async (path, value, base) => {
      const result = await respond(() => write(path, value, base));
      if (access.answerDelayMs > 0) {
        await new Promise<void>((resolve) => clock.schedule(access.answerDelayMs, resolve));
      }
      return result;
    },
  };

  async function respond<Value>(call: () => Value): Promise<Value> {
    await flushPromises();
    if (access.isDown) {
      throw createUnavailableError();
    }
    const value = call();
    await clock.waitUntilRunning();
    return value;
  }

  function write(path: string, value: unknown, base: number): WriteResult {
    access.writeCount += 1;
    const stored = structuredClone(value);
    if (access.delayedWrites > 0) {
      access.delayedWrites -= 1;
      clock.schedule(access.writeDelayMs, () => table.write(path, stored, base));
      throw createUnavailableError();
    }
    const result = table.write(path, stored, base);
    if (access.lostAnswers > 0) {
      access.lostAnswers -= 1;
      throw createUnavailableError();
    }
    return result;
  }
}

function createUnavailableError(): Error {
  return new PlatformUnavailableError("no answer", { props: { step: "call platform" } });
}
