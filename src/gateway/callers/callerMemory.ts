/** Counts what is held for callers, and closes connections when it exceeds the limits. */
import type { Socket } from "node:net";
import { type Counters, Event, type Logger } from "../../observability";
import type { Clock } from "../../types";
import {
  type AccountState,
  type AccountedConnection,
  type CallerAccount,
  countRequestBytes,
  createAccountState,
  describeHolder,
  measureStall,
} from "./callerAccount";
import { type CallerGarbageOptions, createCallerGarbage } from "./callerGarbage";
import {
  type CallerBudget,
  CONNECTION_BYTES,
  REQUEST_BYTES,
  chooseConnectionToClose,
  chooseHoldersToClose,
  isSingleHolder,
} from "./memoryBudget";

/** Interval at which the buffers of sockets are counted, in milliseconds. */
const CHECK_INTERVAL_MS = 100;
/** The same while over half of the limit is held. */
const PRESSED_CHECK_INTERVAL_MS = 10;
/** Maximum of one read of a socket, in bytes; Node.js reads once more before a pause takes effect. */
const READ_BYTES = 65_536;

/** Count of what is held for all callers. */
export interface CallerMemory {
  /** Opens the account of a connection, which ends with it; closes another one if there are too many. */
  open(connection: AccountedConnection): CallerAccount;
  /** Changes the number of bytes of backend servers' answers that are held for callers. */
  addAnswerBytes(change: number): void;
  /** Returns whether nothing more should be held that can also wait elsewhere. */
  isShort(): boolean;
  /** Returns the number of bytes that are held. */
  countBytes(): number;
}

/** Options for {@link createCallerMemory}. */
export interface CallerMemoryOptions extends Omit<CallerGarbageOptions, "collectBytes"> {
  readonly budget: CallerBudget;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly counters: Pick<Counters, "increment">;
}

/**
 * Creates the count, without any connection.
 *
 * @param options - Limits, clock, logger, counters and garbage collector.
 * @returns The count.
 */
export function createCallerMemory(options: CallerMemoryOptions): CallerMemory {
  const { budget, clock, logger, counters } = options;
  const accounts = new Set<AccountState>();
  const garbage = createCallerGarbage({ ...options, collectBytes: budget.collectBytes });
  let requests = 0;
  let fieldBytes = 0;
  let bytes = 0;
  let answerBytes = 0;
  /** What sockets had read and not passed on at the last check, and what they may have read since after a pause. */
  let readableBytes = 0;
  /** What sockets had not written at the last check; most of it is in `answerBytes`, too. */
  let writableBytes = 0;
  /** What the requests of ended accounts hold until their connections are closed. */
  let lingeringBytes = 0;
  let sharedBytes = 0;
  let singleBytes = 0;
  let isCheckScheduled = false;

  updateLimits();
  return {
    open,
    addAnswerBytes: (change) => {
      answerBytes += change;
      recordChange(change);
    },
    isShort: () => {
      const heldBytes = countHeld();
      return heldBytes >= sharedBytes && !isHeldBySingle(heldBytes);
    },
    countBytes: countHeld,
  };

  function open(connection: AccountedConnection): CallerAccount {
    const { socket } = connection;
    if (accounts.size >= budget.maxConnections) {
      makeRoom(socket);
    }
    const destroy = () => {
      socket.destroy();
    };
    const account = createAccountState(connection, destroy, clock.now());
    accounts.add(account);
    socket.once("close", () => {
      end(account);
      garbage.addClosed(account.bytes + account.readableBytes + account.lingeringBytes);
      lingeringBytes -= account.lingeringBytes;
      account.lingeringBytes = 0;
      accounts.delete(account);
    });
    socket.on("drain", () => {
      account.progressAt = clock.now();
    });
    scheduleCheck();
    return {
      addRequests: (change) => {
        if (account.isEnded) {
          return;
        }
        account.requests += change;
        requests += change;
        account.progressAt = clock.now();
        if (change > 0) {
          checkState();
        }
      },
      addBytes: (change) => {
        if (account.isEnded) {
          return;
        }
        account.bytes += change;
        bytes += change;
        recordChange(change);
      },
      addFieldBytes: (change) => {
        if (account.isEnded) {
          return;
        }
        account.fieldBytes += change;
        fieldBytes += change;
        if (change > 0) {
          checkState();
        } else {
          garbage.addDroppedFields(-change);
        }
      },
      recordPause: () => {
        if (!account.isEnded && account.readableBytes < READ_BYTES) {
          readableBytes += READ_BYTES - account.readableBytes;
          account.readableBytes = READ_BYTES;
          checkTotal();
        }
      },
      recordProgress: () => {
        account.progressAt = clock.now();
      },
      onClose: (close) => {
        account.close = close ?? destroy;
      },
    };
  }

  /** Closes a connection in favour of one that was just accepted, or that one if all others carry requests. */
  function makeRoom(accepted: Socket): void {
    counters.increment("callers.closed", "connections");
    const surplus = chooseConnectionToClose(listConnections());
    if (surplus === undefined) {
      accepted.destroy();
      return;
    }
    end(surplus.account);
    accounts.delete(surplus.account);
    surplus.account.connection.socket.destroy();
  }

  /** Takes what an account holds out of the count; its later changes have no effect. */
  function end(account: AccountState): void {
    if (account.isEnded) {
      return;
    }
    account.isEnded = true;
    account.lingeringBytes = countRequestBytes(account);
    lingeringBytes += account.lingeringBytes;
    requests -= account.requests;
    fieldBytes -= account.fieldBytes;
    garbage.addDroppedFields(account.fieldBytes);
    bytes -= account.bytes;
    writableBytes -= account.writableBytes;
    readableBytes -= account.readableBytes;
    garbage.addDropped(account.bytes + account.readableBytes);
  }

  function recordChange(change: number): void {
    if (change < 0) {
      garbage.addDropped(-change);
    } else {
      checkTotal();
    }
  }

  function countState(): number {
    return accounts.size * CONNECTION_BYTES + requests * REQUEST_BYTES + fieldBytes;
  }

  function countHeld(): number {
    return countState() + bytes + readableBytes + Math.max(answerBytes, writableBytes);
  }

  function checkState(): void {
    if (countState() + lingeringBytes > budget.stateBytes) {
      destroyLingering(countState() + lingeringBytes - budget.stateBytes);
    }
    if (countState() > budget.stateBytes) {
      close(countState(), budget.stateBytes, "requests");
    }
  }

  /** Ends the time to read a refusal for as many connections as are needed to free a number of bytes, oldest first. */
  function destroyLingering(excessBytes: number): void {
    let freedBytes = 0;
    for (const { connection, lingeringBytes: each } of accounts) {
      if (freedBytes >= excessBytes) {
        break;
      }
      if (each > 0) {
        freedBytes += each;
        connection.socket.destroy();
      }
    }
  }

  function checkTotal(): void {
    garbage.collectDropped(countHeld(), bytes + readableBytes + answerBytes, sharedBytes);
    if (countHeld() <= sharedBytes) {
      return;
    }
    garbage.collectIfLarge();
    updateLimits();
    const heldBytes = countHeld();
    if (heldBytes > sharedBytes && !isHeldBySingle(heldBytes)) {
      close(heldBytes, sharedBytes, "memory");
    }
  }

  function isHeldBySingle(heldBytes: number): boolean {
    const largestBytes = [...accounts].reduce((largest, account) => Math.max(largest, account.bytes), 0);
    return largestBytes <= singleBytes && isSingleHolder(largestBytes, heldBytes);
  }

  function updateLimits(): void {
    // What is held for requests and connections is a part of the heap.
    const heapBytes = Math.max(0, options.measureHeap() - countState());
    singleBytes = budget.getSingleBytes(heapBytes);
    sharedBytes = budget.getSharedBytes(heapBytes);
  }

  function close(heldBytes: number, limitBytes: number, limit: string): void {
    const open = [...accounts].filter((account) => !account.isEnded);
    const holders = open.map((account) => describeHolder(account, clock.now()));
    const chosen = chooseHoldersToClose(holders, heldBytes, limitBytes);
    logger.log(Event.CallersClosed, { limit, heldBytes, limitBytes, connections: chosen.length });
    for (const { account } of chosen) {
      counters.increment("callers.closed", limit);
      account.close();
      end(account);
    }
  }

  function* listConnections() {
    for (const account of accounts) {
      const isIdle = account.isEnded || account.connection.isIdle();
      // An idle connection that was just used may carry the next request already.
      const stalledMs = isIdle ? clock.now() - account.progressAt : measureStall(account, clock.now());
      yield { account, isIdle, stalledMs };
    }
  }

  /** Counts the buffers of sockets and adjusts the limits while there are connections. */
  function scheduleCheck(): void {
    if (isCheckScheduled) {
      return;
    }
    isCheckScheduled = true;
    const isPressed = countHeld() + garbage.countDropped() > sharedBytes / 2;
    clock.schedule(isPressed ? PRESSED_CHECK_INTERVAL_MS : CHECK_INTERVAL_MS, () => {
      isCheckScheduled = false;
      garbage.collectIfLarge();
      updateLimits();
      countSocketBuffers();
      checkTotal();
      if (accounts.size > 0) {
        scheduleCheck();
      }
    });
  }

  function countSocketBuffers(): void {
    writableBytes = 0;
    readableBytes = 0;
    for (const account of accounts) {
      if (!account.isEnded) {
        account.writableBytes = account.connection.socket.writableLength;
        account.readableBytes = account.connection.socket.readableLength;
        writableBytes += account.writableBytes;
        readableBytes += account.readableBytes;
      }
    }
  }
}
