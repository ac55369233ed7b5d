/** Counts what is held for callers, and closes connections when it exceeds the limits. */
import type { Socket } from "node:net";
import { type Counters, Event, type Logger } from "../../observability";
import type { Clock } from "../../types";
import {
  type CallerBudget,
  CONNECTION_BYTES,
  REQUEST_BYTES,
  chooseConnectionToClose,
  chooseHoldersToClose,
  isSingleHolder,
} from "./memoryBudget";

/** Freed bytes after which the garbage collector is asked to free them when memory is short; it takes some 50 ms. */
const MIN_COLLECTED_BYTES = 8_000_000;
/** Interval at which the buffers of sockets are counted, in milliseconds. */
const CHECK_INTERVAL_MS = 100;
/** The same while over half of the limit is held. */
const PRESSED_CHECK_INTERVAL_MS = 10;

/** Maximum of one read of a socket; Node.js reads once more before a pause takes effect. */
const READ_BYTES = 65_536;

/** What is held for one connection. */
export interface CallerAccount {
  /** Changes the number of requests that are not answered. */
  readonly addRequests: (change: number) => void;
  /** Changes the number of bytes of bodies. */
  readonly addBytes: (change: number) => void;
  /** Changes the estimate for header fields, in bytes. */
  readonly addFieldBytes: (change: number) => void;
  /** Records that the socket was paused because its input waits to be parsed. */
  readonly recordPause: () => void;
  /** Records that the caller has sent or read something. */
  readonly recordProgress: () => void;
  /** Sets how the connection is closed to free its memory: with a refusal, or at once when undefined. */
  readonly onClose: (close: (() => void) | undefined) => void;
}

/** What the account needs to know of a connection. */
export interface AccountedConnection {
  readonly socket: Socket;
  /** Returns whether the daemon waits for the caller: for the rest of a request, or to read an answer. */
  isWaitingForCaller(): boolean;
  /** Returns whether the connection carries no request. */
  isIdle(): boolean;
}

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
export interface CallerMemoryOptions {
  readonly budget: CallerBudget;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly counters: Pick<Counters, "increment">;
  /** Returns the size of the JavaScript heap in bytes. */
  readonly measureHeap: () => number;
  /** Returns the memory of all buffers in bytes, those that are not freed yet included. */
  readonly measureBuffers?: () => number;
  /** Frees the memory of what is no longer held; without it, Node.js does so when it sees fit. */
  readonly collectGarbage?: () => void;
}

interface Account {
  readonly connection: AccountedConnection;
  requests: number;
  fieldBytes: number;
  bytes: number;
  /** What its socket has read and not passed on. */
  unparsedBytes: number;
  /** What its socket has not written. */
  unreadBytes: number;
  progressAt: number;
  close: () => void;
  /** Whether it was closed to free its memory; the connection may stay open until its refusal has been read. */
  isEnded: boolean;
  /** What its requests hold until then, in bytes. */
  lingeringBytes: number;
}

/**
 * Creates the count, without any connection.
 *
 * @param options - Limits, clock, logger, counters and garbage collector.
 * @returns The count.
 */
export function createCallerMemory(options: CallerMemoryOptions): CallerMemory {
  const { budget, clock, logger, counters } = options;
  const accounts = new Set<Account>();
  let requests = 0;
  let fieldBytes = 0;
  let lingeringBytes = 0;
  /** What connections held that were closed since the garbage collector was last run, in bytes. */
  let closedBytes = 0;
  /** Header fields that were dropped since the size of the heap was last checked, in bytes. */
  let droppedFieldBytes = 0;
  let bytes = 0;
  let answerBytes = 0;
  /** What sockets had not written at the last check; most of it is in `answerBytes`, too. */
  let unreadBytes = 0;
  /** What sockets had read and not passed on at the last check, and what they may have read since after a pause. */
  let unparsedBytes = 0;
  let uncollectedBytes = 0;
  /** Heap and buffers after the garbage collector was last run for their size, or the least since. */
  let collectedBytes = 0;
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
    const account: Account = {
      connection,
      requests: 0,
      fieldBytes: 0,
      bytes: 0,
      unparsedBytes: 0,
      unreadBytes: 0,
      progressAt: clock.now(),
      close: destroy,
      isEnded: false,
      lingeringBytes: 0,
    };
    accounts.add(account);
    socket.once("close", () => {
      end(account);
      closedBytes += account.bytes + account.unparsedBytes + account.lingeringBytes;
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
          recordDroppedFields(-change);
        }
      },
      recordPause: () => {
        if (!account.isEnded && account.unparsedBytes < READ_BYTES) {
          unparsedBytes += READ_BYTES - account.unparsedBytes;
          account.unparsedBytes = READ_BYTES;
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
  function end(account: Account): void {
    if (account.isEnded) {
      return;
    }
    account.isEnded = true;
    account.lingeringBytes = account.requests * REQUEST_BYTES + account.fieldBytes;
    lingeringBytes += account.lingeringBytes;
    requests -= account.requests;
    fieldBytes -= account.fieldBytes;
    recordDroppedFields(account.fieldBytes);
    bytes -= account.bytes;
    unreadBytes -= account.unreadBytes;
    unparsedBytes -= account.unparsedBytes;
    uncollectedBytes += account.bytes + account.unparsedBytes;
  }

  function recordChange(change: number): void {
    if (change < 0) {
      uncollectedBytes -= change;
    } else {
      checkTotal();
    }
  }

  function recordDroppedFields(dropped: number): void {
    droppedFieldBytes += dropped;
    if (droppedFieldBytes >= MIN_COLLECTED_BYTES) {
      collectIfLarge();
    }
  }

  function countState(): number {
    return accounts.size * CONNECTION_BYTES + requests * REQUEST_BYTES + fieldBytes;
  }

  function countHeld(): number {
    return countState() + bytes + unparsedBytes + Math.max(answerBytes, unreadBytes);
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
    if (countHeld() + uncollectedBytes <= sharedBytes) {
      return;
    }
    // Node.js may have freed some of them in the meantime.
    const bufferBytes = options.measureBuffers?.() ?? Number.POSITIVE_INFINITY;
    uncollectedBytes = Math.min(
      uncollectedBytes,
      Math.max(0, bufferBytes - bytes - unparsedBytes - answerBytes),
    );
    if (uncollectedBytes >= MIN_COLLECTED_BYTES && countHeld() + uncollectedBytes > sharedBytes) {
      options.collectGarbage?.();
      uncollectedBytes = 0;
    }
    if (countHeld() <= sharedBytes) {
      return;
    }
    collectIfLarge();
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
    singleBytes = budget.getTotalBytes(heapBytes);
    sharedBytes = budget.getSharedBytes(heapBytes);
  }

  /** Runs the garbage collector when the process is larger than what is held explains. */
  function collectIfLarge(): void {
    droppedFieldBytes = 0;
    const measure = () => options.measureHeap() + (options.measureBuffers?.() ?? 0);
    const measuredBytes = measure();
    collectedBytes = Math.min(collectedBytes, measuredBytes);
    const isMuchToFree =
      measuredBytes >= collectedBytes + MIN_COLLECTED_BYTES || closedBytes >= MIN_COLLECTED_BYTES;
    if (measuredBytes > budget.collectBytes && isMuchToFree) {
      options.collectGarbage?.();
      uncollectedBytes = 0;
      closedBytes = 0;
      collectedBytes = measure();
    }
  }

  function close(heldBytes: number, limitBytes: number, limit: string): void {
    const open = [...accounts].filter((account) => !account.isEnded);
    const holders = open.map((account) => ({
      account,
      bytes:
        CONNECTION_BYTES +
        account.requests * REQUEST_BYTES +
        account.fieldBytes +
        account.bytes +
        account.unparsedBytes +
        account.connection.socket.writableLength,
      stalledMs: measureStall(account),
    }));
    const chosen = chooseHoldersToClose(holders, heldBytes, limitBytes);
    logger.log(Event.CallersClosed, { limit, heldBytes, limitBytes, connections: chosen.length });
    for (const { account } of chosen) {
      counters.increment("callers.closed", limit);
      account.close();
      end(account);
    }
  }

  function measureStall({ connection, progressAt }: Account): number {
    return connection.isWaitingForCaller() ? clock.now() - progressAt : 0;
  }

  function* listConnections() {
    for (const account of accounts) {
      const isIdle = account.isEnded || account.connection.isIdle();
      // An idle connection that was just used may carry the next request already.
      const stalledMs = isIdle ? clock.now() - account.progressAt : measureStall(account);
      yield { account, isIdle, stalledMs };
    }
  }

  /** Counts unread answers and adjusts the limit while there are connections. */
  function scheduleCheck(): void {
    if (isCheckScheduled) {
      return;
    }
    isCheckScheduled = true;
    const isPressed = countHeld() + uncollectedBytes > sharedBytes / 2;
    clock.schedule(isPressed ? PRESSED_CHECK_INTERVAL_MS : CHECK_INTERVAL_MS, () => {
      isCheckScheduled = false;
      collectIfLarge();
      updateLimits();
      countSocketBuffers();
      checkTotal();
      if (accounts.size > 0) {
        scheduleCheck();
      }
    });
  }

  function countSocketBuffers(): void {
    unreadBytes = 0;
    unparsedBytes = 0;
    for (const account of accounts) {
      if (!account.isEnded) {
        account.unreadBytes = account.connection.socket.writableLength;
        account.unparsedBytes = account.connection.socket.readableLength;
        unreadBytes += account.unreadBytes;
        unparsedBytes += account.unparsedBytes;
      }
    }
  }
}
