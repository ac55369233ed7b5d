/** `hemlockbank server …`, `dc …` and `stopped …`: each makes one change by a conditional write. */
import { userInfo } from "node:os";
import { type StoredConfiguration, applyConfiguration, readConfiguration } from "../../configuration/apply";
import { InputError } from "../../errors";
import {
  type StopNotice,
  STOP_NOTICE_PATH,
  getAssignmentPath,
  findServer,
  parseAssignment,
  parseStopNotice,
} from "../../ownership";
import { CallPriority, type ObjectStore, decodeStoredObject, updateObject } from "../../objectStore";
import { type Command, ExitCode, type FlagValues, jsonFlag, platformFlag } from "../command";
import { printJson, printLine } from "../output";
import { withPlatform } from "../platformClient";
import { requireKnown } from "./config";

type Section = "servers" | "data_centres";
type ConfigurationSource = Record<Section, Record<string, Record<string, unknown>>>;

interface StateChange {
  readonly name: string;
  readonly argument: string;
  readonly summary: string;
  readonly section: Section;
  readonly kind: string;
  readonly state: string;
}

const stateChanges: readonly StateChange[] = [
  {
    name: "server drain",
    argument: "SERVER",
    summary: "Drain a backend server: it gets no new work and its keys move away.",
    section: "servers",
    kind: "backend server",
    state: "draining",
  },
  {
    name: "server undrain",
    argument: "SERVER",
    summary: "Return a drained backend server to service.",
    section: "servers",
    kind: "backend server",
    state: "active",
  },
  {
    name: "dc out",
    argument: "DATA-CENTRE",
    summary: "Take a data centre out of service: its backend servers get no new work.",
    section: "data_centres",
    kind: "data centre",
    state: "out",
  },
  {
    name: "dc in",
    argument: "DATA-CENTRE",
    summary: "Return a data centre to service.",
    section: "data_centres",
    kind: "data centre",
    state: "in",
  },
];

/** The commands that set the state of one backend server or data centre in the configuration. */
export const stateCommands: readonly Command[] = stateChanges.map((change) => ({
  name: change.name,
  arguments: [change.argument],
  summary: change.summary,
  flags: { platform: platformFlag, json: jsonFlag },
  run: (input, flags) =>
    withPlatform(flags, ({ objects }) => applyStateChange(objects, change, input[0] ?? "", flags)),
}));

async function applyStateChange(
  objects: ObjectStore,
  change: StateChange,
  name: string,
  flags: FlagValues,
): Promise<number> {
  const current = await requireConfiguration(objects);
  const source = structuredClone(current.document.source) as ConfigurationSource;
  requireKnown(change.kind, name, Object.keys(source[change.section]));
  source[change.section][name] = { ...source[change.section][name], state: change.state };
  const author = userInfo().username;
  const result = await applyConfiguration(objects, { source, base: current.version, author });
  if (flags.json === true) {
    printJson(result);
  } else if (result.kind === "stale") {
    printLine(
      `Refused: ${result.current.document.author} changed the configuration in the meantime. Nothing was written; run the command again.`,
    );
  } else {
    printLine(`${change.kind} ${name} is ${change.state} as of version ${result.version}.`);
  }
  return result.kind === "stale" ? ExitCode.Failure : ExitCode.Success;
}

/** `hemlockbank stopped daemon`: declares that a daemon's process has ended permanently. */
export const stoppedDaemonCommand: Command = {
  name: "stopped daemon",
  arguments: ["DAEMON"],
  summary: "Declare that a daemon's process has ended permanently, so that other daemons may replace it.",
  flags: { platform: platformFlag },
  run: (input, flags) =>
    withPlatform(flags, async ({ objects }) => {
      const name = input[0] ?? "";
      const leaseholders = (await listAssignments(objects)).flatMap((assignment) =>
        assignment.servers.flatMap((server) => [...server.predecessors, server.leaseholder ?? []].flat()),
      );
      const incarnations = leaseholders.filter((leaseholder) => leaseholder.daemon === name);
      if (incarnations.length === 0) {
        throw new InputError(`daemon "${name}" holds no lease; nothing to declare`, {
          props: { step: "read assignments" },
        });
      }
      await addStopNotice(objects, {
        daemons: incarnations.map(({ daemon, incarnation }) => ({ daemon, incarnation })),
        servers: [],
      });
      printLine(`Daemon ${name} is declared stopped; its leases pass to other daemons.`);
      return ExitCode.Success;
    }),
};

/** `hemlockbank stopped server`: declares that a backend server no longer runs any work. */
export const stoppedServerCommand: Command = {
  name: "stopped server",
  arguments: ["SERVER"],
  summary: "Declare that a backend server no longer runs any work, so that its keys may move.",
  flags: { platform: platformFlag },
  run: (input, flags) =>
    withPlatform(flags, async ({ objects }) => {
      const name = input[0] ?? "";
      const servers = (await listAssignments(objects)).flatMap(
        (assignment) => findServer(assignment, name) ?? [],
      );
      requireKnown("backend server", name, servers.length > 0 ? [name] : []);
      await addStopNotice(objects, {
        daemons: [],
        servers: servers.map(({ generation }) => ({ server: name, generation })),
      });
      printLine(`Backend server ${name} is declared stopped; its keys move to other backend servers.`);
      return ExitCode.Success;
    }),
};

async function addStopNotice(objects: ObjectStore, added: StopNotice): Promise<void> {
  await updateObject(objects, STOP_NOTICE_PATH, CallPriority.Ownership, (current) => {
    const notice = current === undefined ? { daemons: [], servers: [] } : parseStopNotice(current.value);
    return { daemons: [...notice.daemons, ...added.daemons], servers: [...notice.servers, ...added.servers] };
  });
}

async function listAssignments(objects: ObjectStore) {
  const { objects: stored } = await objects.list(getAssignmentPath(""), CallPriority.Status);
  return stored.map((object) => parseAssignment(decodeStoredObject(object).value));
}

async function requireConfiguration(objects: ObjectStore): Promise<StoredConfiguration> {
  const current = await readConfiguration(objects);
  if (current === undefined) {
    throw new InputError("no configuration is applied yet; run: hemlockbank config apply FILE", {
      props: { step: "read configuration" },
    });
  }
  return current;
}
