/** Limits what a backend server may send beside the content of an answer. */
import type { ClientRequest } from "node:http";
import type { Socket } from "node:net";

/**
 * Maximum bytes of heads and of chunks' framing in an answer. Node.js limits each head and each chunk's extension to
 * 16 KiB, but it skips spaces before a value, empty lines before a head, and leading zeros of a chunk's size unlimited.
 */
const MAX_FRAMING_BYTES = 524_288;
/** Framing that is allowed for each byte of content, which is more than a chunk of one byte needs. */
const FRAMING_BYTES_PER_CONTENT_BYTE = 16;
/** Maximum interim (1xx) answers to one request; each costs processor time and none is forwarded. */
const MAX_INTERIM_ANSWERS = 16;

/**
 * Follows the head of an answer, from the start of the request until its final head has arrived.
 *
 * @param request - The request, which has no socket yet.
 * @param onExceeded - Called once when the head exceeds a limit, with the limit that it exceeds.
 */
export function limitHead(request: ClientRequest, onExceeded: (detail: string) => void): void {
  let interimAnswers = 0;
  request.on("information", () => {
    interimAnswers += 1;
    if (interimAnswers === MAX_INTERIM_ANSWERS + 1) {
      onExceeded("too many interim answers");
    }
  });
  request.once("socket", (socket) => {
    const stop = limitFraming(
      socket,
      () => 0,
      () => {
        onExceeded("the head of the answer is too long");
      },
    );
    request.once("response", stop);
    request.once("close", stop);
  });
}

/**
 * Follows what arrives on a connection from now on.
 *
 * @param socket - The connection.
 * @param countContent - Returns the number of bytes of content that have arrived from now on.
 * @param onExceeded - Called once when far more bytes than the content have arrived.
 * @returns A function that ends this.
 */
export function limitFraming(socket: Socket, countContent: () => number, onExceeded: () => void): () => void {
  const startBytes = socket.bytesRead;
  let isStopped = false;
  const check = () => {
    const allowedBytes = MAX_FRAMING_BYTES + countContent() * (1 + FRAMING_BYTES_PER_CONTENT_BYTE);
    if (!isStopped && socket.bytesRead - startBytes > allowedBytes) {
      stop();
      onExceeded();
    }
  };
  const stop = () => {
    isStopped = true;
    socket.removeListener("data", check);
  };
  socket.on("data", check);
  return stop;
}

/** Listener of the data on a kept connection without a request: its answers no longer match requests. */
export function destroyOnData(this: Socket): void {
  this.destroy();
}
