/**
 * Compares placement with one that distributes all slots from scratch. Guards against moves of slots that
 * could stay, and against load that stays uneven.
 */
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
  test("the loss of a server moves only its slots and leaves as even counts as a placement from scratch", () => {
    fc.assert(
      fc.property(fc.integer({ min: 2, max: 12 }), fc.nat(), (serverCount, lostIndex) => {
        const assignment = createPlacedAssignment(serverCount);
        const lost = assignment.servers[lostIndex % serverCount]?.name ?? "";
        const candidates = listCandidates(assignment).filter((candidate) => candidate.name !== lost);
        const slots = getOwnedSlots(assignment, lost).map((owned) => owned.slot);
        const moves = placeSlots(assignment, slots, candidates, new Map());
        expect(moves.map((move) => move.slot).sort(compareNumbers)).toEqual(slots);
        const counts = [...countSlots(commitMoves(assignment, moves))].filter(([name]) => name !== lost);
        expect(computeSpread(counts.map(([, count]) => count))).toBeLessThanOrEqual(
          computeMinSpread(serverCount - 1),
        );
      }),
      { seed: SEED, numRuns: 100 },
    );
  });

  test("no moves are planned for a balanced load", () => {
    const assignment = createPlacedAssignment(8);
    const moves = planBalancingMoves(assignment, listCandidates(assignment), new Map(), {
      tolerance: 1.1,
      maxMoves: 100,
      windowSeconds: 3600,
    });
    expect(moves).toEqual([]);
  });

  test("a server without slots receives only its share", () => {
    const assignment = createPlacedAssignment(7, 8);
    const moves = planBalancingMoves(assignment, listCandidates(assignment), new Map(), {
      tolerance: 1.1,
      maxMoves: 100,
      windowSeconds: 3600,
    });
    expect(moves.every((move) => move.target === "server-7")).toBe(true);
    expect(moves.length).toBeLessThanOrEqual(SLOT_COUNT / 8);
    expect(moves.length).toBeGreaterThanOrEqual(SLOT_COUNT / 8 - 2);
  });

  test("a server that returns to a group of twenty receives two slots or more, up to 1.1 times its share", () => {
    const assignment = createPlacedAssignment(19, 20);
    const limits = { tolerance: 1.1, maxMoves: 100, windowSeconds: 3600 };
    const moves = planBalancingMoves(assignment, listCandidates(assignment), new Map(), limits);
    expect(moves.every((move) => move.target === "server-19")).toBe(true);
    expect(moves.length).toBeGreaterThanOrEqual(2);
    expect(moves.length).toBeLessThanOrEqual(Math.ceil((SLOT_COUNT / 20) * 1.1));
  });

  test("balancing never raises the peak and ends within the tolerance or one slot's load above the mean", () => {
    fc.assert(
      fc.property(
        fc.array(fc.integer({ min: 0, max: 50 }), { minLength: SLOT_COUNT, maxLength: SLOT_COUNT }),
        (slotLoads) => {
          const assignment = createPlacedAssignment(5);
          const loads = new Map(slotLoads.map((value, slot) => [slot, value]));
          const limits = { tolerance: 1.1, maxMoves: 1000, windowSeconds: 1e9 };
          const moves = planBalancingMoves(assignment, listCandidates(assignment), loads, limits);
          const before = computePeakToMeanRatio(assignment, loads);
          const after = computePeakToMeanRatio(commitMoves(assignment, moves), loads);
          expect(after).toBeLessThanOrEqual(before);
          const heaviestSlotToMeanRatio =
            Math.max(...slotLoads) / (slotLoads.reduce((sum, value) => sum + value, 0) / 5);
          expect(after).toBeLessThanOrEqual(Math.max(1.1, 1 + heaviestSlotToMeanRatio) + 0.01);
        },
      ),
      { seed: SEED, numRuns: 100 },
    );
  });
});

/** Creates an assignment to `allServers` servers, the first `usedServers` of which own all slots. */
function createPlacedAssignment(usedServers: number, allServers = usedServers): Assignment {
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

/** Computes the spread of a placement from scratch, in which slot counts differ by at most one. */
function computeMinSpread(serverCount: number): number {
  return SLOT_COUNT % serverCount === 0 ? 0 : 1;
}

function computeSpread(counts: readonly number[]): number {
  return Math.max(...counts) - Math.min(...counts);
}

function computePeakToMeanRatio(assignment: Assignment, loads: ReadonlyMap<number, number>): number {
  const serverLoads = assignment.servers.map((server) =>
    getOwnedSlots(assignment, server.name).reduce((sum, owned) => sum + (loads.get(owned.slot) ?? 0), 0),
  );
  const mean = serverLoads.reduce((sum, value) => sum + value, 0) / serverLoads.length;
  return mean === 0 ? 1 : Math.max(...serverLoads) / mean;
}

function compareNumbers(left: number, right: number): number {
  return left - right;
}
