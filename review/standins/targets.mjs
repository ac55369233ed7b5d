/**
 * Stand-in for one of the users' targets: registers in the store, runs requests, and answers each in full. Its entry
 * changes only when more than its count of heartbeats does, so heartbeats are left out.
 */
import { createServer } from "node:http";

/**
 * Starts a target on a free loopback port and registers it.
 *
 * @param options - `store`, `id`, `service`, `zone`, `capacity`, `workMs`, `answerBytes`, and `onRun`, which is called
 *   with each request that the target begins to work on. `answer`, if given, writes the answer to a run in place of
 *   the target, and gets `{ request, response, socket, id, target, body }`.
 */
export async function startTarget(options) {
  const { store, id, service, zone, capacity = 4, workMs = 20, answerBytes = 400, onRun } = options;
  const born = Date.now();
  const sockets = new Set();
  let state = "ready";
  let seq = 0;
  let running = 0;
  let isUp = true;
  const server = createServer((request, response) => {
    const chunks = [];
    request.on("data", (chunk) => chunks.push(chunk));
    request.on("end", () => {
      void handle(request, Buffer.concat(chunks), response).catch(() => response.destroy());
    });
  });
  server.keepAliveTimeout = 10_000;
  server.on("connection", (socket) => {
    sockets.add(socket);
    socket.on("error", () => undefined);
    socket.once("close", () => sockets.delete(socket));
  });
  await new Promise((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address();
  register();

  return {
    id,
    service,
    port,
    /** Reports that the target is draining. Returns when the store accepted the report. */
    drain() {
      state = "draining";
      return register();
    },
    /** Ends the process: connections close, and the entry is removed. */
    stop() {
      if (isUp) {
        isUp = false;
        sockets.forEach((socket) => socket.destroy());
        server.close();
        store.remove("servers", id);
      }
    },
  };

  function register() {
    seq += 1;
    return store.put("servers", id, {
      address: `127.0.0.1:${port}`,
      born,
      info: { service, version: "v1", zone, capacity },
      status: { state, seq, warmupLeftS: 0 },
    });
  }

  async function handle(request, body, response) {
    const requestId = request.headers["request-id"];
    const expected = request.headers["target-instance"];
    if (expected !== undefined && expected !== id) {
      response.writeHead(421, { "instance-id": id, "not-executed": "1", "content-length": 0 });
      response.end();
      return;
    }
    if (requestId === undefined) {
      response.writeHead(400, { "not-executed": "1", "content-length": 0 });
      response.end();
      return;
    }
    running += 1;
    onRun({ id: requestId, target: id, service, at: performance.now(), method: request.method });
    await new Promise((resolve) => setTimeout(resolve, workMs));
    running -= 1;
    if (!isUp) {
      return;
    }
    if (options.answer !== undefined) {
      await options.answer({ request, response, socket: request.socket, id: requestId, target: id, body });
      return;
    }
    const content = createAnswer(requestId, answerBytes);
    response.writeHead(200, {
      "request-id": requestId,
      "upstream-signature": `signed.${id}.${requestId}`,
      "instance-load": `${running},0,${capacity}`,
      "content-length": content.byteLength,
    });
    response.end(content);
  }
}

/**
 * Creates the body of the answer to a request. It repeats the id of the request.
 */
export function createAnswer(requestId, bytes) {
  return Buffer.alloc(bytes, `${requestId};`);
}
