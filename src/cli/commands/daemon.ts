/** `hemlockbank daemon`: runs one daemon until SIGTERM or SIGINT. */
import { startDaemon } from "../../daemon";
import { loadSettings } from "../../settings";
import { type Command, ExitCode, getTextFlag } from "../command";
import { waitForStopSignal } from "../stopSignal";

export const daemonCommand: Command = {
  name: "daemon",
  arguments: [],
  summary: "Run one daemon. SIGTERM or SIGINT shuts it down gracefully.",
  flags: { settings: { type: "string", isRequired: true, help: "TOML settings file of this daemon" } },
  run: async (_input, flags) => {
    const stopSignal = waitForStopSignal();
    const daemon = await startDaemon(loadSettings(getTextFlag(flags, "settings")));
    await stopSignal;
    await daemon.shutDown();
    return ExitCode.Success;
  },
};
