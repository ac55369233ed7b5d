/** Pages that must agree with the code. */
import { readFileSync } from "node:fs";
import { format } from "prettier";
import { describe, expect, test } from "vitest";
import { createConfigurationReference, createSettingsReference } from "../src/cli/commands/reference";
import { Event } from "../src/observability";
import { RefusalReason } from "../src/types";

describe("documents", () => {
  test("the log catalogue lists exactly the events of the code", () => {
    const listed = readTable("docs/LOGS.md");
    const expected = Object.values(Event).map(({ number, severity, message }) => [
      String(number),
      severity,
      message,
    ]);
    expect(listed).toEqual(expected);
  });

  test("event numbers are unique", () => {
    const numbers = Object.values(Event).map((event) => event.number);
    expect(new Set(numbers).size).toBe(numbers.length);
  });

  const references: readonly (readonly [string, () => string])[] = [
    ["docs/operators/settings.md", createSettingsReference],
    ["docs/operators/configuration.md", createConfigurationReference],
  ];

  test.each(references)("%s is what the schema says", async (file, create) => {
    const formatted = await format(create(), { parser: "markdown", printWidth: 110 });
    expect(readFileSync(file, "utf8")).toBe(formatted);
  });

  test("the operators' page explains every refusal reason", () => {
    const explained = new Set(
      readTable("docs/operators/refusals.md").map(([reason]) => reason?.replaceAll("`", "")),
    );
    const missing = Object.values(RefusalReason).filter((reason) => !explained.has(reason));
    expect(missing).toEqual([]);
  });
});

/** Reads the rows of the first table of a page. */
function readTable(file: string): readonly (readonly string[])[] {
  const rows = readFileSync(file, "utf8")
    .split("\n")
    .filter((line) => line.startsWith("|"))
    .map((line) =>
      line
        .split("|")
        .slice(1, -1)
        .map((cell) => cell.trim()),
    );
  return rows.slice(2);
}
