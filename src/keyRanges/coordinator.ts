/**
 * Coordinates the key ranges of one service: renews the owners' grants, reclaims ranges from servers that
 * must give them up, and places unowned ranges on other servers, so that no key has two owners at a time.
 */
import type { DiscoveredServer, ServerDirectory } from "../discovery";
import { describeError } from "../errors";
import {
  CallPriority,
  type ObjectStore,
  type Timeline,
  type UpdateResult,
  type VersionedValue,
  getTimeline,
  updateObject,
} from "../objectStore";
import { Event, createErrorReport } from "../observability";
import { type ServerName, type ServiceName, type Version, repeat, sleep } from "../types";
import type { AssignmentFeed } from "./assignmentFeed";
import { getAssignmentPath, parseRangeAssignment } from "./assignmentDocument";
import { createGrantLedger } from "./grantLedger";
import {
  FreedBy,
  type FreedRange,
  type Holding,
  HoldingPhase,
  RenewalResult,
  type RenewalOptions,
  adoptHoldings,
  placeAgain,
  planHoldings,
  renewGrant,
  sortHoldings,
  splitHolding,
} from "./holdings";
import type { KeyLoad } from "./keyLoad";
import type { OwnerTable } from "./ownerTable";
import {
  type LoadFunction,
  type OwnerCandidate,
  type Placement,
  findUnowned,
  placeUnownedRanges,
  sum,
} from "./rangePlanner";
import { createPrecautionaryRelease } from "./precautionaryRelease";
import { type ReclaimOptions, type ReclaimedKeys, reclaimKeys } from "./reclaim";
import { groupAdjacentMoves, planRebalance } from "./rebalancing";
import { continueAssignment, hasOverlaps, replaceAssignment } from "./restoredAssignment";
import { type KeyRange, type OwnedRange, type RangeAssignment, contains, overlaps } from "./types";

/** A small fraction of the 2 s within which keys must leave a server. */
const RECONCILE_INTERVAL_MS = 100;
/** Time between two rounds of rebalancing; a move shows in the measured load within this time. */
const REBALANCE_INTERVAL_MS = 500;
/** The lease is renewed more often than this, so a longer silence of the object store indicates an outage. */
const MAX_STORE_SILENCE_MS = 900;
/** A new coordinator starts without load figures; after this time the daemons have reported enough. */
const FIRST_REBALANCE_DELAY_MS = 2000;
/** Bounds the concurrent calls, and the keys that are briefly refused while they are being moved. */
const CONCURRENT_MOVES_PER_SERVER = 0.5;
const MIN_CONCURRENT_MOVES = 12;
/** Keeps a change of the assignment within one datagram to each daemon. */
const MAX_CONCURRENT_MOVES = 80;
/** Maximum moves in one round that even out lasting differences between servers. */
const MAX_STEADY_MOVES = 12;
/** Mean number of ranges above which there are no such moves: a server owns six at most, the others are for busy keys. */
const MAX_STEADY_RANGES_PER_SERVER = 2;
/** No such move is made for this time after busy keys were moved, whose requests still count in the long count. */
const STEADY_PAUSE_MS = 2000;
/** A crashed server has either restarted within a few seconds or lost its directory entry by then. */
const UNREACHABLE_PERIOD_MS = 3000;
/** Servers register one after another when a deployment starts; the first placement waits for the rest. */
const FIRST_PLACEMENT_DELAY_MS = 1500;
/**
 * Daemons are notified of new owners once these have received their grants; the wait is bounded so that a
 * slow server does not delay the others.
 */
const FIRST_GRANT_WAIT_MS = 60;
/**
 * Servers that registered after the copy of a restored store are back within this time after a coordinator was
 * elected, which itself takes the duration of a lease.
 */
const RESTORED_DIRECTORY_DELAY_MS = 1000;
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

/** Where the assignment comes from that a coordinator continues with after a read. */
type AssignmentBase =
  /** Nothing was ever assigned. */
  | { readonly kind: "none" }
  /** The store was restored so lately that servers may not have registered again. */
  | { readonly kind: "unsettled" }
  | { readonly kind: "stored"; readonly assignment: RangeAssignment }
  /** The stored one is a copy; this coordinator's own one is up to date. */
  | { readonly kind: "continued"; readonly assignment: RangeAssignment }
  /** The stored one is a copy or overlapping, and servers may hold other keys than this one says. */
  | { readonly kind: "replaced"; readonly assignment: RangeAssignment };

/**
 * Coordinates a service's keys until aborted, which happens when this daemon loses the coordinator lease.
 *
 * @param options - Object store, server directory, key control and limits.
 * @param signal - Stops the coordination.
 */
export async function coordinateKeys(options: CoordinatorOptions, signal: AbortSignal): Promise<void> {
  const { service, objects, directory, clock, logger } = options;
  const path = getAssignmentPath(service);
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
    allocateToken: () => allocateTokens(1),
    isReclaimNeeded: (holding) => holdings.includes(holding),
  };
  const unreachableUntil = new Map<ServerName, number>();
  const precautionaryRelease = createPrecautionaryRelease(
    { ...reclaimOptions, directory, maxGrantMs: options.maxGrantMs },
    signal,
  );
  const startedAt = clock.now();
  let holdings: Holding[] = [];
  let freed: FreedRange[] = [];
  let assignment: RangeAssignment = { service, timeline: 0, isProvisional: false, nextToken: 1, ranges: [] };
  let stored: VersionedValue | undefined;
  /** Whether the stored assignment is unknown: not read yet, or the last write failed or is in doubt. */
  let isWriteInDoubt = true;
  let firstCandidatesAt: number | undefined;
  let rebalancedAt = clock.now() + FIRST_REBALANCE_DELAY_MS;
  let busyKeysMovedAt = Number.NEGATIVE_INFINITY;
  /** Pieces that rebalancing moves to new owners and that have not been reclaimed from their old ones yet. */
  const movingPieces = new Map<Holding, readonly Placement[]>();

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
    const isCopy = stored !== undefined && options.getTimeline() > assignment.timeline;
    if (isWriteInDoubt || isCopy) {
      await resolveInDoubtWrite();
    }
    if (isWriteInDoubt || !isCoordinator()) {
      return;
    }
    if (assignment.isProvisional && !precautionaryRelease.isAnyPending()) {
      await endProvisionalAssignment();
    }
    startMoves();
    await placeRanges();
  }

  /**
   * Reads the assignment and writes it back on condition that its version is unchanged. The new version makes
   * every earlier in-doubt write fail, whether it came from this or from another coordinator. A copy from before a
   * restore of the store is replaced.
   */
  async function resolveInDoubtWrite(): Promise<void> {
    let base: AssignmentBase = { kind: "none" };
    const result = await updateObject(objects, path, CallPriority.Ownership, (current) => {
      assertCoordinator();
      base = findBase(current);
      return "assignment" in base ? base.assignment : undefined;
    });
    await adoptBase(base, result);
  }

  /** A read or a conflict may take longer than the lease lasts; what a successor has stored must not be written back. */
  function assertCoordinator(): void {
    if (!isCoordinator()) {
      throw new Error("the coordinator lease was lost before the assignment was written");
    }
  }

  async function adoptBase(base: AssignmentBase, result: UpdateResult): Promise<void> {
    if (base.kind === "unsettled") {
      await sleep(clock, RESTORED_DIRECTORY_DELAY_MS, signal);
      return;
    }
    isWriteInDoubt = false;
    if (result.kind === "unchanged") {
      assignment = continueAssignment(assignment, options.getTimeline());
      return;
    }
    const isFirst = stored === undefined;
    stored = { version: result.version, value: result.value };
    adopt(parseRangeAssignment(result.value), isFirst);
    if (base.kind !== "stored") {
      logger.log(Event.AssignmentRestored, { service, version: result.version, source: base.kind });
      publishReplacement(result.version);
    }
    if (base.kind === "replaced") {
      for (const server of directory.getLastByService(service)) {
        precautionaryRelease.start(server, assignment.ranges);
      }
    }
    options.owners.update(service, assignment.ranges, result.version);
  }

  /** Finds the assignment to continue with. A record of an earlier timeline is a copy, and may be missing. */
  function findBase(current: VersionedValue | undefined): AssignmentBase {
    const record = current === undefined ? undefined : parseRangeAssignment(current.value);
    const timeline = current === undefined ? options.getTimeline() : getTimeline(current.version);
    const isFirst = stored === undefined;
    const isReliable = record !== undefined && !(isFirst && (record.isProvisional || isOverlapping(record)));
    if (isReliable && record.timeline === timeline) {
      return { kind: "stored", assignment: record };
    }
    if (!isFirst) {
      return { kind: "continued", assignment: continueAssignment(assignment, timeline) };
    }
    const ranges = options.owners.getRanges(service);
    if (record === undefined && ranges.length === 0 && options.isFirstStart) {
      return { kind: "none" };
    }
    if (clock.now() - startedAt < RESTORED_DIRECTORY_DELAY_MS) {
      return { kind: "unsettled" };
    }
    return { kind: "replaced", assignment: replaceAssignment(record, { service, ranges }, timeline) };
  }

  /** Earlier versions could store two owners of keys. */
  function isOverlapping({ ranges }: RangeAssignment): boolean {
    if (!hasOverlaps(ranges)) {
      return false;
    }
    logger.log(Event.AssignmentOverlapping, { service });
    return true;
  }

  async function endProvisionalAssignment(): Promise<void> {
    const before = assignment;
    const baseVersion = stored?.version ?? 0;
    const version = await write({ ...before, isProvisional: false });
    options.owners.update(service, assignment.ranges, version);
    options.publish(before, baseVersion, assignment, version);
  }

  function publishReplacement(version: Version): void {
    const known = { ...assignment, ranges: options.owners.getRanges(service) };
    options.publish(known, options.owners.getVersion(service), assignment, version);
  }

  function adopt(current: RangeAssignment, isFirst: boolean): void {
    setAssignment(current);
    holdings = [...adoptHoldings(current.ranges, holdings, freed)];
    // An in-doubt write may have taken effect and given freed keys to their new owners.
    freed = freed.filter((range) => !holdings.some((holding) => overlaps(holding.range, range)));
    if (isFirst) {
      // The previous coordinator may have renewed these grants until just now, for the longest duration.
      for (const { range } of holdings) {
        ledger.recordEarlier(range, range.server, options.maxGrantMs);
      }
    }
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
          allocateTokens(FENCED_TOKEN_STEP);
          holding.phase = HoldingPhase.Refused;
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
    if (isStoreAnswering && clock.now() - rebalancedAt >= REBALANCE_INTERVAL_MS) {
      rebalancedAt = clock.now();
      startRebalance();
    }
  }

  /** Returns whether the owner is unreachable and every grant that may have reached it has expired. */
  function hasExpired(holding: Holding): boolean {
    const isUnreachable = holding.retryAt !== Number.POSITIVE_INFINITY;
    return isUnreachable && ledger.getFreeAt(holding.range, undefined) <= clock.now();
  }

  function startRebalance(): void {
    const servers = getCandidates();
    const movable = new Set<KeyRange>(holdings.filter(isMovable).map((holding) => holding.range));
    const moving = sum([...movingPieces.values()].map((pieces) => pieces.length));
    const owned = listPlannedRanges();
    const plan = (getLoad: LoadFunction, maxMoves: number) =>
      planRebalance({
        owned,
        candidates: servers,
        getLoad,
        maxMoves,
        isMovable: (range) => movable.has(range),
      });
    let moves = plan(options.load.measure(), getMaxMoves(servers.length) - moving);
    if (moves.length > 0) {
      busyKeysMovedAt = clock.now();
    } else if (moving === 0 && mayEvenOutSteadyLoad(owned, servers)) {
      moves = plan(options.load.measureSteady(), MAX_STEADY_MOVES);
    }
    for (const pieces of groupAdjacentMoves(moves)) {
      const union = { from: pieces[0].from, to: pieces.at(-1)?.to ?? pieces[0].to };
      const holding = holdings.find(({ range }) => contains(range, union));
      if (holding !== undefined) {
        const cut = cutHolding(holding, union);
        movingPieces.set(cut, pieces);
        void reclaim(cut, pieces).finally(() => movingPieces.delete(cut));
      }
    }
  }

  function mayEvenOutSteadyLoad(owned: readonly OwnedRange[], servers: readonly OwnerCandidate[]): boolean {
    return (
      clock.now() - busyKeysMovedAt >= STEADY_PAUSE_MS &&
      owned.length <= MAX_STEADY_RANGES_PER_SERVER * servers.length &&
      (options.areCapacitiesMeasured?.(directory.getUsable(service)) ?? false)
    );
  }

  /** The owned ranges as they will be after the moves in progress, so that a further plan builds on these. */
  function listPlannedRanges(): readonly OwnedRange[] {
    const kept = holdings.filter((holding) => !movingPieces.has(holding)).map((holding) => holding.range);
    const targets = [...movingPieces.values(), ...freed.map((range) => range.targets)].flat();
    return [...kept, ...targets.map((target) => ({ ...target, token: 0 }))];
  }

  /** A grant in flight covers the whole range, so it would undo the release of a part. */
  function isMovable({ phase, isGrantInFlight }: Holding): boolean {
    return phase === HoldingPhase.Held && !isGrantInFlight;
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

  /** Reserves `count` fencing tokens that were never issued and returns the first. */
  function allocateTokens(count: number): number {
    const first = assignment.nextToken;
    assignment = { ...assignment, nextToken: first + count };
    return first;
  }

  /** Replaces the assignment with a stored one; tokens issued since it was written are not reissued. */
  function setAssignment(next: RangeAssignment): void {
    assignment = { ...next, nextToken: Math.max(next.nextToken, assignment.nextToken) };
  }

  function free(holding: Holding, { by, handover }: ReclaimedKeys, targets: readonly Placement[]): void {
    const { from, to, token, server } = holding.range;
    holdings = holdings.filter((each) => each !== holding);
    freed.push({ from, to, token, server, by, handover, targets });
  }

  /** Stores owners of the keys that have none, and new fencing tokens of the ranges whose owners refuse renewals. */
  async function placeRanges(): Promise<void> {
    const refused = holdings.filter((holding) => holding.phase === HoldingPhase.Refused);
    const isAnyUnowned = findUnowned(holdings.map((holding) => holding.range)).length > 0;
    const servers = isAnyUnowned ? getCandidates() : [];
    const isPlaceable = servers.length > 0 && isPlacementDue();
    // Further keys may be freed while the assignment is written; they are placed in the next round.
    const freedToPlace = isPlaceable ? [...freed] : [];
    const chosen = isPlaceable ? choosePlacements(freedToPlace, servers) : [];
    const placements = [...chosen, ...refused.map(placeAgain)];
    if (placements.length === 0) {
      return;
    }
    const kept = holdings.filter((holding) => !refused.includes(holding));
    const change = planHoldings(kept, placements, freedToPlace, assignment);
    const before = assignment;
    const baseVersion = stored?.version ?? 0;
    const version = await write(change.assignment);
    const dropped = new Set([...refused, ...change.dropped]);
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
    return stored !== undefined || clock.now() - firstCandidatesAt >= FIRST_PLACEMENT_DELAY_MS;
  }

  async function write(next: RangeAssignment): Promise<number> {
    const base = stored;
    try {
      const result = await updateObject(
        objects,
        path,
        CallPriority.Ownership,
        (current) => {
          assertCoordinator();
          if (current?.version !== base?.version) {
            throw new Error("the assignment was written by another coordinator after it was read");
          }
          return next;
        },
        base,
      );
      const version = result.kind === "updated" ? result.version : 0;
      stored = { version, value: next };
      setAssignment(next);
      return version;
    } catch (error) {
      isWriteInDoubt = true;
      throw error;
    }
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

function getMaxMoves(serverCount: number): number {
  const wanted = Math.max(MIN_CONCURRENT_MOVES, Math.floor(serverCount * CONCURRENT_MOVES_PER_SERVER));
  return Math.min(MAX_CONCURRENT_MOVES, wanted);
}

function isSameProcess(server: OwnerCandidate, target: Placement): boolean {
  return server.name === target.server && server.bornAt === target.bornAt;
}
