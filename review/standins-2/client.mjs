// Stand-in for requesters: sends requests on kept connections and records what became of each.
import { Agent, request } from "node:http";

let count = 0;

export function createRequestId() {
  count += 1;
  return `${process.pid.toString(16)}${count.toString(16).padStart(8, "0")}`;
}

/** Creates a requester with connections of its own to one daemon. */
export function createClient(daemon, { maxSockets = 8 } = {}) {
  const agent = new Agent({ keepAlive: true, maxSockets });
  return {
    send: (options) => send(daemon, agent, options),
    close: () => {
      agent.destroy();
    },
  };
}

/** Sends one request; resolves to its record, whatever became of it. */
export function send(daemon, agent, options) {
  const {
    host,
    path,
    method = "GET",
    body,
    deadlineMs = 1000,
    headers = {},
    id = createRequestId(),
  } = options;
  const record = { id, daemon: daemon.name, method, path, sentAt: performance.now() };
  return new Promise((resolve) => {
    const finish = (result) => {
      clearTimeout(timer);
      resolve(Object.assign(record, { endedAt: performance.now() }, result));
    };
    const call = request({
      agent,
      host: daemon.host,
      port: daemon.port,
      method,
      path,
      headers: {
        host,
        "request-id": id,
        "request-deadline": String(deadlineMs),
        ...(body === undefined ? {} : { "content-length": body.byteLength }),
        ...headers,
      },
    });
    const timer = setTimeout(() => {
      call.destroy(new Error("time budget is over"));
    }, deadlineMs + 1500);
    call.on("error", (error) => {
      finish({ error: error.message });
    });
    call.on("response", (answer) => {
      const chunks = [];
      answer.on("data", (chunk) => chunks.push(chunk));
      answer.on("error", (error) => {
        finish({ status: answer.statusCode, error: error.message });
      });
      answer.on("end", () => {
        finish({
          status: answer.statusCode,
          bytes: chunks.reduce((total, chunk) => total + chunk.byteLength, 0),
          signature: answer.headers["upstream-signature"],
          retryAfterS: Number(answer.headers["retry-after"] ?? 0),
        });
      });
    });
    call.end(body);
  });
}
