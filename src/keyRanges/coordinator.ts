/**
 * Coordinates the key ranges of one service: renews the owners' grants, reclaims ranges from servers that
 * must give them up, and places unowned ranges on other servers, so that no key has two owners at a time.
 */
import type { DiscoveredServer, ServerDirectory } from "../discovery";
import { describeError } from "../errors";
import type { ObjectStore, Timeline } from "../objectStore";
import { Event, createErrorReport } from "../observability";
import { type ServerName, type ServiceName, repeat, sleep } from "../types";
import type { AssignmentFeed } from "./assignmentFeed";
import { createGrantLedger } from "./grantLedger";
import { type RenewalOptions, RenewalResult, renewGrant } from "./grantRenewal";
import {
  FreedBy,
  type FreedRange,
  type Holding,
  HoldingPhase,
  adoptHoldings,
  placeAgain,
  planHoldings,
  sortHoldings,
  splitHolding,
} from "./holdings";
import type { KeyLoad } from "./keyLoad";
import { createMoveScheduler } from "./moveScheduler";
import type { OwnerTable } from "./ownerTable";
import { type OwnerCandidate, type Placement, findUnowned, placeUnownedRanges } from "./rangePlanner";
import { createPrecautionaryRelease } from "./precautionaryRelease";
import { type ReclaimOptions, type ReclaimedKeys, reclaimKeys } from "./reclaim";
import { type ResolvedAssignment, createStoredAssignment } from "./storedAssignment";
import { type KeyRange, contains, overlaps } from "./types";

/** A small fraction of the 2 s within which keys must leave a server. */
const RECONCILE_INTERVAL_MS = 100;
/** The lease is renewed more often than this, so a longer silence of the object store indicates an outage. */
const MAX_STORE_SILENCE_MS = 900;
/** A crashed server has either restarted within a few seconds or lost its directory entry by then. */
const UNREACHABLE_PERIOD_MS = 3000;
/** Servers register one after another when a deployment starts; the first placement waits for the rest. */
const FIRST_PLACEMENT_DELAY_MS = 1500;
/**
 * Daemons are notified of new owners once these have received their grants; the wait is bounded so that a
 * slow server does not delay the others.
 */
const FIRST_GRANT_WAIT_MS = 60;
/** Skips all fencing tokens that an earlier coordinator may have issued without storing them. */
const FENCED_TOKEN_STEP = 1000;

/** Options for {@link coordinateKeys}. */
export interface CoordinatorOptions extends Omit<RenewalOptions, "ledger"> {
  readonly service: ServiceName;
  readonly objects: ObjectStore;
  readonly directory: ServerDirectory;
  readonly owners: OwnerTable;
  readonly load: KeyLoad;
  /** Sends a change of the assignment to the other daemons. */
  readonly publish: AssignmentFeed["publish"];
  /** Whether the whole deployment starts for the first time; otherwise a missing record was lost with a restore. */
  readonly isFirstStart: boolean;
  /** Returns the object store's timeline as of the last renewal of the coordinator lease. */
  readonly getTimeline: () => Timeline;
  /** Returns how much work each of the servers can do, relative to the others. */
  readonly getCapacities: (servers: readonly DiscoveredServer[]) => readonly number[];
  /**
   * Returns whether the capacities rest on many answers. Only then is load evened out by a long count of requests, in
   * which a lasting difference between the servers shows. False by default.
   */
  readonly areCapacitiesMeasured?: (servers: readonly DiscoveredServer[]) => boolean;
}

/**
 * Coordinates a service's keys until aborted, which happens when this daemon loses the coordinator lease.
 *
 * @param options - Object store, server directory, key control and limits.
 * @param signal - Stops the coordination.
 */
export async function coordinateKeys(options: CoordinatorOptions, signal: AbortSignal): Promise<void> {
  const { service, directory, clock, logger } = options;
  const ledger = createGrantLedger(clock);
  // Calls may outlast this term, and this daemon may be elected again.
  const isCoordinator = () => !signal.aborted && options.isCoordinator();
  const renewalOptions: RenewalOptions = { ...options, ledger, isCoordinator };
  const reclaimOptions: ReclaimOptions = {
    ...options,
    ledger,
    isCoordinator,
    // A server that has left the directory may still have to release keys.
    findServer: ({ range }) => directory.findLast(range.server),
    allocateToken: () => assignment.allocateTokens(1),
    isReclaimNeeded: (holding) => holdings.includes(holding),
  };
  const unreachableUntil = new Map<ServerName, number>();
  const precautionaryRelease = createPrecautionaryRelease(
    { ...reclaimOptions, directory, maxGrantMs: options.maxGrantMs },
    signal,
  );
  const assignment = createStoredAssignment({ ...options, isCoordinator });
  let holdings: Holding[] = [];
  let freed: FreedRange[] = [];
  let firstCandidatesAt: number | undefined;
  const moves = createMoveScheduler({
    clock,
    load: options.load,
    areCapacitiesMeasured: () => options.areCapacitiesMeasured?.(directory.getUsable(service)) ?? false,
  });

  await Promise.all([
    repeat(clock, RECONCILE_INTERVAL_MS, signal, renewAll, createErrorReport(logger, "renew grants")),
    repeat(clock, RECONCILE_INTERVAL_MS, signal, reconcile, logPlanFailure),
  ]);

  function logPlanFailure(error: unknown): void {
    logger.log(Event.PlanFailed, { service, error: describeError(error) });
  }

  async function reconcile(): Promise<void> {
    if (!isCoordinator() || !directory.hasList()) {
      return;
    }
    if (assignment.isInDoubt() || assignment.isCopy()) {
      const resolved = await assignment.resolve(signal);
      if (resolved !== undefined) {
        adopt(resolved);
      }
    }
    if (assignment.isInDoubt() || !isCoordinator()) {
      return;
    }
    if (assignment.get().isProvisional && !precautionaryRelease.isAnyPending()) {
      await endProvisionalAssignment();
    }
    startMoves();
    await placeRanges();
  }

  async function endProvisionalAssignment(): Promise<void> {
    const before = assignment.get();
    const baseVersion = assignment.getVersion();
    const version = await assignment.write({ ...before, isProvisional: false });
    options.owners.update(service, assignment.get().ranges, version);
    options.publish(before, baseVersion, assignment.get(), version);
  }

  function adopt({ source, isFirst }: ResolvedAssignment): void {
    const { ranges } = assignment.get();
    const version = assignment.getVersion();
    holdings = [...adoptHoldings(ranges, holdings, freed)];
    // An in-doubt write may have taken effect and given freed keys to their new owners.
    freed = freed.filter((range) => !holdings.some((holding) => overlaps(holding.range, range)));
    if (isFirst) {
      // The previous coordinator may have renewed these grants until just now, for the longest duration.
      for (const { range } of holdings) {
        ledger.recordEarlier(range, range.server, options.maxGrantMs);
      }
    }
    if (source !== "stored") {
      logger.log(Event.AssignmentRestored, { service, version, source });
      const known = { ...assignment.get(), ranges: options.owners.getRanges(service) };
      options.publish(known, options.owners.getVersion(service), assignment.get(), version);
    }
    if (source === "replaced") {
      for (const server of directory.getLastByService(service)) {
        precautionaryRelease.start(server, ranges);
      }
    }
    options.owners.update(service, ranges, version);
  }

  function renewAll(): void {
    for (const holding of holdings) {
      const server = findRunningOwner(holding);
      if (server !== undefined) {
        renew(holding, server).catch(createErrorReport(logger, "renew grant"));
      }
    }
  }

  async function renew(holding: Holding, server: DiscoveredServer): Promise<void> {
    const result = await renewGrant(holding, server, renewalOptions);
    recordReachability(holding, server, result);
    if (!holdings.includes(holding)) {
      return;
    }
    switch (result) {
      case RenewalResult.Continues:
        return;
      case RenewalResult.Fenced:
        // A release in progress explains the refusal; otherwise an earlier coordinator sent one and stored no new owner.
        if (holding.phase === HoldingPhase.Held) {
          assignment.allocateTokens(FENCED_TOKEN_STEP);
          holding.phase = HoldingPhase.Fenced;
        }
        return;
      case RenewalResult.ServerEnded:
        ledger.clear(holding.range, holding.range.server);
        free(holding, { by: FreedBy.ProcessEnd, handover: null }, []);
        return;
      default:
        result satisfies never;
    }
  }

  /** A server that does not answer gets no further keys for {@link UNREACHABLE_PERIOD_MS}. */
  function recordReachability(holding: Holding, server: DiscoveredServer, result: RenewalResult): void {
    const isUnreachable =
      result === RenewalResult.ServerEnded || holding.retryAt !== Number.POSITIVE_INFINITY;
    if (isUnreachable) {
      unreachableUntil.set(server.name, clock.now() + UNREACHABLE_PERIOD_MS);
    } else if (!holding.isGrantInFlight) {
      unreachableUntil.delete(server.name);
    }
  }

  function startMoves(): void {
    for (const holding of holdings) {
      const server = findRunningOwner(holding);
      const mustLeave = server === undefined || !directory.isUsable(server) || hasExpired(holding);
      if (holding.phase !== HoldingPhase.Leaving && mustLeave) {
        void reclaim(holding, []);
      }
    }
    // While the object store does not answer, a released range stays without an owner: none can be stored.
    const isStoreAnswering = options.getStoreSilenceMs() < MAX_STORE_SILENCE_MS;
    if (isStoreAnswering && moves.startRound()) {
      startRebalance();
    }
  }

  /** Returns whether the owner is unreachable and every grant that may have reached it has expired. */
  function hasExpired(holding: Holding): boolean {
    const isUnreachable = holding.retryAt !== Number.POSITIVE_INFINITY;
    return isUnreachable && ledger.getFreeAt(holding.range, undefined) <= clock.now();
  }

  function startRebalance(): void {
    for (const pieces of moves.plan(holdings, freed, getCandidates())) {
      const union = { from: pieces[0].from, to: pieces.at(-1)?.to ?? pieces[0].to };
      const holding = holdings.find(({ range }) => contains(range, union));
      if (holding !== undefined) {
        const cut = cutHolding(holding, union);
        moves.track(cut, pieces, reclaim(cut, pieces));
      }
    }
  }

  /** Splits a piece off a holding and returns the piece. */
  function cutHolding(source: Holding, piece: KeyRange): Holding {
    const parts = splitHolding(source, piece);
    holdings = holdings.flatMap((holding) => (holding === source ? parts : [holding]));
    return parts.find((part) => part.range.from === piece.from) ?? source;
  }

  async function reclaim(holding: Holding, targets: readonly Placement[]): Promise<void> {
    holding.phase = HoldingPhase.Leaving;
    const reclaimed = await reclaimKeys(holding, reclaimOptions, signal);
    if (reclaimed !== undefined) {
      free(holding, reclaimed, targets);
    }
  }

  function free(holding: Holding, { by, handover }: ReclaimedKeys, targets: readonly Placement[]): void {
    const { from, to, token, server } = holding.range;
    holdings = holdings.filter((each) => each !== holding);
    freed.push({ from, to, token, server, by, handover, targets });
  }

  /** Stores owners of the keys that have none, and new fencing tokens of the ranges whose owners refuse renewals. */
  async function placeRanges(): Promise<void> {
    const fenced = holdings.filter((holding) => holding.phase === HoldingPhase.Fenced);
    const isAnyUnowned = findUnowned(holdings.map((holding) => holding.range)).length > 0;
    const servers = isAnyUnowned ? getCandidates() : [];
    const isPlaceable = servers.length > 0 && isPlacementDue();
    // Further keys may be freed while the assignment is written; they are placed in the next round.
    const freedToPlace = isPlaceable ? [...freed] : [];
    const chosen = isPlaceable ? choosePlacements(freedToPlace, servers) : [];
    const placements = [...chosen, ...fenced.map(placeAgain)];
    if (placements.length === 0) {
      return;
    }
    const kept = holdings.filter((holding) => !fenced.includes(holding));
    const before = assignment.get();
    const baseVersion = assignment.getVersion();
    const change = planHoldings(kept, placements, freedToPlace, before);
    const version = await assignment.write(change.assignment);
    const dropped = new Set([...fenced, ...change.dropped]);
    freed = freed.filter((range) => !freedToPlace.includes(range));
    holdings = sortHoldings([...holdings.filter((holding) => !dropped.has(holding)), ...change.added]);
    await Promise.race([
      Promise.all(change.added.map(sendFirstGrant)),
      sleep(clock, FIRST_GRANT_WAIT_MS, signal),
    ]);
    options.owners.update(service, change.assignment.ranges, version);
    options.publish(before, baseVersion, change.assignment, version);
    logger.log(Event.RangesPlaced, {
      service,
      version,
      ranges: placements.map((each) => `${each.from}-${each.to}:${each.server}`).join(" "),
      freed: freedToPlace.map((each) => `${each.from}-${each.to}:${each.server}:${each.by}`).join(" "),
    });
  }

  function sendFirstGrant(holding: Holding): Promise<void> {
    const server = findRunningOwner(holding);
    return server === undefined ? Promise.resolve() : renew(holding, server);
  }

  function choosePlacements(
    freedToPlace: readonly FreedRange[],
    servers: readonly OwnerCandidate[],
  ): readonly Placement[] {
    const targeted = freedToPlace
      .flatMap((range) => range.targets)
      .filter((target) => servers.some((server) => isSameProcess(server, target)));
    const owned = holdings.map((holding) => holding.range);
    const all: readonly KeyRange[] = [...owned, ...targeted];
    const rest = findUnowned([...all].sort((left, right) => left.from - right.from));
    return [...targeted, ...placeUnownedRanges(rest, owned, servers, options.load.measure())];
  }

  /** Returns whether keys may be placed; a service's first placement waits for its servers to register. */
  function isPlacementDue(): boolean {
    firstCandidatesAt ??= clock.now();
    return assignment.getVersion() > 0 || clock.now() - firstCandidatesAt >= FIRST_PLACEMENT_DELAY_MS;
  }

  function findRunningOwner(holding: Holding): DiscoveredServer | undefined {
    const server = directory.get(holding.range.server);
    return server?.bornAt === holding.range.bornAt ? server : undefined;
  }

  function getCandidates(): readonly OwnerCandidate[] {
    const answering = directory
      .getUsable(service)
      .filter(({ name }) => (unreachableUntil.get(name) ?? 0) <= clock.now())
      .filter(({ name }) => !precautionaryRelease.isPending(name));
    const capacities = options.getCapacities(answering);
    return answering.map(({ name, bornAt }, index) => ({ name, bornAt, capacity: capacities[index] ?? 0 }));
  }
}

function isSameProcess(server: OwnerCandidate, target: Placement): boolean {
  return server.name === target.server && server.bornAt === target.bornAt;
}
