/**
 * Metrics in the Prometheus text format: counters by reason, a latency histogram, and gauges read on each
 * scrape.
 */
import { type ServerResponse, createServer } from "node:http";
import { Counter, Gauge, Histogram, Registry } from "prom-client";
import { describeError } from "../errors";
import { listen } from "../http";
import type { Address } from "../types";
import type { Counters } from "./counters";

const PREFIX = "hemlockbank_";
/** Covers the range from a fast lookup to the longest deadline of a caller. */
const LATENCY_BUCKETS_SECONDS = [0.01, 0.025, 0.05, 0.1, 0.15, 0.2, 0.3, 0.4, 0.6, 0.8, 1, 1.5, 2.5, 5];
const MILLISECONDS_PER_SECOND = 1000;
const HTTP_NOT_FOUND = 404;
const HTTP_METHOD_NOT_ALLOWED = 405;
const HTTP_INTERNAL_ERROR = 500;

/** A further page at the address of the metrics. */
export interface Page {
  /** URL path without a query. */
  readonly path: string;
  /** Returns the status and the content, which is sent as JSON. */
  read(query: URLSearchParams): { readonly status: number; readonly content: unknown };
}

/** Metrics of one daemon. */
export interface Metrics {
  /** Counters that are also rendered as metrics. */
  readonly counters: Counters;
  /** Records the time from a request's arrival to its end, in milliseconds. */
  recordLatency(service: string, outcome: string, durationMs: number): void;
  /** Adds a gauge whose values, by label value, are read on each scrape. */
  addGauge(name: string, help: string, label: string, read: () => Readonly<Record<string, number>>): void;
  /** Renders all metrics in the Prometheus exposition format. */
  render(): Promise<string>;
}

/**
 * Creates metrics on top of counters.
 *
 * @param inner - Counters that are incremented as well.
 * @returns The metrics.
 */
export function createMetrics(inner: Counters): Metrics {
  const registry = new Registry();
  const countersByName = new Map<string, Counter<"reason">>();
  const latency = new Histogram({
    name: `${PREFIX}request_duration_seconds`,
    help: "Time from a request's arrival to its end",
    labelNames: ["service", "outcome"],
    buckets: LATENCY_BUCKETS_SECONDS,
    registers: [registry],
  });

  return {
    counters: {
      ...inner,
      increment: (name, reason, amount = 1) => {
        inner.increment(name, reason, amount);
        getCounter(name).inc({ reason: reason ?? "" }, amount);
      },
    },
    recordLatency: (service, outcome, durationMs) => {
      latency.observe({ service, outcome }, durationMs / MILLISECONDS_PER_SECOND);
    },
    addGauge: (name, help, label, read) => {
      new Gauge({
        name: `${PREFIX}${name}`,
        help,
        labelNames: [label],
        registers: [registry],
        collect() {
          this.reset();
          for (const [value, amount] of Object.entries(read())) {
            this.set({ [label]: value }, amount);
          }
        },
      });
    },
    render: () => registry.metrics(),
  };

  function getCounter(name: string): Counter<"reason"> {
    let counter = countersByName.get(name);
    if (counter === undefined) {
      const metric = name
        .replace(/[^a-zA-Z0-9]+/g, "_")
        .replace(/([a-z])([A-Z])/g, "$1_$2")
        .toLowerCase();
      counter = new Counter({
        name: `${PREFIX}${metric}_total`,
        help: `Occurrences of ${name}`,
        labelNames: ["reason"],
        registers: [registry],
      });
      countersByName.set(name, counter);
    }
    return counter;
  }
}

/**
 * Serves the rendered metrics, and further pages, over HTTP. Pages are only read, with GET.
 *
 * @param metrics - The metrics.
 * @param address - Address to listen on.
 * @param path - URL path of the metrics.
 * @param pages - Further pages.
 * @returns A promise that resolves once the server is listening.
 * @throws Error when the address cannot be bound.
 */
export async function serveMetrics(
  metrics: Metrics,
  address: Address,
  path: string,
  pages: readonly Page[] = [],
): Promise<void> {
  const server = createServer((message, response) => {
    const [pagePath, ...query] = (message.url ?? "").split("?");
    const page = pages.find((each) => each.path === pagePath);
    if (page !== undefined) {
      servePage(page, message.method, new URLSearchParams(query.join("?")), response);
      return;
    }
    if (message.url !== path) {
      response.writeHead(HTTP_NOT_FOUND).end();
      return;
    }
    void metrics.render().then((text) => {
      response.setHeader("content-type", "text/plain; version=0.0.4");
      response.end(text);
    });
  });
  await listen(server, address);
}

function servePage(
  page: Page,
  method: string | undefined,
  query: URLSearchParams,
  response: ServerResponse,
): void {
  if (method !== "GET") {
    response.writeHead(HTTP_METHOD_NOT_ALLOWED, { allow: "GET" }).end();
    return;
  }
  const { status, content } = readPage(page, query);
  response.writeHead(status, { "content-type": "application/json" }).end(`${JSON.stringify(content)}\n`);
}

/** An unexpected error of a page must end neither the process nor the metrics. */
function readPage(page: Page, query: URLSearchParams): ReturnType<Page["read"]> {
  try {
    return page.read(query);
  } catch (error) {
    return { status: HTTP_INTERNAL_ERROR, content: { error: describeError(error) } };
  }
}
