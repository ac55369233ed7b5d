/** `hemlockbank status` and `hemlockbank key owner`: show the state of the cluster as one daemon knows it. */
import type { DaemonStatus, KeyOwner } from "../../daemon";
import { type Command, ExitCode, adminFlag, jsonFlag, getTextFlag } from "../command";
import { fetchFromAdmin } from "../adminClient";
import { printJson, printLine, printTable } from "../output";

export const statusCommand: Command = {
  name: "status",
  arguments: [],
  summary: "Show daemons and backend servers as one daemon sees them.",
  flags: { admin: adminFlag, json: jsonFlag },
  run: async (_input, flags) => {
    const status = (await fetchFromAdmin(getTextFlag(flags, "admin"), "/status")) as DaemonStatus;
    if (flags.json === true) {
      printJson(status);
      return ExitCode.Success;
    }
    printLine(
      `Configuration number ${status.configurationNumber}, version ${status.configurationVersion}; planned moves: ${status.plannedMoves}`,
    );
    printTable(
      ["daemon", "data centre", "status", "platform", "configuration"],
      status.members.map((member) => [
        member.daemon,
        member.dataCentre,
        member.leaving ? "leaving" : member.status,
        member.platformReachable ? "reachable" : "unreachable",
        member.configurationVersion,
      ]),
    );
    printTable(
      ["backend server", "service", "data centre", "state", "leaseholder", "generation", "slots"],
      status.servers.map((server) => [
        server.server,
        server.service,
        server.dataCentre,
        server.state,
        server.leaseholder ?? "none",
        server.generation,
        server.slots,
      ]),
    );
    return ExitCode.Success;
  },
};

export const keyOwnerCommand: Command = {
  name: "key owner",
  arguments: ["SERVICE", "KEY"],
  summary: "Show which backend server owns a key.",
  flags: { admin: adminFlag, json: jsonFlag },
  run: async (input, flags) => {
    const [service = "", key = ""] = input;
    const query = `service=${encodeURIComponent(service)}&key=${encodeURIComponent(key)}`;
    const owner = (await fetchFromAdmin(getTextFlag(flags, "admin"), `/owner?${query}`)) as KeyOwner;
    if (flags.json === true) {
      printJson(owner);
    } else if (owner.server === null) {
      printLine(
        `No backend server owns ${key} of ${service}; check the service's name with: hemlockbank status`,
      );
    } else {
      printLine(
        `${key} of ${service}: slot ${owner.slot ?? 0}, owner ${owner.server}, epoch ${owner.epoch ?? 0}, leaseholder ${owner.leaseholder ?? "none"}`,
      );
    }
    return owner.server === null ? ExitCode.Failure : ExitCode.Success;
  },
};
