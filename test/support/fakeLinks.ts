/** Pairs of connected links in memory; every message passes through the codec. */
import { Readable } from "node:stream";
import { decodeMessage, encodeMessage } from "../../src/peers/codec";
import type { PeerLink } from "../../src/peers/link";
import type { Hello, PeerMessage } from "../../src/peers";

/** A pair of links. */
export interface LinkPair {
  readonly left: PeerLink;
  readonly right: PeerLink;
  /** Messages that the right side has received. */
  readonly delivered: PeerMessage[];
  /** Breaks the connection. Messages on the way are lost. */
  breakBoth(): void;
  /** Breaks the connection when the right side is about to receive a message of this kind. */
  breakBefore(kind: PeerMessage["kind"]): void;
}

interface Side {
  receiver: ((message: PeerMessage) => void) | undefined;
  readonly onClose: (() => void)[];
}

/**
 * Creates a connected pair.
 *
 * @returns The pair.
 */
export function createLinkPair(): LinkPair {
  const left: Side = { receiver: undefined, onClose: [] };
  const right: Side = { receiver: undefined, onClose: [] };
  const delivered: PeerMessage[] = [];
  let isBroken = false;
  let breaksBefore: string | undefined;

  return {
    left: createLink(left, (message) => {
      if (message.kind === breaksBefore) {
        breakBoth();
        return;
      }
      delivered.push(message);
      right.receiver?.(message);
    }),
    right: createLink(right, (message) => left.receiver?.(message)),
    delivered,
    breakBoth,
    breakBefore: (kind) => {
      breaksBefore = kind;
    },
  };

  function breakBoth(): void {
    isBroken = true;
    for (const handler of [...left.onClose, ...right.onClose]) {
      handler();
    }
  }

  function createLink(side: Side, deliver: (message: PeerMessage) => void): PeerLink {
    return {
      remote: hello,
      sendHello: () => undefined,
      send: (message) => {
        const content = encodeMessage(message).slice();
        setImmediate(() => {
          const decoded = decodeMessage(content);
          if (!isBroken && decoded !== undefined && decoded.kind !== "hello") {
            deliver(decoded);
          }
        });
      },
      onMessage: (handler) => {
        side.receiver = handler;
      },
      onClose: (handler) => {
        side.onClose.push(handler);
      },
      countSentBytes: () => 0,
      close: breakBoth,
    };
  }
}

const hello: Hello = {
  kind: "hello",
  protocol: 1,
  cluster: "test",
  daemon: "peer",
  incarnation: 1,
  dataCentre: "north",
  release: "0",
};

/**
 * Creates a stream of known content.
 *
 * @param size - Bytes.
 * @returns The stream.
 */
export function createByteStream(size: number): Readable {
  const chunk = Buffer.alloc(50_000, 7);
  let left = size;
  return new Readable({
    read() {
      const next = Math.min(left, chunk.byteLength);
      left -= next;
      this.push(next === 0 ? null : chunk.subarray(0, next));
    },
  });
}
