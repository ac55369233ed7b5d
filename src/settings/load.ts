/** Reads TOML files and validates them against a schema. */
import { readFileSync } from "node:fs";
import { parse } from "smol-toml";
import type { z } from "zod";
import { InputError, describeError } from "../errors";
import { type Settings, settingsSchema } from "./schema";

/**
 * Reads the settings of a daemon.
 *
 * @param file - Path of the TOML file.
 * @returns The validated settings.
 * @throws InputError when the file cannot be read or parsed, or when values are invalid; the message then
 *   names the path of each.
 */
export function loadSettings(file: string): Settings {
  return loadToml(file, settingsSchema);
}

/**
 * Reads a TOML file and validates its content.
 *
 * @param file - Path of the file.
 * @param schema - Schema of its content.
 * @returns The validated content, with the schema's defaults.
 * @throws InputError when the file cannot be read or parsed, or when values are invalid; the message then
 *   names the path of each.
 */
export function loadToml<Schema extends z.ZodType>(file: string, schema: Schema): z.output<Schema> {
  return checkValue(file, parseToml(file, readText(file)), schema);
}

/**
 * Validates a value against a schema.
 *
 * @param source - Name of the value's origin, such as a file, for the error message.
 * @param value - The value.
 * @param schema - Its schema.
 * @returns The validated value, with the schema's defaults.
 * @throws InputError naming the path of each invalid value.
 */
export function checkValue<Schema extends z.ZodType>(
  source: string,
  value: unknown,
  schema: Schema,
): z.output<Schema> {
  const result = schema.safeParse(value);
  if (result.success) {
    return result.data;
  }
  const problems = result.error.issues.map((issue) => `${formatPath(issue.path)}: ${describeIssue(issue)}`);
  throw new InputError(`invalid ${source}: ${problems.join("; ")}`, { props: { step: `check ${source}` } });
}

/** Describes an issue. For an invalid key, zod's own message lacks the reason; the nested issue has it. */
function describeIssue(issue: z.core.$ZodIssue): string {
  const [inner] = issue.code === "invalid_key" ? issue.issues : [];
  return inner === undefined ? issue.message : `the name ${inner.message}`;
}

function readText(file: string): string {
  try {
    return readFileSync(file, "utf8");
  } catch (error) {
    throw new InputError(`cannot read ${file}: ${describeError(error)}`, { props: { step: `read ${file}` } });
  }
}

function parseToml(file: string, text: string): unknown {
  try {
    return parse(text);
  } catch (error) {
    const firstLine = describeError(error).split("\n")[0] ?? "";
    throw new InputError(`cannot parse ${file}: ${firstLine}`, { props: { step: `parse ${file}` } });
  }
}

function formatPath(path: readonly PropertyKey[]): string {
  if (path.length === 0) {
    return "file";
  }
  return path.map((part, index) => formatPathPart(part, index)).join("");
}

function formatPathPart(part: PropertyKey, index: number): string {
  if (typeof part === "number") {
    return `[${part}]`;
  }
  return index === 0 ? String(part) : `.${String(part)}`;
}
