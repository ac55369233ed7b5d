/** Metrics as text: counters by reason, latency histograms, and gauges that are read when asked for. */
import { createServer } from "node:http";
import { Counter, Gauge, Histogram, Registry } from "prom-client";
import { listen } from "../http";
import type { Address } from "../types";
import type { Counters } from "./counters";

const PREFIX = "hemlockbank_";
/** From a fast lookup to a caller's longest deadline, in seconds. */
const LATENCY_BUCKETS_SECONDS = [0.01, 0.025, 0.05, 0.1, 0.15, 0.2, 0.3, 0.4, 0.6, 0.8, 1, 1.5, 2.5, 5];
const MILLISECONDS_PER_SECOND = 1000;
const HTTP_NOT_FOUND = 404;

/** Metrics of one daemon. */
export interface Metrics {
  /** Counters that also appear in the text. */
  readonly counters: Counters;
  /** Takes the time from a request's arrival to its end. */
  recordLatency(service: string, outcome: string, durationMs: number): void;
  /** Adds a gauge whose values, by label, are read when the text is asked for. */
  addGauge(name: string, help: string, label: string, read: () => Readonly<Record<string, number>>): void;
  /** The text in the exposition format. */
  render(): Promise<string>;
}

/**
 * Creates metrics on top of counters.
 *
 * @param inner - Counters that are kept as well.
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
 * Serves the text over HTTP.
 *
 * @param metrics - The metrics.
 * @param address - Where to listen.
 * @param path - Path of the text.
 * @returns Nothing, as soon as the address is bound.
 * @throws Error when the address cannot be bound.
 */
export async function serveMetrics(metrics: Metrics, address: Address, path: string): Promise<void> {
  const server = createServer((message, response) => {
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
