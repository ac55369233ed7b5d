/** Placement against a naive version that recomputes everything. */
import fc from "fast-check";
import { describe, expect, test } from "vitest";
import {
  type Assignment,
  type Candidate,
  commitMoves,
  countSlots,
  createAssignment,
  listUnownedSlots,
  placeSlots,
  planBalancingMoves,
  getOwnedSlots,
} from "../src/ownership";

const SEED = 20_261_204;
const SLOT_COUNT = 64;

describe("placement", () => {
  test("a lost server moves only its own slots, and the result is as even as the naive one allows", () => {
    fc.assert(
      fc.property(fc.integer({ min: 2, max: 12 }), fc.nat(), (serverCount, choice) => {
        const assignment = createPlaced(serverCount);
        const lost = assignment.servers[choice % serverCount]?.name ?? "";
        const candidates = listCandidates(assignment).filter((candidate) => candidate.name !== lost);
        const slots = getOwnedSlots(assignment, lost).map((owned) => owned.slot);
        const moves = placeSlots(assignment, slots, candidates, new Map());
        expect(moves.map((move) => move.slot).sort(byNumber)).toEqual(slots);
        const counts = [...countSlots(commitMoves(assignment, moves))].filter(([name]) => name !== lost);
        expect(spreadOf(counts.map(([, count]) => count))).toBeLessThanOrEqual(naiveSpread(serverCount - 1));
      }),
      { seed: SEED, numRuns: 100 },
    );
  });

  test("balanced load plans no moves", () => {
    const assignment = createPlaced(8);
    const moves = planBalancingMoves(assignment, listCandidates(assignment), new Map(), {
      tolerance: 1.1,
      maxMoves: 100,
      windowSeconds: 3600,
    });
    expect(moves).toEqual([]);
  });

  test("an empty server takes only its share", () => {
    const assignment = createPlaced(7, 8);
    const moves = planBalancingMoves(assignment, listCandidates(assignment), new Map(), {
      tolerance: 1.1,
      maxMoves: 100,
      windowSeconds: 3600,
    });
    expect(moves.every((move) => move.target === "server-7")).toBe(true);
    expect(moves.length).toBeLessThanOrEqual(SLOT_COUNT / 8);
    expect(moves.length).toBeGreaterThanOrEqual(SLOT_COUNT / 8 - 2);
  });

  test("a server that returns among twenty takes its share, and at most 1.1 of it", () => {
    const assignment = createPlaced(19, 20);
    const limits = { tolerance: 1.1, maxMoves: 100, windowSeconds: 3600 };
    const moves = planBalancingMoves(assignment, listCandidates(assignment), new Map(), limits);
    expect(moves.every((move) => move.target === "server-19")).toBe(true);
    expect(moves.length).toBeGreaterThanOrEqual(2);
    expect(moves.length).toBeLessThanOrEqual(Math.ceil((SLOT_COUNT / 20) * 1.1));
  });

  test("uneven load ends within the tolerance, or where no single slot could help", () => {
    fc.assert(
      fc.property(
        fc.array(fc.integer({ min: 0, max: 50 }), { minLength: SLOT_COUNT, maxLength: SLOT_COUNT }),
        (load) => {
          const assignment = createPlaced(5);
          const loads = new Map(load.map((value, slot) => [slot, value]));
          const limits = { tolerance: 1.1, maxMoves: 1000, windowSeconds: 1e9 };
          const moves = planBalancingMoves(assignment, listCandidates(assignment), loads, limits);
          const before = busiestOverMean(assignment, loads);
          const after = busiestOverMean(commitMoves(assignment, moves), loads);
          expect(after).toBeLessThanOrEqual(before);
          const heaviest = Math.max(...load) / (load.reduce((sum, value) => sum + value, 0) / 5);
          expect(after).toBeLessThanOrEqual(Math.max(1.1, 1 + heaviest) + 0.01);
        },
      ),
      { seed: SEED, numRuns: 100 },
    );
  });
});

function createPlaced(usedServers: number, allServers = usedServers): Assignment {
  const servers = Array.from({ length: allServers }, (_unused, index) => ({
    name: `server-${index}`,
    dataCentre: "north",
    generation: 0,
    leaseholder: null,
    predecessors: [],
  }));
  const empty = { ...createAssignment("desk", SLOT_COUNT), servers };
  const candidates = listCandidates(empty).slice(0, usedServers);
  return commitMoves(empty, placeSlots(empty, listUnownedSlots(empty), candidates, new Map()));
}

function listCandidates(assignment: Assignment): readonly Candidate[] {
  return assignment.servers.map((server) => ({ name: server.name, weight: 4 }));
}

/** The naive version deals all slots out anew: no two servers differ by more than one. */
function naiveSpread(serverCount: number): number {
  return SLOT_COUNT % serverCount === 0 ? 0 : 1;
}

function spreadOf(counts: readonly number[]): number {
  return Math.max(...counts) - Math.min(...counts);
}

function busiestOverMean(assignment: Assignment, loads: ReadonlyMap<number, number>): number {
  const sums = assignment.servers.map((server) =>
    getOwnedSlots(assignment, server.name).reduce((sum, owned) => sum + (loads.get(owned.slot) ?? 0), 0),
  );
  const mean = sums.reduce((sum, value) => sum + value, 0) / sums.length;
  return mean === 0 ? 1 : Math.max(...sums) / mean;
}

function byNumber(left: number, right: number): number {
  return left - right;
}
