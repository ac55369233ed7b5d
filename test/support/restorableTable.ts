/** An object table that can be restored from a copy of an earlier state, as an object store after a drill. */
import {
  type ObjectTable,
  type TableObject,
  type TableWriteResult,
  createObjectTable,
} from "../../standins/platform/objectTable";

/** Versions of one timeline; those of the next one are all higher. */
const VERSIONS_PER_TIMELINE = 2 ** 40;

/** An object table with one copy of its state. */
export interface RestorableTable extends ObjectTable {
  /** Keeps a copy of the current state. */
  copy(): void;
  /** Goes back to the copy, or to an empty table without one. Revisions since then are given out again. */
  restore(): void;
  /** Returns how often the table was restored. */
  countRestores(): number;
}

/**
 * Creates an empty table.
 *
 * @returns The table.
 */
export function createRestorableTable(): RestorableTable {
  let writes: (readonly [path: string, value: unknown])[] = [];
  let copied: typeof writes = [];
  let table = createObjectTable();
  let restores = 0;
  const toVersion = (revision: number) => restores * VERSIONS_PER_TIMELINE + revision;
  const toObject = (object: TableObject | undefined) =>
    object === undefined ? undefined : { ...object, version: toVersion(object.version) };

  return {
    read: (path) => toObject(table.read(path)),
    write: (path, value, base) => {
      const isOfTimeline = base === 0 || Math.floor(base / VERSIONS_PER_TIMELINE) === restores;
      return isOfTimeline
        ? write(path, value, base)
        : { kind: "conflict", current: toObject(table.read(path)) };
    },
    list: (prefix) => {
      const { objects, version } = table.list(prefix);
      return { objects: objects.flatMap((object) => toObject(object) ?? []), version: toVersion(version) };
    },
    watch: () => Promise.reject(new Error("the restorable table has no watches")),
    copy: () => {
      copied = writes;
    },
    restore: () => {
      restores += 1;
      writes = [];
      table = createObjectTable();
      copied.forEach(([path, value]) => {
        append(path, value, table.read(path)?.version ?? 0);
      });
    },
    countRestores: () => restores,
  };

  function write(path: string, value: unknown, base: number): TableWriteResult {
    const result = append(path, value, base % VERSIONS_PER_TIMELINE);
    return result.kind === "written"
      ? { kind: "written", version: toVersion(result.version) }
      : { kind: "conflict", current: toObject(result.current) };
  }

  function append(path: string, value: unknown, base: number): TableWriteResult {
    const result = table.write(path, value, base);
    if (result.kind === "written") {
      writes = [...writes, [path, value]];
    }
    return result;
  }
}
