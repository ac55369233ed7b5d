// Stand-in for the platform's object store: lists, watches, conditional writes, all in memory.
import { createServer } from "node:http";

const PREFIX = "/hemlockbank/objects/";
const HISTORY_MS = 20_000;

/**
 * Starts a store.
 *
 * @param {string} host - Loopback address to listen on.
 * @returns The store with its port and the operations of operators and targets.
 */
export async function startStore(host) {
  const kinds = new Map();
  let history = [];
  let rev = 100;
  let forgotten = 100;
  const clock = () => performance.now();
  const waiting = new Set();
  const calls = { reads: 0, writes: 0 };

  const server = createServer((request, response) => {
    const chunks = [];
    request.on("data", (chunk) => chunks.push(chunk));
    request.on("end", () => {
      handle(request, response, Buffer.concat(chunks).toString());
    });
    request.on("error", () => undefined);
  });
  await new Promise((resolve) => {
    server.listen(0, host, resolve);
  });

  return {
    address: `${host}:${server.address().port}`,
    calls,
    /** Writes an object unconditionally; returns the time of the confirmation. */
    put(kind, name, spec) {
      const known = kinds.get(kind)?.get(name);
      if (known === undefined || JSON.stringify(known.spec) !== JSON.stringify(spec)) {
        store(kind, name, spec, known);
      }
      return clock();
    },
    /** Replaces the value without a new revision, as a heartbeat that changes only `seq` does. */
    touch(kind, name, spec) {
      const known = kinds.get(kind)?.get(name);
      if (known !== undefined) {
        known.spec = spec;
      }
    },
    /** Removes an object; returns the time of the confirmation. */
    remove(kind, name) {
      const known = kinds.get(kind)?.get(name);
      if (known !== undefined) {
        kinds.get(kind).delete(name);
        rev += 1;
        record(kind, { ...known, metadata: { ...known.metadata, rev } }, true);
      }
      return clock();
    },
    get: (kind, name) => kinds.get(kind)?.get(name)?.spec,
    /** Cuts off the watches of a kind that wait now. Returns their number. */
    cutWatches(kind) {
      const cut = [...waiting].filter((each) => each.kind === kind);
      for (const each of cut) {
        waiting.delete(each);
        clearTimeout(each.timer);
        each.response.socket?.destroy();
      }
      return cut.length;
    },
    async close() {
      for (const each of waiting) {
        clearTimeout(each.timer);
      }
      server.closeAllConnections();
      await new Promise((resolve) => {
        server.close(resolve);
      });
    },
  };

  function store(kind, name, spec, known) {
    rev += 1;
    const metadata = {
      name,
      rev,
      createRevision: known?.metadata.createRevision ?? rev,
      finalizers: [],
      deleting: false,
    };
    const object = { metadata, spec, status: null };
    if (!kinds.has(kind)) {
      kinds.set(kind, new Map());
    }
    kinds.get(kind).set(name, object);
    record(kind, object, false);
    return object;
  }

  function record(kind, object, deleted) {
    const now = clock();
    const kept = history.filter((event) => now - event.at < HISTORY_MS);
    if (kept.length < history.length) {
      forgotten = history[history.length - kept.length - 1].rev;
    }
    history = [...kept, { kind, rev, at: now, event: { deleted, object: { ...object } } }];
    // Events go out after the writer has its confirmation, in a turn of their own.
    setImmediate(answerWatches);
  }

  function answerWatches() {
    for (const each of [...waiting]) {
      const events = listEvents(each.kind, each.since);
      if (events.length > 0) {
        waiting.delete(each);
        clearTimeout(each.timer);
        reply(each.response, 200, { events, currentRev: rev });
      }
    }
  }

  function listEvents(kind, since) {
    return history.filter((each) => each.kind === kind && each.rev > since).map(({ event }) => event);
  }

  function handle(request, response, text) {
    const url = new URL(request.url, `http://${host}`);
    const [kind = "", name, part] = url.pathname.slice(PREFIX.length).split("/").map(decodeURIComponent);
    if (!url.pathname.startsWith(PREFIX) || part === "status") {
      reply(response, 404, {});
      return;
    }
    calls[request.method === "GET" ? "reads" : "writes"] += 1;
    const objects = kinds.get(kind) ?? new Map();
    switch (request.method) {
      case "GET":
        if (url.searchParams.has("watch")) {
          watch(
            kind,
            Number(url.searchParams.get("watch")),
            Number(url.searchParams.get("waitMs")),
            response,
          );
        } else if (name !== undefined) {
          const object = objects.get(name);
          reply(response, object === undefined ? 404 : 200, object ?? {});
        } else {
          const after = url.searchParams.get("after") ?? "";
          const items = [...objects.values()]
            .filter((each) => each.metadata.name > after)
            .sort((left, right) => (left.metadata.name < right.metadata.name ? -1 : 1));
          reply(response, 200, { items, more: false, currentRev: rev });
        }
        return;
      case "POST": {
        const body = JSON.parse(text);
        const known = objects.get(body.metadata.name);
        reply(
          response,
          known === undefined ? 201 : 409,
          known ?? store(kind, body.metadata.name, body.spec, undefined),
        );
        return;
      }
      case "PUT": {
        const body = JSON.parse(text);
        const known = objects.get(name);
        if (known === undefined) {
          reply(response, 404, {});
        } else if (body.metadata?.rev !== undefined && body.metadata.rev !== known.metadata.rev) {
          reply(response, 409, known);
        } else if (JSON.stringify(body.spec) === JSON.stringify(known.spec)) {
          reply(response, 200, known);
        } else {
          reply(response, 200, store(kind, name, body.spec, known));
        }
        return;
      }
      default:
        reply(response, 400, {});
    }
  }

  function watch(kind, since, waitMs, response) {
    if (since < forgotten) {
      reply(response, 410, {});
      return;
    }
    const events = listEvents(kind, since);
    if (events.length > 0 || waitMs === 0) {
      reply(response, 200, { events, currentRev: rev });
      return;
    }
    const each = { kind, since, response, timer: undefined };
    each.timer = setTimeout(() => {
      waiting.delete(each);
      reply(response, 200, { events: [], currentRev: rev });
    }, waitMs);
    waiting.add(each);
    response.once("close", () => {
      waiting.delete(each);
      clearTimeout(each.timer);
    });
  }

  function reply(response, status, body) {
    const content = Buffer.from(JSON.stringify(body));
    response.writeHead(status, { "content-type": "application/json", "content-length": content.byteLength });
    response.end(content);
  }
}
