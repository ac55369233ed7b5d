/** Declaration of a command, and what the commands have in common. */

/** Values of a command's options, by name. */
export type FlagValues = Readonly<Record<string, string | number | boolean | undefined>>;

/** Declaration of an option. */
export interface Flag {
  readonly type: "string" | "number" | "boolean";
  readonly help: string;
  readonly isRequired?: boolean;
  readonly default?: string | number | boolean;
}

/** Declaration of a command. */
export interface Command {
  /** Words that select the command, such as `config apply`. */
  readonly name: string;
  /** Names of the positional arguments, all of which are required. */
  readonly arguments: readonly string[];
  readonly summary: string;
  readonly flags: Readonly<Record<string, Flag>>;
  /**
   * Runs the command on its positional arguments and options, and returns its exit code. Throws InputError on
   * invalid input.
   */
  run(input: readonly string[], flags: FlagValues): Promise<number>;
}

/** Exit codes of the program. */
export const ExitCode = { Success: 0, Failure: 1, WrongInput: 2 } as const;

/**
 * Returns the value of a string option.
 *
 * @param flags - Values of the options.
 * @param name - Name of the option.
 * @returns Its value, or an empty string when it was not given.
 */
export function getTextFlag(flags: FlagValues, name: string): string {
  const value = flags[name];
  return typeof value === "string" ? value : "";
}

/** Option of commands that call the platform. */
export const platformFlag: Flag = {
  type: "string",
  isRequired: true,
  help: "base URL of the platform, such as http://10.0.0.5:8000",
};

/** Option of commands that query a daemon. */
export const adminFlag: Flag = {
  type: "string",
  isRequired: true,
  help: "admin address of any daemon, such as 10.0.0.7:7003",
};

/** Option of commands that print tables or JSON. */
export const jsonFlag: Flag = { type: "boolean", help: "print JSON instead of a table", default: false };
