/** `hemlockbank config …`: checks, plans and applies configurations, shows their history and rollout. */
import { userInfo } from "node:os";
import { parse } from "smol-toml";
import { readFileSync } from "node:fs";
import {
  type StoredConfiguration,
  applyConfiguration,
  listHistory,
  readConfiguration,
} from "../../configuration/apply";
import { planChanges } from "../../configuration/plan";
import { configurationSchema } from "../../configuration";
import type { DaemonStatus } from "../../daemon";
import { InputError } from "../../errors";
import { loadToml } from "../../settings";
import { fetchFromAdmin } from "../adminClient";
import {
  type Command,
  ExitCode,
  type FlagValues,
  adminFlag,
  jsonFlag,
  platformFlag,
  getTextFlag,
} from "../command";
import { printJson, printLine, printTable } from "../output";
import { withPlatform } from "../platformClient";

const baseFlag = {
  type: "number",
  help: "version that the change is based on, as config plan prints it; without it, the current version",
} as const;

export const configCheckCommand: Command = {
  name: "config check",
  arguments: ["FILE"],
  summary: "Check a configuration file without applying it.",
  flags: {},
  run: (input) => {
    const file = input[0] ?? "";
    const { services, servers, data_centres: dataCentres } = loadToml(file, configurationSchema);
    const count = (values: object) => Object.keys(values).length;
    printLine(
      `${file}: valid; ${count(services)} services, ${count(servers)} backend servers, ${count(dataCentres)} data centres`,
    );
    return Promise.resolve(ExitCode.Success);
  },
};

export const configPlanCommand: Command = {
  name: "config plan",
  arguments: ["FILE"],
  summary: "Show what applying a file would change, and the version to pass as --base.",
  flags: { platform: platformFlag, json: jsonFlag },
  run: (input, flags) =>
    withPlatform(flags, async ({ objects }) => {
      const source = readSource(input[0] ?? "");
      const current = await readConfiguration(objects);
      const changes = planChanges(current?.document.source, source);
      const base = current?.version ?? 0;
      if (flags.json === true) {
        printJson({ base, changes });
        return ExitCode.Success;
      }
      printChanges(changes);
      printLine(
        `Apply with: hemlockbank config apply ${input[0] ?? ""} --platform ${getTextFlag(flags, "platform")} --base ${base}`,
      );
      return ExitCode.Success;
    }),
};

export const configApplyCommand: Command = {
  name: "config apply",
  arguments: ["FILE"],
  summary: "Apply a configuration file. Fails if the configuration has changed since the base version.",
  flags: { platform: platformFlag, base: baseFlag, json: jsonFlag },
  run: (input, flags) =>
    withPlatform(flags, async ({ objects }) => {
      const source = readSource(input[0] ?? "");
      const current = await readConfiguration(objects);
      const base = typeof flags.base === "number" ? flags.base : (current?.version ?? 0);
      const result = await applyConfiguration(objects, { source, base, author: userInfo().username });
      if (result.kind === "stale") {
        printStaleResult(result.current, base, source, flags);
        return ExitCode.Failure;
      }
      printResult(
        flags,
        result,
        result.kind === "applied"
          ? `Applied as number ${result.number}, version ${result.version}.`
          : "No changes.",
      );
      return ExitCode.Success;
    }),
};

export const configHistoryCommand: Command = {
  name: "config history",
  arguments: [],
  summary: "List the applied configurations, with the number of values that each changed.",
  flags: { platform: platformFlag, json: jsonFlag },
  run: (_input, flags) =>
    withPlatform(flags, async ({ objects }) => {
      const history = await listHistory(objects);
      const rows = history.map((document, index) => ({
        number: document.number,
        author: document.author,
        changes: planChanges(history[index - 1]?.source, document.source).length,
      }));
      if (flags.json === true) {
        printJson(rows);
      } else {
        printTable(
          ["number", "author", "values changed"],
          rows.map((row) => [row.number, row.author, row.changes]),
        );
      }
      return ExitCode.Success;
    }),
};

export const configRolloutCommand: Command = {
  name: "config rollout",
  arguments: [],
  summary: "Show which daemons have the newest configuration in force.",
  flags: { platform: platformFlag, admin: adminFlag, json: jsonFlag },
  run: (_input, flags) =>
    withPlatform(flags, async ({ objects }) => {
      const version = (await readConfiguration(objects))?.version ?? 0;
      const { members } = (await fetchFromAdmin(getTextFlag(flags, "admin"), "/status")) as DaemonStatus;
      const behind = members
        .filter((member) => member.configurationVersion < version)
        .map((member) => member.daemon);
      const inForce = members.length - behind.length;
      if (flags.json === true) {
        printJson({ version, inForce, behind });
      } else {
        const names = behind.length === 0 ? "" : `; not yet: ${behind.join(", ")}`;
        printLine(`Version ${version} is in force on ${inForce} of ${members.length} daemons${names}.`);
      }
      return behind.length === 0 ? ExitCode.Success : ExitCode.Failure;
    }),
};

/** Validates a configuration file and returns its values as written, without the schema's defaults. */
function readSource(file: string): unknown {
  loadToml(file, configurationSchema);
  return parse(readFileSync(file, "utf8"));
}

function printChanges(changes: ReturnType<typeof planChanges>): void {
  if (changes.length === 0) {
    printLine("No changes.");
    return;
  }
  for (const { kind, path, before, after } of changes) {
    const lines = {
      added: `+ ${path} = ${after}`,
      removed: `- ${path} = ${before}`,
      changed: `~ ${path}: ${before} -> ${after}`,
    };
    printLine(lines[kind]);
  }
}

function printResult(flags: FlagValues, result: unknown, line: string): void {
  if (flags.json === true) {
    printJson(result);
  } else {
    printLine(line);
  }
}

function printStaleResult(
  current: StoredConfiguration,
  base: number,
  source: unknown,
  flags: FlagValues,
): void {
  const changes = planChanges(source, current.document.source);
  if (flags.json === true) {
    printJson({ kind: "stale", base, current: current.version, author: current.document.author, changes });
    return;
  }
  printLine(
    `Refused: version ${base} is no longer current; ${current.document.author} applied version ${current.version}. Nothing was written.`,
  );
  printLine("Changes from your file to the current configuration:");
  printChanges(changes);
  printLine("Run config plan again, then config apply.");
}

/**
 * Throws an error that lists the known names when a name is not one of them.
 *
 * @param kind - What the name stands for, such as `backend server`.
 * @param name - The name.
 * @param known - The known names.
 * @throws InputError when the name is not in `known`.
 */
export function requireKnown(kind: string, name: string, known: readonly string[]): void {
  if (!known.includes(name)) {
    throw new InputError(`unknown ${kind} "${name}"; known names: ${known.join(", ")}`, {
      props: { step: "read arguments" },
    });
  }
}
