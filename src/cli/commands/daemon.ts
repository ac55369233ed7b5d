/** `hemlockbank daemon`: runs one daemon until it is told to stop. */
import { startDaemon } from "../../daemon";
import { loadSettings } from "../../settings";
import { type Command, ExitCode, textFlag } from "../command";

export const daemonCommand: Command = {
  name: "daemon",
  arguments: [],
  summary: "Run one daemon. SIGTERM or SIGINT shuts it down gracefully.",
  flags: { settings: { type: "string", isRequired: true, help: "TOML settings file of this daemon" } },
  run: async (_input, flags) => {
    const daemon = await startDaemon(loadSettings(textFlag(flags, "settings")));
    await waitForStop();
    await daemon.shutDown();
    return ExitCode.Success;
  },
};

function waitForStop(): Promise<void> {
  return new Promise((resolve) => {
    const finish = () => {
      resolve();
    };
    process.once("SIGTERM", finish);
    process.once("SIGINT", finish);
  });
}
