/** The page `/explain` beside the metrics, as operators and the command reach it; listens on the loopback address. */
import { expect, test, vi } from "vitest";
import { explainRouteCommand } from "../src/cli/commands/explain";
import { createExplainPage } from "../src/gateway";
import { createCounters, createMetrics, serveMetrics } from "../src/observability";
import { HOST, findFreePort } from "../standins/scenarios/ports";
import { createExplainedDaemon } from "./support/explainedDaemon";

test("answers in JSON, refuses bad questions with an error, and leaves the metrics as they were", async () => {
  const { explain } = createExplainedDaemon();
  const question = { host: "a.example", path: "/x", key: undefined, organisation: undefined };
  const port = await findFreePort();
  const metrics = createMetrics(createCounters("test"));
  const failing = {
    path: "/failing",
    read: () => {
      throw new Error("defect");
    },
  };
  await serveMetrics(metrics, { host: HOST, port }, "/metrics", [createExplainPage(explain), failing]);
  const read = async (path: string, method = "GET") => {
    const response = await fetch(`http://${HOST}:${port}${path}`, { method });
    return [response.status, await response.text()] as const;
  };

  const [status, text] = await read("/explain?host=a.example&path=/x");
  expect([status, JSON.parse(text)]).toEqual([200, explain(question)]);
  expect(await read("/explain?host=a.example&path=/&key=x")).toEqual([
    400,
    expect.stringContaining("key must be a whole number from 0 to 65535"),
  ]);
  expect(await read("/explain?host=a.example&path=/&organisation=o")).toEqual([
    400,
    expect.stringContaining("names no organisations"),
  ]);
  expect((await read("/explain?host=a.example&path=/", "POST"))[0]).toBe(405);
  expect(await read("/failing")).toEqual([500, expect.stringContaining("defect")]);
  expect([(await read("/metrics"))[0], (await read("/explained"))[0]]).toEqual([200, 404]);

  const written = vi.spyOn(process.stdout, "write").mockReturnValue(true);
  const run = (flags: Record<string, string>) =>
    explainRouteCommand.run([], { host: "a.example", path: "/x", daemon: `${HOST}:${port}`, ...flags });
  try {
    expect(await run({})).toBe(0);
    expect(written.mock.calls.join("")).toContain("Decision: sent to s1");
  } finally {
    written.mockRestore();
  }
  await expect(run({ key: "-1" })).rejects.toThrow(/key must be/);
  await expect(run({ daemon: "a.example" })).rejects.toThrow(/--daemon must be HOST:PORT/);
  await expect(run({ daemon: `${HOST}:${await findFreePort()}` })).rejects.toThrow(/check that --daemon/);
});
