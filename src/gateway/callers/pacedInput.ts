/**
 * Gives what a caller sends to the HTTP parser in pieces. Node.js parses all that it has read, up to 64 KiB, before a
 * pause takes effect; that much can hold thousands of requests or chunks, each of which allocates objects and takes
 * processor time.
 */
import type { Socket } from "node:net";

/** Maximum size of a piece beyond a known body. */
const PIECE_BYTES = 1024;
/**
 * Maximum bytes of pieces in one turn of the event loop, over all connections, so that other work gets its turn: some
 * 3 ms of chunks of one byte.
 */
const TURN_BYTES = 16_384;
/** Pieces that are parsed as soon as they arrive: the head of an ordinary request and its body. */
const PIECES_AT_ONCE = 2;
const HEAD_END = Buffer.from("\r\n\r\n");

/** Input of one connection. */
export interface PacedInput {
  /** Gives further pieces to the parser if the connection may send further requests now. */
  update(): void;
  /** Returns the number of bytes that have been read and not been parsed. */
  countWaiting(): number;
  /** Drops what has not been parsed and reads nothing more. */
  stop(): void;
  /** Drops what has not been parsed and all that arrives, so that the end of the connection is noticed. */
  discard(): void;
}

/** Options for {@link PacedInputs.open}. */
export interface PacedInputOptions {
  /** Returns whether a further request may be read. */
  readonly mayRead: () => boolean;
  /** Returns the number of bytes that the body which is being received still lacks; 0 when it is not known. */
  readonly countBodyRest: () => number;
  /** Called with the change of the number of bytes that wait. */
  readonly onWaiting: (change: number) => void;
  /** Called before a piece beyond a known body is parsed; the function that it returns is called afterwards. */
  readonly onParsing?: (piece: Buffer) => () => void;
  /** Called when data has arrived. */
  readonly onData: () => void;
}

/** Inputs of all connections, which share the turns of the event loop. */
export interface PacedInputs {
  /** Takes over the input of a connection that an HTTP server has just accepted. */
  open(socket: Socket, options: PacedInputOptions): PacedInput;
}

/**
 * Creates the inputs, without any connection.
 *
 * @returns The inputs.
 */
export function createPacedInputs(): PacedInputs {
  /** Inputs with waiting bytes that may be parsed, in the order of their turns. */
  const ready = new Set<() => number>();
  let isTurnScheduled = false;

  return { open };

  function schedule(feed: () => number): void {
    ready.add(feed);
    scheduleTurn();
  }

  function scheduleTurn(): void {
    if (ready.size > 0 && !isTurnScheduled) {
      isTurnScheduled = true;
      setImmediate(runTurn);
    }
  }

  /** Parses one piece of each input in turn, until the limit of the turn or until none is ready. */
  function runTurn(): void {
    let bytes = 0;
    for (const feed of ready) {
      if (bytes >= TURN_BYTES) {
        break;
      }
      // One that stays ready is added again, behind the others.
      ready.delete(feed);
      bytes += feed();
    }
    isTurnScheduled = false;
    scheduleTurn();
  }

  function open(socket: Socket, options: PacedInputOptions): PacedInput {
    const parse = socket.listeners("data")[0] as ((this: Socket, data: Buffer) => void) | undefined;
    if (parse === undefined) {
      throw new Error("the HTTP server has not attached its parser");
    }
    const pauseSocket = socket.pause.bind(socket);
    const resumeSocket = socket.resume.bind(socket);
    let waiting: Buffer | undefined;
    /** Whether the HTTP server has paused its parser, which then accepts no data. */
    let isParserPaused = false;
    let isStopped = false;

    socket.removeListener("data", parse as (...args: unknown[]) => void);
    socket.on("data", onData);
    // The HTTP server pauses and resumes the socket by these; what it wants is combined with what this input allows.
    socket.pause = () => {
      isParserPaused = true;
      return pauseSocket();
    };
    socket.resume = () => {
      isParserPaused = false;
      update();
      return socket;
    };
    socket.once("close", stop);

    return { update, countWaiting: () => waiting?.byteLength ?? 0, stop, discard };

    function onData(data: Buffer): void {
      options.onData();
      if (isStopped) {
        return;
      }
      const rest = waiting === undefined ? parseAtOnce(data) : data;
      if (rest === undefined) {
        return;
      }
      const added = rest.byteLength;
      waiting = waiting === undefined ? rest : Buffer.concat([waiting, rest]);
      options.onWaiting(added);
      update();
    }

    /** Parses the first pieces without waiting for a turn; returns the rest. */
    function parseAtOnce(data: Buffer): Buffer | undefined {
      let rest: Buffer | undefined = data;
      for (let count = 0; count < PIECES_AT_ONCE && rest !== undefined && mayParse(); count += 1) {
        const isBody = options.countBodyRest() > 0;
        const length = countPiece(rest);
        const piece: Buffer = rest.subarray(0, length);
        rest = length === rest.byteLength ? undefined : rest.subarray(length);
        parsePiece(piece, isBody);
      }
      if (rest === undefined && !options.mayRead()) {
        pauseSocket();
      }
      return isStopped ? undefined : rest;
    }

    /** Returns the length of the next piece: a part of a body, or the bytes in which one request at most begins. */
    function countPiece(data: Buffer): number {
      const rest = Math.min(options.countBodyRest(), data.byteLength);
      return rest > 0 ? rest : countToNextHead(data.subarray(0, PIECE_BYTES));
    }

    function update(): void {
      if (isStopped || socket.destroyed) {
        return;
      }
      if (waiting !== undefined) {
        pauseSocket();
        if (mayParse()) {
          schedule(feed);
        }
      } else if (mayParse()) {
        resumeSocket();
      } else {
        pauseSocket();
      }
    }

    /** Parses one piece of what waits; returns its length. */
    function feed(): number {
      if (waiting === undefined || isStopped || socket.destroyed || !mayParse()) {
        return 0;
      }
      const isBody = options.countBodyRest() > 0;
      const length = countPiece(waiting);
      const piece = waiting.subarray(0, length);
      waiting = length === waiting.byteLength ? undefined : waiting.subarray(length);
      options.onWaiting(-length);
      parsePiece(piece, isBody);
      update();
      // A part of a body is one chunk for the parser, whatever its length.
      return isBody ? 0 : length;
    }

    function parsePiece(piece: Buffer, isBody: boolean): void {
      const onParsed = isBody ? undefined : options.onParsing?.(piece);
      parse?.call(socket, piece);
      onParsed?.();
    }

    function mayParse(): boolean {
      return !isParserPaused && options.mayRead();
    }

    function stop(): void {
      discard();
      pauseSocket();
    }

    function discard(): void {
      isStopped = true;
      ready.delete(feed);
      if (waiting !== undefined) {
        const dropped = waiting.byteLength;
        waiting = undefined;
        options.onWaiting(-dropped);
      }
      resumeSocket();
    }
  }
}

/** Returns the length up to the end of the first head, or all of it: one request at most begins in it. */
function countToNextHead(data: Buffer): number {
  const end = data.indexOf(HEAD_END);
  return end === -1 ? data.byteLength : end + HEAD_END.byteLength;
}
