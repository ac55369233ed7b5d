/** One connection to another daemon: hellos first, then messages in both directions. */
import { WebSocket } from "ws";
import { PeerError, describeError } from "../errors";
import type { Address, DaemonRun } from "../types";
import { formatAddress } from "../types";
import { decodeMessage, encodeMessage } from "./codec";
import { type Hello, PEER_PROTOCOL, type PeerMessage } from "./messages";

/** Largest message in bytes. */
export const MAX_MESSAGE_BYTES = 4 * 1024 * 1024;
const HELLO_TIMEOUT_MS = 400;

/** An open connection whose hellos have passed. */
export interface PeerLink {
  /** The daemon at the other end. */
  readonly remote: Hello;
  /** Sends the own hello, as the side that was dialled. */
  sendHello(hello: Hello): void;
  /** Sends a message; after the connection broke it is dropped. */
  send(message: PeerMessage): void;
  /** Sets the receiver of messages. */
  onMessage(handler: (message: PeerMessage) => void): void;
  /** Sets the callback for the end of the connection. */
  onClose(handler: () => void): void;
  /** Bytes sent so far. */
  countSentBytes(): number;
  /** Closes the connection. */
  close(): void;
}

/** Why a link was refused. */
export type LinkRefusal = "malformed" | "cluster" | "protocol" | "timeout";

/**
 * Dials a daemon and exchanges hellos.
 *
 * @param address - Its peer address.
 * @param hello - The own hello.
 * @returns The link.
 * @throws PeerError when no daemon of the cluster answers in time.
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
        new PeerError(`dial ${formatAddress(address)}: ${describeError(error)}`, {
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
 * Waits for the other side's hello on an open socket.
 *
 * @param socket - The socket.
 * @param hello - The own hello, to compare with.
 * @returns The link.
 * @throws PeerError naming the refusal.
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
      // A peer that breaks the protocol once cannot be trusted with what follows.
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
 * Gives the daemon run of a hello.
 *
 * @param hello - The hello.
 * @returns The run.
 */
export function getRun(hello: Hello): DaemonRun {
  return { daemon: hello.daemon, incarnation: hello.incarnation };
}
