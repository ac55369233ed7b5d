/** One connection to another daemon: an exchange of hellos, then messages in both directions. */
import { WebSocket } from "ws";
import { PeerError, describeError } from "../errors";
import type { Address, DaemonRun } from "../types";
import { formatAddress } from "../types";
import { decodeMessage, encodeMessage } from "./codec";
import { type Hello, PEER_PROTOCOL, type PeerMessage } from "./messages";

/** Maximum size of a message in bytes. */
export const MAX_MESSAGE_BYTES = 4 * 1024 * 1024;
const HELLO_TIMEOUT_MS = 400;

/** An open connection on which valid hellos have been exchanged. */
export interface PeerLink {
  /** Hello of the daemon at the other end. */
  readonly remote: Hello;
  /** Sends this daemon's hello, on the side that accepted the connection. */
  sendHello(hello: Hello): void;
  /** Sends a message. Drops it when the connection is closed. */
  send(message: PeerMessage): void;
  /** Sets the handler of received messages, and passes on those that have arrived before. */
  onMessage(handler: (message: PeerMessage) => void): void;
  /** Adds a handler for the end of the connection; calls it at once when the connection is closed already. */
  onClose(handler: () => void): void;
  /** Counts the bytes sent so far. */
  countSentBytes(): number;
  /** Counts the bytes that are not written to the socket yet. */
  countUnwrittenBytes(): number;
  /** Closes the connection. */
  close(): void;
}

/**
 * Why a connection was refused; also the label in the counter `peers.refused`. A connection that closes
 * before its hello has arrived counts as `timeout`.
 */
export type LinkRefusal = "malformed" | "cluster" | "protocol" | "timeout";

/**
 * Connects to a daemon and exchanges hellos.
 *
 * @param address - Peer address of the daemon.
 * @param hello - Hello of this daemon.
 * @returns The link.
 * @throws PeerError when the connection or the exchange of hellos fails or times out.
 */
export function dialPeer(address: Address, hello: Hello): Promise<PeerLink> {
  const socket = new WebSocket(`ws://${formatAddress(address)}`, {
    perMessageDeflate: false,
    maxPayload: MAX_MESSAGE_BYTES,
    handshakeTimeout: HELLO_TIMEOUT_MS,
  });
  return new Promise((resolve, reject) => {
    const fail = (error: unknown) => {
      socket.terminate();
      reject(
        new PeerError(`cannot connect to peer ${formatAddress(address)}: ${describeError(error)}`, {
          props: { step: "dial", peer: formatAddress(address), code: (error as NodeJS.ErrnoException).code },
        }),
      );
    };
    socket.once("error", fail);
    socket.once("open", () => {
      socket.send(encodeMessage(hello));
      completeHandshake(socket, hello).then(resolve, fail);
    });
  });
}

/**
 * Waits for the hello of the other side on an open socket and validates it.
 *
 * @param socket - The socket.
 * @param hello - Hello of this daemon; cluster and protocol must be the same.
 * @returns The link.
 * @throws PeerError whose message is the {@link LinkRefusal}.
 */
export function completeHandshake(socket: WebSocket, hello: Hello): Promise<PeerLink> {
  return new Promise((resolve, reject) => {
    const refuse = (refusal: LinkRefusal) => {
      clearTimeout(timer);
      socket.terminate();
      reject(new PeerError(refusal, { props: { step: "hello" } }));
    };
    const timer = setTimeout(() => {
      refuse("timeout");
    }, HELLO_TIMEOUT_MS);
    // Has no effect after the handshake, when the promise is settled.
    socket.once("close", () => {
      refuse("timeout");
    });
    socket.once("message", (content: Uint8Array) => {
      clearTimeout(timer);
      const message = decodeMessage(content);
      const refusal = findRefusal(message, hello);
      if (refusal === undefined && message?.kind === "hello") {
        resolve(createLink(socket, message));
      } else {
        refuse(refusal ?? "malformed");
      }
    });
  });
}

function findRefusal(message: Hello | PeerMessage | undefined, own: Hello): LinkRefusal | undefined {
  if (message?.kind !== "hello") {
    return "malformed";
  }
  if (message.cluster !== own.cluster) {
    return "cluster";
  }
  return message.protocol === PEER_PROTOCOL ? undefined : "protocol";
}

function createLink(socket: WebSocket, remote: Hello): PeerLink {
  const earlyMessages: PeerMessage[] = [];
  let sentBytes = 0;
  let messageHandler: ((message: PeerMessage) => void) | undefined;
  const closeHandlers: (() => void)[] = [];

  socket.on("error", () => undefined);
  socket.on("close", () => {
    for (const handler of closeHandlers) {
      handler();
    }
  });
  socket.on("message", (content: Uint8Array) => {
    const message = decodeMessage(content);
    if (message === undefined || message.kind === "hello") {
      // Messages after a protocol violation cannot be trusted, so the connection is closed.
      socket.terminate();
      return;
    }
    if (messageHandler === undefined) {
      earlyMessages.push(message);
    } else {
      messageHandler(message);
    }
  });

  return {
    remote,
    sendHello: send,
    send,
    countSentBytes: () => sentBytes,
    countUnwrittenBytes: () => socket.bufferedAmount,
    onMessage: (handler) => {
      messageHandler = handler;
      for (const message of earlyMessages.splice(0)) {
        handler(message);
      }
    },
    onClose: (handler) => {
      if (socket.readyState === WebSocket.CLOSED) {
        handler();
      } else {
        closeHandlers.push(handler);
      }
    },
    close: () => {
      socket.terminate();
    },
  };

  function send(message: Hello | PeerMessage): void {
    if (socket.readyState === WebSocket.OPEN) {
      const content = encodeMessage(message);
      sentBytes += content.byteLength;
      socket.send(content);
    }
  }
}

/**
 * Returns the daemon run that sent a hello.
 *
 * @param hello - The hello.
 * @returns The run.
 */
export function getRun(hello: Hello): DaemonRun {
  return { daemon: hello.daemon, incarnation: hello.incarnation };
}
