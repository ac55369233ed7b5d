/** In-memory pairs of connected links between daemons; every message is encoded and decoded. */
import { Readable } from "node:stream";
import { decodeMessage, encodeMessage } from "../../src/peers/codec";
import type { PeerLink } from "../../src/peers/link";
import type { Hello, PeerMessage } from "../../src/peers";

/** Both ends of one connection. */
export interface LinkPair {
  readonly left: PeerLink;
  readonly right: PeerLink;
  /** Messages that the right end has received, in order. */
  readonly receivedByRight: PeerMessage[];
  /** Breaks the connection at both ends. Messages in transit are lost. */
  disconnect(): void;
  /** Breaks the connection when the right end would receive a message of this kind. */
  disconnectBefore(kind: PeerMessage["kind"]): void;
}

interface Side {
  onMessage: ((message: PeerMessage) => void) | undefined;
  readonly onClose: (() => void)[];
}

/**
 * Creates a pair of connected links.
 *
 * @returns The pair.
 */
export function createLinkPair(): LinkPair {
  const left: Side = { onMessage: undefined, onClose: [] };
  const right: Side = { onMessage: undefined, onClose: [] };
  const receivedByRight: PeerMessage[] = [];
  let isDisconnected = false;
  let disconnectKind: string | undefined;

  return {
    left: createLink(left, (message) => {
      if (message.kind === disconnectKind) {
        disconnect();
        return;
      }
      receivedByRight.push(message);
      right.onMessage?.(message);
    }),
    right: createLink(right, (message) => left.onMessage?.(message)),
    receivedByRight,
    disconnect,
    disconnectBefore: (kind) => {
      disconnectKind = kind;
    },
  };

  function disconnect(): void {
    isDisconnected = true;
    for (const handler of [...left.onClose, ...right.onClose]) {
      handler();
    }
  }

  function createLink(side: Side, deliver: (message: PeerMessage) => void): PeerLink {
    return {
      remote: remoteHello,
      sendHello: () => undefined,
      send: (message) => {
        const content = encodeMessage(message).slice();
        setImmediate(() => {
          const decoded = decodeMessage(content);
          if (!isDisconnected && decoded !== undefined && decoded.kind !== "hello") {
            deliver(decoded);
          }
        });
      },
      onMessage: (handler) => {
        side.onMessage = handler;
      },
      onClose: (handler) => {
        side.onClose.push(handler);
      },
      countSentBytes: () => 0,
      countUnwrittenBytes: () => 0,
      close: disconnect,
    };
  }
}

const remoteHello: Hello = {
  kind: "hello",
  protocol: 1,
  cluster: "test",
  daemon: "peer",
  incarnation: 1,
  dataCentre: "north",
  release: "0",
};

/**
 * Creates a stream of bytes that all have the same value.
 *
 * @param sizeBytes - Length of the stream in bytes.
 * @returns The stream.
 */
export function createByteStream(sizeBytes: number): Readable {
  const chunk = Buffer.alloc(50_000, 7);
  let remainingBytes = sizeBytes;
  return new Readable({
    read() {
      const next = Math.min(remainingBytes, chunk.byteLength);
      remainingBytes -= next;
      this.push(next === 0 ? null : chunk.subarray(0, next));
    },
  });
}
