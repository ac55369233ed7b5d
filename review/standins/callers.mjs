/** Stand-in for the users' requesters. */
import { Agent, request } from "node:http";
import { HOST } from "./deployment.mjs";

let lastId = 0;

/**
 * Creates a request id that no other request has.
 */
export function createRequestId() {
  lastId += 1;
  return `${process.pid.toString(16).padStart(6, "0")}${lastId.toString(16).padStart(10, "0")}`;
}

/**
 * Creates the connections of one requester, which keeps them open for further requests.
 */
export function createConnections(maxSockets = Number.POSITIVE_INFINITY) {
  return new Agent({ keepAlive: true, maxSockets });
}

/**
 * Sends a request and resolves to what the requester saw: when it was sent, when it ended, and `status`, `headers`,
 * `body` and `isComplete` of the answer, or `error`. Never rejects.
 */
export function send(daemon, { path, method = "GET", body, deadlineMs = 2000, agent = false, headers = {} }) {
  const id = createRequestId();
  const sentAt = performance.now();
  return new Promise((resolve) => {
    let settled = false;
    const settle = (result) => {
      if (!settled) {
        settled = true;
        clearTimeout(timer);
        resolve({ id, daemon: daemon.name, sentAt, endedAt: performance.now(), ...result });
      }
    };
    const call = request(
      {
        host: daemon.host,
        port: daemon.port,
        path,
        method,
        agent,
        headers: {
          host: HOST,
          "request-id": id,
          "request-deadline": String(deadlineMs),
          ...(body === undefined ? {} : { "content-length": body.byteLength }),
          ...headers,
        },
      },
      (response) => {
        const chunks = [];
        response.on("data", (chunk) => chunks.push(chunk));
        const finish = (isComplete) => {
          settle({
            status: response.statusCode,
            headers: response.headers,
            body: Buffer.concat(chunks),
            isComplete: isComplete && response.complete,
          });
        };
        response.on("end", () => finish(true));
        response.on("error", () => finish(false));
        response.on("close", () => finish(false));
      },
    );
    const timer = setTimeout(() => {
      settle({ error: "no answer within the time budget" });
      call.destroy();
    }, deadlineMs + 500);
    call.on("error", (error) => settle({ error: error.code ?? error.message }));
    call.end(body);
  });
}
