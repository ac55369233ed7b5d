/** `hemlockbank reference …`: prints the reference page of the settings or of the configuration. */
import { configurationSchema } from "../../configuration";
import { createReference, settingsSchema } from "../../settings";
import { type Command, ExitCode } from "../command";
import { printLine } from "../output";

/** Returns the reference page of a daemon's settings file, as Markdown. */
export function createSettingsReference(): string {
  return createReference(
    "Settings of a daemon",
    "A TOML file for each daemon. Durations are whole numbers with a unit, such as `250ms` or `2s`.",
    settingsSchema,
  );
}

/** Returns the reference page of the configuration file, as Markdown. */
export function createConfigurationReference(): string {
  return createReference(
    "Configuration",
    "One TOML file for the cluster, applied with `hemlockbank config apply`. Durations are whole numbers with a unit, such as `250ms` or `2s`.",
    configurationSchema,
  );
}

/** The commands that print the reference pages. */
export const referenceCommands: readonly Command[] = [
  {
    name: "reference settings",
    arguments: [],
    summary: "Print the reference of a daemon's settings file.",
    flags: {},
    run: () => printPage(createSettingsReference()),
  },
  {
    name: "reference configuration",
    arguments: [],
    summary: "Print the reference of the configuration file.",
    flags: {},
    run: () => printPage(createConfigurationReference()),
  },
];

function printPage(page: string): Promise<number> {
  printLine(page.trimEnd());
  return Promise.resolve(ExitCode.Success);
}
