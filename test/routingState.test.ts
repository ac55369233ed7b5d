/** The configuration in force: it never goes back to an older version, and an unreadable one changes nothing. */
import { describe, expect, test } from "vitest";
import { createRoutingState } from "../src/gateway";
import { silentLogger } from "../src/observability";
import { decodeConfiguration } from "../platform/decoding";

const PATH = "config/main";

function createState() {
  const accepted: number[] = [];
  const state = createRoutingState({
    configurationPath: PATH,
    decode: decodeConfiguration,
    onConfiguration: (configuration) => accepted.push(configuration.version),
    onExclusions: () => undefined,
    random: () => 0,
    logger: silentLogger,
  });
  const isServed = (path: string) => state.findActive()?.matcher.match("a.example", path) !== undefined;
  return { accepted, isServed, ...state };
}

/** Creates the stored configuration of a version, with one route for each path prefix. */
function createObject(version: number, pathPrefixes: readonly string[]) {
  const resources = pathPrefixes.map((pathPrefix) => ({
    type: "routes",
    metadata: { name: pathPrefix },
    spec: { host: "a.example", pathPrefix, kind: "safe", attempts: 1, service: "desk" },
  }));
  const value = { version: version.toString(16).padStart(8, "0"), resources };
  return { path: PATH, version, value };
}

describe("configuration in force", () => {
  test("a newer version replaces the routes, whether it was listed or reported as a change", () => {
    const { configurations, accepted, isServed } = createState();
    configurations.onList([createObject(3, ["/old/"])]);
    configurations.onChange([createObject(8, ["/new/"])], []);
    expect(accepted).toEqual([3, 8]);
    expect([isServed("/old/x"), isServed("/new/x")]).toEqual([false, true]);
    configurations.onList([createObject(12, ["/old/", "/new/"])]);
    expect([isServed("/old/x"), isServed("/new/x")]).toEqual([true, true]);
  });

  const ignored = [
    { name: "an older version", object: createObject(7, ["/old/"]) },
    { name: "the same version", object: createObject(8, ["/old/"]) },
    { name: "an unreadable version", object: { path: PATH, version: 9, value: { version: "9" } } },
    { name: "another object", object: { ...createObject(9, ["/old/"]), path: "config/other" } },
  ];
  test.each(ignored)("$name changes nothing, whether listed or reported as a change", ({ object }) => {
    const { configurations, accepted, isServed } = createState();
    configurations.onList([createObject(8, ["/new/"])]);
    configurations.onList([object]);
    configurations.onChange([object], []);
    configurations.onChange([], [PATH]);
    expect(accepted).toEqual([8]);
    expect([isServed("/old/x"), isServed("/new/x")]).toEqual([false, true]);
  });
});
