/** `hemlockbank daemon`: runs one daemon until SIGTERM or SIGINT. */
import { startDaemon } from "../../daemon";
import { loadSettings } from "../../settings";
import { type Command, ExitCode, getTextFlag } from "../command";

export const daemonCommand: Command = {
  name: "daemon",
  arguments: [],
  summary: "Run one daemon. SIGTERM or SIGINT shuts it down gracefully.",
  flags: { settings: { type: "string", isRequired: true, help: "TOML settings file of this daemon" } },
  run: async (_input, flags) => {
    const daemon = await startDaemon(loadSettings(getTextFlag(flags, "settings")));
    await waitForShutdownSignal();
    await daemon.shutDown();
    return ExitCode.Success;
  },
};

function waitForShutdownSignal(): Promise<void> {
  return new Promise((resolve) => {
    const onSignal = () => {
      resolve();
    };
    process.once("SIGTERM", onSignal);
    process.once("SIGINT", onSignal);
  });
}
