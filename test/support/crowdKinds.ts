/** Kinds of callers that the product does not control, and what each of their connections sends. */
import { CHUNK, CHUNKED_HEAD, GET, PIECE, POST, SMALL_CHUNKS, repeat } from "./callerRequests";
import { type CrowdConnection, openCrowdConnection, waitUntilSent, waitUntilStalled } from "./crowd";
import type { CallerAddress } from "./singleDaemon";

/** Limit of the configuration on request bodies, which the kinds keep or exceed. */
export const MAX_BODY_BYTES = 8_388_608;

/** Header fields within a limit of 16,384 bytes. */
const MANY_FIELDS = createFields(900, "");
/** Header fields within the 65,536 bytes that the HTTP parser reads of a head. */
const LONG_FIELDS = createFields(900, "x".repeat(48));

/** One kind of callers. */
export interface CrowdKind {
  /** Completes "callers that". */
  readonly name: string;
  readonly connections: number;
  /** Creates what each connection writes. */
  readonly createPieces: () => Iterable<string | Buffer>;
  /** Times that each caller comes back after it has left in the middle of what it sends; 0 by default. */
  readonly returns?: number;
}

/** A crowd that is connected. */
export interface Crowd {
  /** Waits until the daemon reads nothing more of what the crowd sends, and no caller comes back any more. */
  waitUntilSettled(): Promise<void>;
  /** Waits until each connection has sent a number of bytes or is closed. */
  waitUntilSent(bytes: number): Promise<void>;
  close(): void;
}

const ahead = (request: string, count: number) => () => repeat(request.repeat(count), 20);

/** Kinds that send bodies over the limit or only a part of one. */
export const bodyCrowdKinds: readonly CrowdKind[] = [
  {
    name: "announce bodies over the limit",
    connections: 40,
    createPieces: () => [`${POST}Content-Length: ${8 * MAX_BODY_BYTES}\r\n\r\n`, ...repeat(PIECE, 120)],
  },
  {
    name: "send chunked bodies over the limit",
    connections: 40,
    createPieces: () => [CHUNKED_HEAD, ...repeat(CHUNK, 256)],
  },
  {
    name: "send chunked bodies within the limit that stop short",
    connections: 40,
    createPieces: () => [CHUNKED_HEAD, ...repeat(CHUNK, 80)],
  },
];

/** Kinds that need nothing of the backend server. */
export const crowdKinds = {
  aheadWithUsualFields: {
    name: "send requests with the usual fields ahead and read no answer",
    connections: 60,
    createPieces: ahead(`${GET}\r\n`, 1000),
  },
  aheadWithUnknownExpectation: {
    name: "send requests with an unknown expectation ahead and read no answer",
    connections: 1200,
    createPieces: ahead("GET / HTTP/1.1\r\nHost: a\r\nExpect: x\r\n\r\n", 1000),
  },
  fieldsWithoutEnd: {
    name: "send header fields without end",
    connections: 400,
    createPieces: () => [GET, ...repeat(LONG_FIELDS, 20)],
  },
  unfinishedHeads: {
    name: "send many header fields and stop short of the end of the head",
    connections: 1200,
    createPieces: () => [GET, LONG_FIELDS],
  },
  unfinishedBodies: {
    name: "send many header fields and stop short of the end of the body",
    connections: 1200,
    createPieces: () => [POST, MANY_FIELDS, "Content-Length: 5\r\n\r\nhell"],
  },
  leavingBodies: {
    name: "leave in the middle of a body and come back again and again",
    connections: 60,
    createPieces: () => [CHUNKED_HEAD, ...repeat(CHUNK, 60)],
    returns: 8,
  },
} as const satisfies Readonly<Record<string, CrowdKind>>;

/** Kinds whose requests wait for a backend server that never answers. */
export const waitingCrowdKinds = {
  manyFieldsAhead: {
    name: "send requests with many header fields ahead",
    connections: 200,
    createPieces: () => repeat(`${GET}${MANY_FIELDS}\r\n`, 40),
  },
  trailersAhead: {
    name: "send bodies with many trailer fields ahead",
    connections: 200,
    createPieces: () => repeat(`${CHUNKED_HEAD}5\r\nhello\r\n0\r\n${LONG_FIELDS}\r\n`, 40),
  },
} as const satisfies Readonly<Record<string, CrowdKind>>;

/** All kinds at once, which share the connections of a small VM. */
export const mixedCrowd: readonly CrowdKind[] = [
  ...Object.values(crowdKinds),
  ...Object.values(waitingCrowdKinds),
  ...bodyCrowdKinds,
  {
    name: "send chunks of one byte",
    createPieces: () => [CHUNKED_HEAD, ...repeat(SMALL_CHUNKS, 20)],
  },
].map((kind) => ({ ...kind, connections: 20 }));

/**
 * Connects a crowd.
 *
 * @param address - Address of the daemon.
 * @param kinds - The kinds of callers.
 * @returns The crowd.
 */
export function openCrowd(address: CallerAddress, kinds: readonly CrowdKind[]): Crowd {
  const staying = kinds.filter(({ returns }) => returns === undefined).flatMap((kind) => openAll(kind));
  let isClosed = false;
  const returning = Promise.all(
    kinds
      .flatMap((kind) =>
        Array.from({ length: kind.returns === undefined ? 0 : kind.connections }, () => kind),
      )
      .map((kind) => comeBack(kind)),
  );
  return {
    waitUntilSettled: async () => {
      await returning;
      await waitUntilStalled(staying);
    },
    waitUntilSent: (bytes) => waitUntilSent(staying, bytes),
    close: () => {
      isClosed = true;
      staying.forEach((connection) => {
        connection.close();
      });
    },
  };

  function openAll({ connections, createPieces }: CrowdKind): CrowdConnection[] {
    return Array.from({ length: connections }, () => openCrowdConnection(address, createPieces()));
  }

  async function comeBack({ createPieces, returns = 0 }: CrowdKind): Promise<void> {
    const bytes = [...createPieces()].reduce((total, piece) => total + Buffer.byteLength(piece), 0) / 2;
    for (let round = 0; round <= returns && !isClosed; round += 1) {
      const connection = openCrowdConnection(address, createPieces());
      await Promise.race([waitUntilSent([connection], bytes), waitUntilStalled([connection])]);
      connection.close();
    }
  }
}

function createFields(count: number, value: string): string {
  return Array.from({ length: count }, (_, index) => `a${index}:${value}\r\n`).join("");
}
