/**
 * Stand-in for the platform's metadata store: objects by kind and name, one revision counter, conditional
 * writes, lists and watches. Every call is answered at once and with the newest state.
 */
import { createServer } from "node:http";

const PREFIX = "/hemlockbank/objects/";

/**
 * Starts an empty store on a free loopback port.
 */
export async function startStore() {
  const kinds = new Map();
  const history = [];
  const waiters = new Set();
  let rev = 1;

  const server = createServer((request, response) => {
    const chunks = [];
    request.on("data", (chunk) => chunks.push(chunk));
    request.on("end", () => {
      handle(request, Buffer.concat(chunks).toString(), response).catch(() => response.destroy());
    });
  });
  server.keepAliveTimeout = 60_000;
  await new Promise((resolve) => server.listen(0, "127.0.0.1", resolve));

  return {
    port: server.address().port,
    /** Writes an object without a condition, as operators and servers do. Returns when the write took effect. */
    put(kind, name, spec) {
      apply(kind, name, spec);
      return performance.now();
    },
    /** Removes an object. Returns when the removal took effect. */
    remove(kind, name) {
      const current = table(kind).get(name);
      if (current !== undefined) {
        table(kind).delete(name);
        rev += 1;
        record(kind, { ...current, metadata: { ...current.metadata, rev } }, true);
      }
      return performance.now();
    },
    read: (kind, name) => table(kind).get(name),
    close() {
      server.closeAllConnections();
      server.close();
    },
  };

  function table(kind) {
    let found = kinds.get(kind);
    if (found === undefined) {
      found = new Map();
      kinds.set(kind, found);
    }
    return found;
  }

  function apply(kind, name, spec) {
    rev += 1;
    const createRevision = table(kind).get(name)?.metadata.createRevision ?? rev;
    const metadata = { name, rev, createRevision, finalizers: [], deleting: false };
    const object = { metadata, spec, status: null };
    table(kind).set(name, object);
    record(kind, object, false);
    return object;
  }

  function record(kind, object, deleted) {
    history.push({ kind, rev, deleted, object });
    [...waiters].forEach((wake) => wake());
  }

  async function handle(request, text, response) {
    const url = new URL(request.url, "http://store");
    const [kind = "", name] = url.pathname.slice(PREFIX.length).split("/").map(decodeURIComponent);
    if (request.method !== "GET") {
      const { metadata, spec } = JSON.parse(text);
      write(request.method, kind, metadata, spec, response);
      return;
    }
    if (name !== undefined) {
      const found = table(kind).get(name);
      reply(response, found === undefined ? 404 : 200, found ?? {});
      return;
    }
    if (!url.searchParams.has("watch")) {
      reply(response, 200, { items: [...table(kind).values()], more: false, currentRev: rev });
      return;
    }
    const since = Number(url.searchParams.get("watch"));
    const endAt = performance.now() + Number(url.searchParams.get("waitMs") ?? 0);
    for (;;) {
      const events = history
        .filter((event) => event.kind === kind && event.rev > since)
        .map(({ deleted, object }) => ({ deleted, object }));
      if (events.length > 0 || performance.now() >= endAt || response.destroyed) {
        reply(response, 200, { events, currentRev: rev });
        return;
      }
      await new Promise((resolve) => {
        const finish = () => {
          clearTimeout(timer);
          waiters.delete(finish);
          resolve();
        };
        const timer = setTimeout(finish, Math.max(1, endAt - performance.now()));
        waiters.add(finish);
      });
    }
  }

  function write(method, kind, metadata, spec, response) {
    const current = table(kind).get(metadata.name);
    if (method === "POST") {
      reply(response, current === undefined ? 201 : 409, current ?? apply(kind, metadata.name, spec));
    } else if (current === undefined) {
      reply(response, 404, {});
    } else if (metadata.rev !== undefined && metadata.rev !== current.metadata.rev) {
      reply(response, 409, current);
    } else {
      reply(response, 200, apply(kind, metadata.name, spec));
    }
  }
}

function reply(response, status, body) {
  const content = Buffer.from(JSON.stringify(body));
  response.writeHead(status, { "content-type": "application/json", "content-length": content.byteLength });
  response.end(content);
}
