/** Logs and metrics: the volume of logs is limited, and a slow or failing log output blocks nothing. */
import { describe, expect, test } from "vitest";
import {
  Event,
  type EventDetail,
  createRateLimitedLogger,
  createCounters,
  createLineOutput,
  createMetrics,
  silentLogger,
  watchLoopDelay,
} from "../src/observability";
import { createFakeClock } from "./support/fakeClock";

describe("rate-limited logger", () => {
  test("lines above the limit are counted, and the count is logged in the next second", async () => {
    const clock = createFakeClock();
    const lines: (readonly [number, EventDetail | undefined])[] = [];
    const logger = createRateLimitedLogger({
      logger: { log: (kind, detail) => lines.push([kind.number, detail]) },
      clock,
      maxLinesPerSecond: 2,
      consumeDroppedCount: () => 0,
    });
    for (let line = 0; line < 5; line += 1) {
      logger.log(Event.RequestRefused);
    }
    logger.log(Event.ServerEntryRemoved);
    await clock.advance(1000);
    logger.log(Event.RequestRefused);
    // The limit applies to each event; 1841 reports the suppressed lines.
    expect(lines.map(([number]) => number)).toEqual([1831, 1831, 1802, 1841, 1831]);
    expect(lines[3]?.[1]).toMatchObject({ of: 1831, suppressed: 3 });
  });
});

describe("line output", () => {
  test("a slow reader blocks no write, and lines beyond the buffer limit are counted as dropped", () => {
    const output = createLineOutput(() => undefined);
    for (let line = 0; line < 5000; line += 1) {
      expect(output.write("line\n")).toBe(true);
    }
    expect(output.consumeDroppedCount()).toBeGreaterThan(2000);
    expect(output.consumeDroppedCount()).toBe(0);
  });

  test("lines are written in order, and those of a failed write are counted as dropped", () => {
    const written: string[] = [];
    let fails = true;
    const output = createLineOutput((text, done) => {
      written.push(text);
      done(fails ? new Error("closed") : null);
    });
    output.write("1\n");
    fails = false;
    output.write("2\n");
    expect(written).toEqual(["1\n", "2\n"]);
    expect(output.consumeDroppedCount()).toBe(1);
  });
});

// Guards against losing the last lines before the exit, which say how the shutdown ended.
test("the output tells when the lines that waited are written", async () => {
  const pending: (() => void)[] = [];
  const written: string[] = [];
  const output = createLineOutput((text, done) => {
    written.push(text);
    pending.push(() => {
      done(null);
    });
  });
  output.write("1\n");
  output.write("2\n");
  let isWritten = false;
  const whenWritten = output.whenWritten().then(() => {
    isWritten = true;
  });
  pending.shift()?.();
  await Promise.resolve();
  expect(isWritten).toBe(false);
  pending.shift()?.();
  await whenWritten;
  expect(written).toEqual(["1\n", "2\n"]);
});

describe("loop delay", () => {
  test("a timer that runs 300 ms late is logged, and is the longest delay until the next scrape", async () => {
    const clock = createFakeClock();
    let shiftMs = 0;
    const lines: (EventDetail | undefined)[] = [];
    const metrics = createMetrics(createCounters("test"));
    const stop = new AbortController();
    watchLoopDelay({
      clock: { ...clock, now: () => clock.now() + shiftMs },
      logger: { ...silentLogger, log: (_kind, detail) => lines.push(detail) },
      metrics,
      signal: stop.signal,
    });
    await clock.advance(1000);
    expect(lines).toEqual([]);
    shiftMs = 300;
    await clock.advance(100);
    expect(lines).toEqual([{ pausedMs: 300 }]);
    expect(await metrics.render()).toContain('hemlockbank_event_loop_delay_ms{name="max"} 300');
    await clock.advance(100);
    expect(await metrics.render()).toContain('hemlockbank_event_loop_delay_ms{name="max"} 0');
    stop.abort();
  });
});

describe("metrics", () => {
  test("counters, histograms and gauges are rendered in the Prometheus text format", async () => {
    const metrics = createMetrics(createCounters("test"));
    metrics.counters.increment("callers.refused", "503:overloaded");
    metrics.recordLatency("desk", "200", 120);
    metrics.addGauge("owned_ranges", "Owned ranges", "service", () => ({ desk: 3 }));
    const text = await metrics.render();
    expect(text).toContain('hemlockbank_callers_refused_total{reason="503:overloaded"} 1');
    expect(text).toContain(
      'hemlockbank_request_duration_seconds_bucket{le="0.15",service="desk",outcome="200"} 1',
    );
    expect(text).toContain('hemlockbank_owned_ranges{service="desk"} 3');
    expect(metrics.counters.totals()).toEqual({ "callers.refused:503:overloaded": 1 });
  });
});
