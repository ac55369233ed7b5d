/** Plans leaseholders and slot owners. Every write is conditional, so several planners at once do no harm. */
import type { Configuration, Service } from "../configuration";
import { PlatformUnavailableError, describeError } from "../errors";
import type { Member, Membership } from "../membership";
import { Event, type Logger } from "../observability";
import type { SnapshotStore } from "../snapshots";
import {
  type Address,
  type Clock,
  type DaemonName,
  type DataCentreName,
  type ServerName,
  type ServiceName,
  formatRun,
  repeat,
} from "../types";
import {
  clearPredecessors,
  commitMoves,
  createAssignment,
  setLeaseholder,
  slotsOf,
  syncServers,
} from "./assignment";
import type { AssignmentStore } from "./assignmentStore";
import { listCandidates } from "./candidates";
import { type SlotLoads, listFreeSlots, placeSlots, planBalance } from "./placement";
import { GRANT_VALIDITY_MS } from "./serverSession";
import { rankCandidates } from "./slots";
import type { StatusView } from "./statusView";
import type { StopEvidence } from "./stopEvidence";
import type { AssignedServer, Assignment, Leaseholder } from "./types";

const PLAN_INTERVAL_MS = 200;
const BALANCE_INTERVAL_MS = 10_000;
/** Longest wait for all servers before the keys of a new service are placed. */
const FIRST_PLACEMENT_WAIT_MS = 2000;
const BALANCE_WINDOW_SECONDS = 10;
const BALANCE_TOLERANCE = 1.1;
const BALANCE_MAX_MOVES = 32;
/** Grants lapse by the server's clock; this covers the bound on its rate. */
const LAPSE_MARGIN_MS = 20;

/** What a planner is made from. */
export interface PlannerOptions {
  readonly membership: Membership;
  readonly snapshots: SnapshotStore;
  readonly assignments: AssignmentStore;
  readonly statuses: StatusView;
  readonly evidence: StopEvidence;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Whether an address refuses connections, which only a stopped process does. */
  readonly refusesConnections: (address: Address) => Promise<boolean>;
  /** Asks all leaseholders of a service for the load of their slots. */
  readonly collectLoads: (service: ServiceName) => Promise<SlotLoads>;
}

/** What is proved of daemons and servers that are gone. */
interface StopFindings {
  /** Stopped daemon runs, by name. */
  readonly runs: ReadonlySet<string>;
  /** Stopped servers among those that check no grants. */
  readonly servers: ReadonlySet<ServerName>;
}

/** The planner of this daemon; it acts for what this daemon is elected for. */
export interface Planner {
  /** Plans until aborted. */
  run(signal: AbortSignal): Promise<void>;
}

/**
 * Creates a planner.
 *
 * @param options - Ports and views.
 * @returns The planner.
 */
export function createPlanner(options: PlannerOptions): Planner {
  const { membership, snapshots, statuses, evidence, clock } = options;
  const balancedAt = new Map<ServiceName, number>();
  const smoothedLoads = new Map<ServiceName, SlotLoads>();
  const firstCandidateAt = new Map<ServiceName, number>();

  return {
    run: (signal) =>
      repeat(clock, PLAN_INTERVAL_MS, signal, async () => {
        try {
          await planAll();
        } catch (error) {
          const kind = error instanceof PlatformUnavailableError ? Event.PlanFailed : Event.UnexpectedError;
          options.logger.log(kind, { step: "plan", error: describeError(error) });
        }
      }),
  };

  async function planAll(): Promise<void> {
    const configuration = snapshots.configuration()?.value.configuration;
    if (configuration === undefined) {
      return;
    }
    for (const [service, settings] of Object.entries(configuration.services)) {
      await planService(service, settings, configuration);
    }
  }

  async function planService(
    service: ServiceName,
    settings: Service,
    configuration: Configuration,
  ): Promise<void> {
    const isOwnerPlanner = isElected(`owners/${service}`, listEligible());
    const dataCentres = Object.keys(configuration.data_centres).filter((name) =>
      isElected(`leaseholders/${service}/${name}`, listEligible(name)),
    );
    if (!isOwnerPlanner && dataCentres.length === 0) {
      return;
    }
    const stopped = await findStopped(service, isOwnerPlanner, dataCentres);
    const loads = isOwnerPlanner ? await collectLoadsIfDue(service) : undefined;
    const plan = (current: Assignment | undefined): Assignment | undefined => {
      let next = current ?? createAssignment(service, settings.divided_by_key ? settings.slot_count : 0);
      if (isOwnerPlanner) {
        next = planOwners(next, configuration, stopped, loads);
      }
      for (const dataCentre of dataCentres) {
        next = planLeaseholders(next, configuration, dataCentre, stopped);
      }
      return next === current ? undefined : next;
    };
    await options.assignments.update(service, plan);
  }

  /** Ranks by rendezvous among the daemons that reach the platform; ties and errors do no harm. */
  function isElected(subject: string, eligible: readonly Member[]): boolean {
    const names = eligible.map((member) => member.daemon);
    return rankCandidates(subject, names)[0] === membership.self().daemon;
  }

  /** Daemons that reach the platform; where none does, all of them, since calls are passed on. */
  function listEligible(dataCentre?: DataCentreName): readonly Member[] {
    const staying = membership
      .present()
      .filter((member) => !member.leaving)
      .filter((member) => dataCentre === undefined || member.dataCentre === dataCentre);
    const reaching = staying.filter((member) => member.platformReachable);
    return reaching.length > 0 ? reaching : staying;
  }

  /** Leaseholders that are not present, and the servers that they alone could reach, with what is proved of them. */
  async function findStopped(
    service: ServiceName,
    isOwnerPlanner: boolean,
    dataCentres: readonly DataCentreName[],
  ): Promise<StopFindings> {
    const runs = new Set<string>();
    const servers = new Set<ServerName>();
    for (const server of snapshots.assignment(service)?.value.servers ?? []) {
      if (!isOwnerPlanner && !dataCentres.includes(server.dataCentre)) {
        continue;
      }
      for (const holder of listHolders(server)) {
        if (!membership.isPresent(holder) && (await evidence.find(holder))) {
          runs.add(formatRun(holder));
        }
      }
      if (isOwnerPlanner && (await isServerStopped(server, runs))) {
        servers.add(server.name);
      }
    }
    return { runs, servers };
  }

  /** Asked only where no daemon is left that could hold the lease. */
  async function isServerStopped(server: AssignedServer, stoppedRuns: ReadonlySet<string>): Promise<boolean> {
    const settings = snapshots.configuration()?.value.configuration.servers[server.name];
    const holders = listHolders(server);
    const isAbandoned = holders.length > 0 && holders.every((holder) => stoppedRuns.has(formatRun(holder)));
    if (settings === undefined || settings.fenced || !isAbandoned || isServedFromItsDataCentre(server)) {
      return false;
    }
    return isDeclaredStopped(server) || (await options.refusesConnections(settings));
  }

  function planOwners(
    assignment: Assignment,
    configuration: Configuration,
    stopped: StopFindings,
    loads: SlotLoads | undefined,
  ): Assignment {
    let next = syncServers(assignment, configuration);
    next = replaceLostDataCentres(next, configuration, stopped);
    next = dropUselessMoves(next, configuration);
    const candidates = listCandidates(next, configuration, statuses, membership);
    const free = isReadyToPlace(next, configuration, candidates.length) ? listFreeSlots(next) : [];
    const placed = placeSlots(next, free, candidates, loads ?? new Map());
    next = placed.length === 0 ? next : commitMoves(next, placed);
    const planned =
      loads === undefined
        ? []
        : planBalance(next, candidates, loads, {
            tolerance: BALANCE_TOLERANCE,
            maxMoves: BALANCE_MAX_MOVES,
            windowSeconds: BALANCE_WINDOW_SECONDS,
          });
    return planned.length === 0 ? next : { ...next, moves: [...next.moves, ...planned] };
  }

  /** The first servers to answer must not get all keys of a service that is just starting. */
  function isReadyToPlace(
    assignment: Assignment,
    configuration: Configuration,
    candidateCount: number,
  ): boolean {
    if (candidateCount === 0) {
      return false;
    }
    const firstAt = firstCandidateAt.get(assignment.service) ?? clock.now();
    firstCandidateAt.set(assignment.service, firstAt);
    const servers = Object.values(configuration.servers).filter(
      (server) => server.service === assignment.service,
    );
    return candidateCount === servers.length || clock.now() - firstAt > FIRST_PLACEMENT_WAIT_MS;
  }

  function dropUselessMoves(assignment: Assignment, configuration: Configuration): Assignment {
    if (assignment.moves.length === 0) {
      return assignment;
    }
    const usable = new Set(
      listCandidates(assignment, configuration, statuses, membership).map((candidate) => candidate.name),
    );
    const moves = assignment.moves.filter((move) => usable.has(move.target));
    return moves.length === assignment.moves.length ? assignment : { ...assignment, moves };
  }

  /** Servers of a data centre without any daemon: their slots move once every grant has lapsed. */
  function replaceLostDataCentres(
    assignment: Assignment,
    configuration: Configuration,
    stopped: StopFindings,
  ): Assignment {
    let next = assignment;
    for (const server of assignment.servers) {
      if (isServedFromItsDataCentre(server) || !hasLapsed(server, configuration, stopped)) {
        continue;
      }
      next = server.leaseholder === null ? next : setLeaseholder(next, server.name, null);
      const slots = slotsOf(next, server.name).map((owned) => owned.slot);
      const candidates = listCandidates(next, configuration, statuses, membership, server.name);
      const moves = placeSlots(next, slots, candidates, new Map());
      next = moves.length === 0 ? next : clearPredecessors(commitMoves(next, moves), server.name);
    }
    return next;
  }

  function isServedFromItsDataCentre(server: AssignedServer): boolean {
    return listEligible(server.dataCentre).length > 0;
  }

  function hasLapsed(server: AssignedServer, configuration: Configuration, stopped: StopFindings): boolean {
    const holders = listHolders(server);
    const settings = configuration.servers[server.name];
    if (
      holders.length === 0 ||
      settings === undefined ||
      !holders.every((holder) => stopped.runs.has(formatRun(holder)))
    ) {
      return false;
    }
    const latest = Math.max(
      ...holders.map((holder) => evidence.stoppedAt(holder) ?? Number.POSITIVE_INFINITY),
    );
    // A server without grants may be frozen and still run what it was sent: only an operator can tell.
    const isEnded = settings.fenced || stopped.servers.has(server.name);
    return isEnded && clock.now() > latest + GRANT_VALIDITY_MS + LAPSE_MARGIN_MS;
  }

  function isDeclaredStopped(server: AssignedServer): boolean {
    return snapshots
      .stopNotice()
      .servers.some((stopped) => stopped.server === server.name && stopped.generation === server.generation);
  }

  function planLeaseholders(
    assignment: Assignment,
    configuration: Configuration,
    dataCentre: DataCentreName,
    stopped: StopFindings,
  ): Assignment {
    const members = listEligible(dataCentre);
    const counts = countLeases(members);
    let next = assignment;
    for (const server of assignment.servers.filter((entry) => entry.dataCentre === dataCentre)) {
      if (!needsLeaseholder(server, configuration, stopped)) {
        continue;
      }
      const member = chooseMember(server, members, counts);
      if (member !== undefined) {
        counts.set(member.daemon, (counts.get(member.daemon) ?? 0) + 1);
        next = setLeaseholder(next, server.name, toLeaseholder(member));
      }
    }
    return next;
  }

  /** A fenced server shuts out the old generation by itself; for others the old holder must have stopped. */
  function needsLeaseholder(
    server: AssignedServer,
    configuration: Configuration,
    stopped: StopFindings,
  ): boolean {
    const holder = server.leaseholder;
    if (holder === null) {
      return true;
    }
    if (membership.isPresent(holder)) {
      return false;
    }
    return configuration.servers[server.name]?.fenced === true || stopped.runs.has(formatRun(holder));
  }

  function countLeases(members: readonly Member[]): Map<DaemonName, number> {
    const counts = new Map(members.map((member) => [member.daemon, 0]));
    for (const { value } of snapshots.assignments()) {
      for (const { leaseholder } of value.servers) {
        if (leaseholder !== null && counts.has(leaseholder.daemon)) {
          counts.set(leaseholder.daemon, (counts.get(leaseholder.daemon) ?? 0) + 1);
        }
      }
    }
    return counts;
  }

  async function collectLoadsIfDue(service: ServiceName): Promise<SlotLoads | undefined> {
    const lastAt = balancedAt.get(service);
    if (lastAt === undefined) {
      balancedAt.set(service, clock.now());
      return undefined;
    }
    const hasMoves = (snapshots.assignment(service)?.value.moves.length ?? 0) > 0;
    if (hasMoves || clock.now() - lastAt < BALANCE_INTERVAL_MS) {
      return undefined;
    }
    balancedAt.set(service, clock.now());
    const loads = smooth(smoothedLoads.get(service), await options.collectLoads(service));
    smoothedLoads.set(service, loads);
    return loads;
  }
}

/** Averages the newest loads with the earlier ones, which halve their weight each round. */
function smooth(earlier: SlotLoads | undefined, newest: SlotLoads): SlotLoads {
  if (earlier === undefined) {
    return newest;
  }
  const slots = new Set([...earlier.keys(), ...newest.keys()]);
  return new Map([...slots].map((slot) => [slot, ((earlier.get(slot) ?? 0) + (newest.get(slot) ?? 0)) / 2]));
}

function listHolders(server: AssignedServer): readonly Leaseholder[] {
  return server.leaseholder === null ? server.predecessors : [...server.predecessors, server.leaseholder];
}

/**
 * Chooses the member with the fewest leases; the rendezvous score breaks ties.
 *
 * @param server - The server that needs a leaseholder.
 * @param members - Members that may hold it.
 * @param counts - Leases of each member.
 * @returns The member, or undefined without members.
 */
export function chooseMember(
  server: AssignedServer,
  members: readonly Member[],
  counts: ReadonlyMap<DaemonName, number>,
): Member | undefined {
  const fewest = Math.min(...members.map((member) => counts.get(member.daemon) ?? 0));
  const least = members.filter((member) => (counts.get(member.daemon) ?? 0) === fewest);
  const [best] = rankCandidates(
    server.name,
    least.map((member) => member.daemon),
  );
  return least.find((member) => member.daemon === best);
}

/**
 * Gives the lease record of a member.
 *
 * @param member - The member.
 * @returns The record.
 */
export function toLeaseholder(member: Member): Leaseholder {
  return { daemon: member.daemon, incarnation: member.incarnation, address: member.address };
}
