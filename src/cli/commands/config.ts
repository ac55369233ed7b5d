/** `hemlockbank config …`: checks, plans, applies and follows configurations. */
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
  help: "version that the change was planned for; without it, the version in force now",
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
  summary: "Show what applying a file would change, and the version to apply it from.",
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
  summary: "Apply a configuration file. Refused when somebody else was first.",
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
          : "Nothing to change.",
      );
      return ExitCode.Success;
    }),
};

export const configHistoryCommand: Command = {
  name: "config history",
  arguments: [],
  summary: "List the accepted configurations with their changes.",
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

/** Reads a file as the operator wrote it, after checking it whole. */
function readSource(file: string): unknown {
  loadToml(file, configurationSchema);
  return parse(readFileSync(file, "utf8"));
}

function printChanges(changes: ReturnType<typeof planChanges>): void {
  if (changes.length === 0) {
    printLine("Nothing to change.");
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
    `Refused: version ${base} is no longer in force; ${current.document.author} applied version ${current.version}. Nothing was written.`,
  );
  printLine("Theirs against yours:");
  printChanges(changes);
  printLine("Run config plan again, then apply.");
}

/**
 * Fails on an unknown name with a list of the known ones.
 *
 * @param kind - What is named.
 * @param name - The name.
 * @param known - The known names.
 * @throws InputError when the name is unknown.
 */
export function requireKnown(kind: string, name: string, known: readonly string[]): void {
  if (!known.includes(name)) {
    throw new InputError(`unknown ${kind} "${name}"; known are: ${known.join(", ")}`, {
      props: { step: "read arguments" },
    });
  }
}
