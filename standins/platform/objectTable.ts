/** Object table of the platform stand-in: versioned objects, conditional writes and long-poll watches. */

/** An object with its version. */
export interface TableObject {
  readonly path: string;
  readonly version: number;
  readonly value: unknown;
}

/** Listed or changed objects, as of a version of the table. */
export interface TableChanges {
  readonly objects: readonly TableObject[];
  readonly version: number;
}

/** Result of a conditional write. */
export type TableWriteResult =
  | { readonly kind: "written"; readonly version: number }
  | { readonly kind: "conflict"; readonly current: TableObject | undefined };

/** Objects that take their versions from one counter, so that versions order the writes of all objects. */
export interface ObjectTable {
  read(path: string): TableObject | undefined;
  write(path: string, value: unknown, base: number): TableWriteResult;
  list(prefix: string): TableChanges;
  /**
   * Returns the changes after version `since`. Without any, waits for the next write to any object, at most
   * `waitMs` milliseconds.
   */
  watch(prefix: string, since: number, waitMs: number): Promise<TableChanges>;
}

/**
 * Creates an empty table.
 *
 * @returns The table.
 */
export function createObjectTable(): ObjectTable {
  const objects = new Map<string, TableObject>();
  const watchers = new Set<() => void>();
  let version = 0;

  return {
    read: (path) => objects.get(path),
    write: (path, value, base) => {
      const current = objects.get(path);
      if ((current?.version ?? 0) !== base) {
        return { kind: "conflict", current };
      }
      version += 1;
      objects.set(path, { path, version, value });
      for (const wake of watchers) {
        wake();
      }
      return { kind: "written", version };
    },
    list: (prefix) => listChangesSince(prefix, 0),
    watch: async (prefix, since, waitMs) => {
      const changes = listChangesSince(prefix, since);
      if (changes.objects.length > 0) {
        return changes;
      }
      await waitForWrite(waitMs);
      return listChangesSince(prefix, since);
    },
  };

  function listChangesSince(prefix: string, since: number): TableChanges {
    const changed = [...objects.values()].filter(
      (object) => object.path.startsWith(prefix) && object.version > since,
    );
    return { objects: changed, version };
  }

  function waitForWrite(waitMs: number): Promise<void> {
    return new Promise((resolve) => {
      const finish = () => {
        clearTimeout(timer);
        watchers.delete(finish);
        resolve();
      };
      const timer = setTimeout(finish, waitMs);
      watchers.add(finish);
    });
  }
}
