// Stand-in for a backend server ("target"): registers in the store, runs requests, and records what it ran.
import { createServer } from "node:http";

const HEARTBEAT_MS = 870;

/**
 * Starts a target. By default it answers each request after `workMs` with a small signed body.
 *
 * @param options - Store, place and behaviour; `answer` replaces the default answer.
 * @returns The target with the list of what it ran.
 */
export async function startTarget(options) {
  const { store, id, service, host, zone, capacity = 4, workMs = 20, answer } = options;
  const runs = [];
  const born = Date.now();
  let seq = 0;
  let state = "ready";
  let isListed = true;
  const server = createServer((request, response) => {
    handle(request, response);
  });
  server.keepAliveTimeout = 10_000;
  await new Promise((resolve) => {
    server.listen(0, host, resolve);
  });
  const address = `${host}:${server.address().port}`;
  register();
  const heartbeat = setInterval(register, HEARTBEAT_MS);

  return {
    id,
    address,
    runs,
    born,
    /** Reports that it is draining; returns the time of the confirmation. */
    drain: () => {
      state = "draining";
      seq += 1;
      return store.put("servers", id, describe());
    },
    /** Removes its entry without a report; it runs on. Returns the time of the confirmation. */
    unlist: () => {
      isListed = false;
      clearInterval(heartbeat);
      return store.remove("servers", id);
    },
    close: async () => {
      clearInterval(heartbeat);
      server.closeAllConnections();
      await new Promise((resolve) => {
        server.close(resolve);
      });
    },
  };

  function describe() {
    return {
      address,
      born,
      info: { service, version: "v1", zone, capacity },
      status: { state, seq, warmupLeftS: 0 },
    };
  }

  function register() {
    if (!isListed) {
      return;
    }
    seq += 1;
    if (store.get("servers", id) === undefined) {
      store.put("servers", id, describe());
    } else {
      store.touch("servers", id, describe());
    }
  }

  function handle(request, response) {
    const requestId = request.headers["request-id"];
    const expected = request.headers["target-instance"];
    if (expected !== undefined && expected !== id) {
      request.resume();
      response.writeHead(421, { "not-executed": "1", "instance-id": id, "content-length": 0 });
      response.end();
      return;
    }
    runs.push({ requestId, at: performance.now(), method: request.method, path: request.url });
    if (answer !== undefined) {
      answer(request, response, { requestId, id });
      return;
    }
    request.resume();
    request.on("end", () => {
      setTimeout(() => {
        const body = Buffer.from(`${id} ran ${requestId}\n`);
        response.writeHead(200, {
          "request-id": requestId,
          "upstream-signature": `signed.${requestId}`,
          "instance-load": `1,0,${capacity}`,
          "content-length": body.byteLength,
        });
        response.end(body);
      }, workMs);
    });
  }
}

/** Creates a configuration with one route for each service. */
export function createConfiguration(version, routes, services) {
  return {
    version: version.toString(16).padStart(8, "0"),
    resources: [
      ...routes.map(({ name, ...spec }) => ({ type: "routes", metadata: { name }, spec })),
      ...services.map(({ name, ...spec }) => ({
        type: "services",
        metadata: { name },
        spec: {
          healthPath: "/healthz",
          maxConns: 130,
          protocol: "h1",
          tls: false,
          warmupS: 3,
          warmupPerS: 13,
          ...spec,
        },
      })),
      {
        type: "limits",
        metadata: {},
        spec: { maxHeaderBytes: 16384, maxBodyBytes: 67108864, headerTimeoutS: 3, idleTimeoutS: 15 },
      },
    ],
  };
}
