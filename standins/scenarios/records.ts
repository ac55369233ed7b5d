/** Reads the records that backend servers write, and finds broken promises in them. */
import { readFileSync } from "node:fs";
import type { RunRecord } from "../backendServer/runLog";
import { groupBy } from "./groupBy";

type RecordLine = RunRecord | { readonly kind: "killed"; readonly server: string; readonly at: number };

/** One run of a request at a backend server; times are on the machine's monotonic clock in milliseconds. */
export interface RecordedRun {
  readonly server: string;
  readonly key: string;
  readonly slot: number;
  readonly method: string;
  readonly callerId: string;
  readonly startedAt: number;
  /** Infinity when neither the run's end nor a kill of the backend server was recorded. */
  readonly endedAt: number;
}

/** Runs, broken promises and overloads found in the records. */
export interface RecordedFacts {
  readonly runs: readonly RecordedRun[];
  /** Pairs of runs for the same key that overlapped at different backend servers. */
  readonly ownershipConflicts: readonly (readonly [RecordedRun, RecordedRun])[];
  /** Caller IDs of the non-idempotent requests that were started more than once. */
  readonly repeatedRequests: readonly string[];
  /** Number of times that a backend server received a request beyond its capacity. */
  readonly overloads: number;
  /** Number of overloads within the backend server's slots, which are possible only during a cold start. */
  readonly coldOverloads: number;
}

/**
 * Reads and evaluates all records.
 *
 * @param file - Path of the record file.
 * @returns Runs, broken promises and overloads.
 */
export function readRecords(file: string): RecordedFacts {
  const lines = readFileSync(file, "utf8")
    .split("\n")
    .filter((line) => line !== "")
    .map((line) => JSON.parse(line) as RecordLine);
  const runs = collectRuns(lines);
  return {
    runs,
    ownershipConflicts: findOwnershipConflicts(runs),
    repeatedRequests: findRepeatedRequests(runs),
    overloads: lines.filter((line) => line.kind === "overload").length,
    coldOverloads: lines.filter((line) => line.kind === "overload" && line.running <= line.slots).length,
  };
}

function collectRuns(lines: readonly RecordLine[]): readonly RecordedRun[] {
  const ends = new Map(lines.flatMap((line) => (line.kind === "end" ? [[line.run, line.at] as const] : [])));
  const kills = lines.filter((line) => line.kind === "killed");
  return lines.flatMap((line) => {
    if (line.kind !== "start") {
      return [];
    }
    const killedAt = kills.find((kill) => kill.server === line.server && kill.at >= line.at)?.at;
    const endedAt = ends.get(line.run) ?? killedAt ?? Number.POSITIVE_INFINITY;
    const { server, key, slot, method, callerId, at: startedAt } = line;
    return [{ server, key, slot, method, callerId, startedAt, endedAt }];
  });
}

/**
 * Finds overlapping runs for the same key. Leaves out requests without a slot: their services have no keys,
 * so any backend server may run them.
 */
function findOwnershipConflicts(
  runs: readonly RecordedRun[],
): readonly (readonly [RecordedRun, RecordedRun])[] {
  const byKey = groupBy(
    runs.filter((run) => run.slot >= 0),
    (run) => run.key,
  );
  return [...byKey.values()].flatMap(findOverlaps);
}

function findOverlaps(runs: readonly RecordedRun[]): readonly (readonly [RecordedRun, RecordedRun])[] {
  const ordered = [...runs].sort((left, right) => left.startedAt - right.startedAt);
  const overlaps: (readonly [RecordedRun, RecordedRun])[] = [];
  ordered.forEach((run, index) => {
    for (const later of ordered.slice(index + 1)) {
      if (later.startedAt >= run.endedAt) {
        break;
      }
      if (later.server !== run.server) {
        overlaps.push([run, later]);
      }
    }
  });
  return overlaps;
}

function findRepeatedRequests(runs: readonly RecordedRun[]): readonly string[] {
  const posts = runs.filter((run) => run.method === "POST" && run.callerId !== "");
  const byCaller = groupBy(posts, (run) => run.callerId);
  return [...byCaller].filter(([, group]) => group.length > 1).map(([callerId]) => callerId);
}
