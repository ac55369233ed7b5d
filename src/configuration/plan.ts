/** Lists the differences between two configurations, for display. */

/** A value that was added, removed or changed. */
export interface PlannedChange {
  readonly kind: "added" | "removed" | "changed";
  /** Path of the value, such as `servers.desk-1.state`. */
  readonly path: string;
  readonly before: string;
  readonly after: string;
}

/**
 * Lists the differences between two configurations as operators wrote them.
 *
 * @param before - The current configuration.
 * @param after - The configuration to apply.
 * @returns The changes, sorted by path.
 */
export function planChanges(before: unknown, after: unknown): readonly PlannedChange[] {
  const valuesBefore = flatten("", before);
  const valuesAfter = flatten("", after);
  const paths = [...new Set([...valuesBefore.keys(), ...valuesAfter.keys()])].sort();
  return paths.flatMap((path) => compareValues(path, valuesBefore.get(path), valuesAfter.get(path)) ?? []);
}

function compareValues(
  path: string,
  before: string | undefined,
  after: string | undefined,
): PlannedChange | undefined {
  if (before === after) {
    return undefined;
  }
  if (before === undefined) {
    return { kind: "added", path, before: "", after: after ?? "" };
  }
  return after === undefined
    ? { kind: "removed", path, before, after: "" }
    : { kind: "changed", path, before, after };
}

function flatten(prefix: string, value: unknown): Map<string, string> {
  if (typeof value !== "object" || value === null || Array.isArray(value)) {
    return new Map(value === undefined ? [] : [[prefix, JSON.stringify(value)]]);
  }
  const entries = Object.entries(value).flatMap(([name, nested]) => [
    ...flatten(prefix === "" ? name : `${prefix}.${name}`, nested),
  ]);
  return new Map(entries);
}
