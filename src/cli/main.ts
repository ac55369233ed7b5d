/** Entry point of the program: selects the command, checks its options and runs it. */
import meow from "meow";
import { RELEASE } from "../daemon";
import { HemlockbankError, InputError, describeError } from "../errors";
import { type Command, ExitCode, type Flag, type FlagValues } from "./command";
import {
  configApplyCommand,
  configCheckCommand,
  configHistoryCommand,
  configPlanCommand,
  configRolloutCommand,
} from "./commands/config";
import { daemonCommand } from "./commands/daemon";
import { explainRouteCommand } from "./commands/explain";
import { keyOwnerCommand, statusCommand } from "./commands/inspect";
import { stateCommands, stoppedDaemonCommand, stoppedServerCommand } from "./commands/operate";
import { questionnaireCommand } from "./commands/questionnaire";
import { referenceCommands } from "./commands/reference";
import { printLine } from "./output";

const commands: readonly Command[] = [
  questionnaireCommand,
  daemonCommand,
  configCheckCommand,
  configPlanCommand,
  configApplyCommand,
  configRolloutCommand,
  configHistoryCommand,
  statusCommand,
  keyOwnerCommand,
  explainRouteCommand,
  ...stateCommands,
  stoppedDaemonCommand,
  stoppedServerCommand,
  ...referenceCommands,
];

void main(process.argv.slice(2)).then((code) => {
  // Exits explicitly: a connection that a library keeps open would keep a stopped daemon's process alive.
  process.exit(code);
});

async function main(args: readonly string[]): Promise<number> {
  process.on("unhandledRejection", (error) => {
    process.stderr.write(`unexpected error: ${describeError(error)}\n`);
  });
  if (args[0] === "--version") {
    printLine(RELEASE);
    return ExitCode.Success;
  }
  const command = findCommand(args);
  if (command === undefined) {
    return showUsage(args);
  }
  try {
    return await runCommand(command, args.slice(command.name.split(" ").length));
  } catch (error) {
    return reportError(error);
  }
}

function findCommand(args: readonly string[]): Command | undefined {
  return commands.find((command) => command.name.split(" ").every((word, index) => args[index] === word));
}

function showUsage(args: readonly string[]): number {
  const isHelpRequested = args.length === 0 || args[0] === "--help";
  const words = args.filter((arg) => !arg.startsWith("-")).join(" ");
  const matching = commands.filter((command) => words !== "" && command.name.startsWith(words));
  const listed = matching.length > 0 ? matching : commands;
  if (!isHelpRequested && matching.length === 0) {
    process.stderr.write(`unknown command "${words}"; run hemlockbank --help for the list\n`);
    return ExitCode.WrongInput;
  }
  printLine("Usage: hemlockbank COMMAND [OPTIONS]   (--help after a command shows its options)\n");
  for (const command of listed) {
    printLine(`  ${[command.name, ...command.arguments].join(" ").padEnd(28)}${command.summary}`);
  }
  return ExitCode.Success;
}

async function runCommand(command: Command, args: readonly string[]): Promise<number> {
  const help = createHelp(command);
  if (args.includes("--help")) {
    printLine(help);
    return ExitCode.Success;
  }
  const { input, flags } = meow(help, {
    // meow requires a URL here, but does not use it when `pkg` is given.
    importMeta: { url: "file:///hemlockbank" } as ImportMeta,
    pkg: { name: "hemlockbank", version: RELEASE },
    argv: [...args],
    autoHelp: false,
    autoVersion: false,
    flags: Object.fromEntries(Object.entries(command.flags).map(([name, flag]) => [name, toMeowFlag(flag)])),
  });
  checkUsage(command, input, flags, args);
  return command.run(input, flags);
}

function toMeowFlag(flag: Flag) {
  return { type: flag.type, ...(flag.default === undefined ? {} : { default: flag.default }) } as {
    type: "string";
  };
}

function checkUsage(
  command: Command,
  input: readonly string[],
  flags: FlagValues,
  args: readonly string[],
): void {
  const unknown = args
    .filter((arg) => arg.startsWith("--"))
    .map((arg) => arg.slice(2).split("=")[0] ?? "")
    .find((name) => !(name in command.flags));
  if (unknown !== undefined) {
    throw createUsageError(command, `unknown option --${unknown}`);
  }
  for (const [name, flag] of Object.entries(command.flags)) {
    if (flag.isRequired === true && (flags[name] === undefined || flags[name] === "")) {
      throw createUsageError(command, `missing required option --${name}`);
    }
  }
  if (input.length !== command.arguments.length) {
    throw createUsageError(
      command,
      `expected ${command.arguments.length} arguments (${command.arguments.join(" ")}), got ${input.length}`,
    );
  }
}

function createUsageError(command: Command, message: string): Error {
  return new InputError(`${command.name}: ${message}; run: hemlockbank ${command.name} --help`, {
    props: { step: command.name },
  });
}

function createHelp(command: Command): string {
  const options = Object.entries(command.flags).map(([name, flag]) => {
    const value = flag.type === "boolean" ? "" : ` ${flag.type.toUpperCase()}`;
    return `  ${`--${name}${value}`.padEnd(22)}${flag.help}${flag.isRequired === true ? " (required)" : ""}`;
  });
  const usage = ["hemlockbank", command.name, ...command.arguments].join(" ");
  return [`Usage: ${usage} [OPTIONS]`, "", command.summary, "", ...options].join("\n").trimEnd();
}

function reportError(error: unknown): number {
  process.stderr.write(`${describeError(error)}\n`);
  if (error instanceof InputError) {
    return ExitCode.WrongInput;
  }
  if (!(error instanceof HemlockbankError)) {
    process.stderr.write(`${error instanceof Error ? (error.stack ?? "") : ""}\n`);
  }
  return ExitCode.Failure;
}
