/** Limits on what is held for callers, without a network: whom they close, and that they release what has ended. */
import { EventEmitter } from "node:events";
import type { Socket } from "node:net";
import { describe, expect, test } from "vitest";
import {
  type CallerMemory,
  chooseConnectionToClose,
  chooseHoldersToClose,
  createCallerBudget,
  createCallerMemory,
} from "../src/gateway";
import { createCounters, silentLogger } from "../src/observability";
import { createFakeClock } from "./support/fakeClock";

const MB = 1_000_000;
const LARGEST_BODY_BYTES = 67_108_864;

function holder(name: string, megabytes: number, stalledMs: number) {
  return { name, bytes: megabytes * MB, stalledMs };
}

// Guards against ordinary callers that are closed in place of those that hold most for longest.
test.each([
  ["nothing while the limit is kept", [holder("a", 50, 9000), holder("b", 50, 0)], 100, []],
  ["the largest", [holder("a", 10, 0), holder("b", 90, 0), holder("c", 10, 0)], 100, ["b"]],
  ["the slowest of equal ones", [holder("a", 60, 10), holder("b", 60, 5000)], 100, ["b"]],
  ["a stalled one before a larger one in progress", [holder("a", 80, 0), holder("b", 40, 5000)], 100, ["b"]],
  ["as many as are needed", [holder("a", 30, 1), holder("b", 50, 1), holder("c", 60, 1)], 60, ["c", "b"]],
])("beyond the limit %s is closed", (_name, holders, limitMb, expected) => {
  const heldBytes = holders.reduce((total, { bytes }) => total + bytes, 0);
  expect(chooseHoldersToClose(holders, heldBytes, limitMb * MB).map(({ name }) => name)).toEqual(expected);
});

// Guards against connections with requests that are closed while idle ones stay.
test.each([
  [
    "the longest idle",
    [
      { id: 1, isIdle: true, stalledMs: 5 },
      { id: 2, isIdle: true, stalledMs: 9 },
    ],
    2,
  ],
  [
    "an idle one",
    [
      { id: 1, isIdle: false, stalledMs: 99 },
      { id: 2, isIdle: true, stalledMs: 1 },
    ],
    2,
  ],
  [
    "the longest waited for",
    [
      { id: 1, isIdle: false, stalledMs: 9 },
      { id: 2, isIdle: false, stalledMs: 1 },
    ],
    1,
  ],
  ["none that is being served", [{ id: 1, isIdle: false, stalledMs: 0 }], undefined],
])("with too many connections %s is closed", (_name, connections, expected) => {
  expect(chooseConnectionToClose(connections)?.id).toBe(expected);
});

// Guards against a limit that refuses one request of the largest size, which the pages promise to serve.
test.each([210, 350, 602])("one largest body fits the limit on a VM of %d MB", (memoryMb) => {
  const bytes = createCallerBudget(memoryMb, 4100).getSingleBytes(60 * MB);
  expect(bytes).toBeGreaterThan(LARGEST_BODY_BYTES * 1.05);
  expect(bytes).toBeLessThan(memoryMb * MB);
});

describe("count of what is held", () => {
  function start(options: { readonly maxDescriptors?: number } = {}) {
    const clock = createFakeClock();
    const memory = createCallerMemory({
      budget: createCallerBudget(210, options.maxDescriptors),
      measureHeap: () => 40 * MB,
      clock,
      logger: silentLogger,
      counters: createCounters("test"),
    });
    return { clock, memory };
  }

  function open(memory: CallerMemory, isWaitingForCaller = true) {
    const socket = Object.assign(new EventEmitter(), {
      readableLength: 0,
      writableLength: 0,
      isDestroyed: false,
      destroy: () => {
        socket.isDestroyed = true;
        socket.emit("close");
      },
    });
    const account = memory.open({
      socket: socket as unknown as Socket,
      isWaitingForCaller: () => isWaitingForCaller,
      isIdle: () => false,
    });
    return { socket, account };
  }

  test("refuses the largest and slowest, and keeps the others", async () => {
    const { clock, memory } = start();
    const refused: string[] = [];
    const [slow, other] = [open(memory), open(memory)];
    slow.account.onClose(() => refused.push("slow"));
    other.account.onClose(() => refused.push("other"));
    slow.account.addBytes(40 * MB);
    await clock.advance(5000);
    other.account.recordProgress();
    other.account.addBytes(41 * MB);
    expect(refused).toEqual(["slow"]);
    expect(memory.countBytes()).toBeLessThan(42 * MB);
  });

  test("closes a caller that does not read when its answers exceed the limit", async () => {
    const { clock, memory } = start();
    const [reading, unread] = [open(memory, false), open(memory)];
    unread.socket.writableLength = 90 * MB;
    await clock.advance(1000);
    expect([reading.socket.isDestroyed, unread.socket.isDestroyed]).toEqual([false, true]);
  });

  test("holds nothing for connections that have ended, whatever is released later", () => {
    const { memory } = start();
    const { socket, account } = open(memory);
    account.addRequests(3);
    account.addBytes(5 * MB);
    socket.destroy();
    account.addBytes(-5 * MB);
    account.addRequests(-3);
    expect(memory.countBytes()).toBe(0);
  });

  test("keeps a part of the descriptors free", async () => {
    const { clock, memory } = start({ maxDescriptors: 10 });
    const opened: ReturnType<typeof open>[] = [];
    for (let count = 0; count < 20; count += 1) {
      opened.push(open(memory));
      await clock.advance(10);
    }
    expect(opened.filter(({ socket }) => !socket.isDestroyed)).toHaveLength(6);
    expect(opened.at(-1)?.socket.isDestroyed).toBe(false);
  });

  // Guards against the room for one largest body being given to many callers on a VM that cannot hold as much.
  test("lets a single caller hold more than several", () => {
    const [single, several] = [start(), start()];
    const alone = open(single.memory, false);
    alone.account.addBytes(LARGEST_BODY_BYTES);
    expect(alone.socket.isDestroyed).toBe(false);
    const crowd = Array.from({ length: 8 }, () => open(several.memory, false));
    crowd.forEach(({ account }) => {
      account.addBytes(LARGEST_BODY_BYTES / 8);
    });
    expect(several.memory.countBytes()).toBeLessThan(LARGEST_BODY_BYTES);
  });

  // Guards against refused callers that keep their requests in memory by not reading the refusal.
  test("closes refused callers first when requests hold too much again", () => {
    const { memory } = start();
    const [refused, served] = [open(memory), open(memory)];
    refused.account.onClose(() => undefined);
    refused.account.addFieldBytes(45 * MB);
    expect(refused.socket.isDestroyed).toBe(false);
    served.account.addFieldBytes(10 * MB);
    expect([refused.socket.isDestroyed, served.socket.isDestroyed]).toEqual([true, false]);
  });
});
