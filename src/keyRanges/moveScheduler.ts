/** Decides when busy keys, and keys of lasting load, are moved to other servers, and how many at a time. */
import type { Clock } from "../types";
import { type FreedRange, type Holding, HoldingPhase } from "./holdings";
import type { KeyLoad } from "./keyLoad";
import { type LoadFunction, type OwnerCandidate, type Placement, sum } from "./rangePlanner";
import { groupAdjacentMoves, planRebalance } from "./rebalancing";
import type { KeyRange, OwnedRange } from "./types";

/** Time between two rounds of rebalancing; a move shows in the measured load within this time. */
const REBALANCE_INTERVAL_MS = 500;
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

/** Options for {@link createMoveScheduler}. */
export interface MoveSchedulerOptions {
  readonly clock: Clock;
  readonly load: KeyLoad;
  /** Returns whether load may be evened out by the long count of requests. */
  readonly areCapacitiesMeasured: () => boolean;
}

/** Adjacent pieces of one range that are moved together, with their new owners. */
export type AdjacentMoves = readonly [Placement, ...Placement[]];

/** Moves of one service's keys. */
export interface MoveScheduler {
  /** Returns whether a round is due, and if so starts the time until the next one. */
  startRound(): boolean;
  /** Plans the moves of a round, on top of those in progress. */
  plan(
    holdings: readonly Holding[],
    freed: readonly FreedRange[],
    candidates: readonly OwnerCandidate[],
  ): readonly AdjacentMoves[];
  /** Records that pieces are being reclaimed from their owner, until `reclaimed` settles. */
  track(holding: Holding, pieces: AdjacentMoves, reclaimed: Promise<void>): void;
}

/**
 * Creates the scheduler of a coordinator's term, without moves in progress.
 *
 * @param options - Clock and measured load.
 * @returns The scheduler.
 */
export function createMoveScheduler(options: MoveSchedulerOptions): MoveScheduler {
  const { clock, load } = options;
  let plannedAt = clock.now() + FIRST_REBALANCE_DELAY_MS;
  let busyKeysMovedAt = Number.NEGATIVE_INFINITY;
  /** Pieces that have not been reclaimed from their old owners yet. */
  const moving = new Map<Holding, AdjacentMoves>();

  return {
    startRound: () => {
      if (clock.now() - plannedAt < REBALANCE_INTERVAL_MS) {
        return false;
      }
      plannedAt = clock.now();
      return true;
    },
    plan: (holdings, freed, candidates) => {
      const movable = new Set<KeyRange>(holdings.filter(isMovable).map((holding) => holding.range));
      const movingCount = sum([...moving.values()].map((pieces) => pieces.length));
      const owned = listPlannedRanges(holdings, freed);
      const plan = (getLoad: LoadFunction, maxMoves: number) =>
        planRebalance({ owned, candidates, getLoad, maxMoves, isMovable: (range) => movable.has(range) });
      const busyMoves = plan(load.measure(), getMaxMoves(candidates.length) - movingCount);
      if (busyMoves.length > 0) {
        busyKeysMovedAt = clock.now();
        return groupAdjacentMoves(busyMoves);
      }
      const isSteady = movingCount === 0 && mayEvenOutSteadyLoad(owned.length, candidates.length);
      return isSteady ? groupAdjacentMoves(plan(load.measureSteady(), MAX_STEADY_MOVES)) : [];
    },
    track: (holding, pieces, reclaimed) => {
      moving.set(holding, pieces);
      void reclaimed.finally(() => moving.delete(holding));
    },
  };

  function mayEvenOutSteadyLoad(rangeCount: number, serverCount: number): boolean {
    return (
      clock.now() - busyKeysMovedAt >= STEADY_PAUSE_MS &&
      rangeCount <= MAX_STEADY_RANGES_PER_SERVER * serverCount &&
      options.areCapacitiesMeasured()
    );
  }

  /** The owned ranges as they will be after the moves in progress, so that a further plan builds on these. */
  function listPlannedRanges(
    holdings: readonly Holding[],
    freed: readonly FreedRange[],
  ): readonly OwnedRange[] {
    const kept = holdings.filter((holding) => !moving.has(holding)).map((holding) => holding.range);
    const targets = [...moving.values(), ...freed.map((range) => range.targets)].flat();
    return [...kept, ...targets.map((target) => ({ ...target, token: 0 }))];
  }
}

/** A grant in flight covers the whole range, so it would undo the release of a part. */
function isMovable({ phase, isGrantInFlight }: Holding): boolean {
  return phase === HoldingPhase.Held && !isGrantInFlight;
}

function getMaxMoves(serverCount: number): number {
  const wanted = Math.max(MIN_CONCURRENT_MOVES, Math.floor(serverCount * CONCURRENT_MOVES_PER_SERVER));
  return Math.min(MAX_CONCURRENT_MOVES, wanted);
}
