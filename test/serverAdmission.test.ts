/** One table over all reasons why a server must not get a request now, and their order. */
import { describe, expect, test } from "vitest";
import { RejectionReason, RouteKind, createServerAdmission } from "../src/gateway";
import { systemClock } from "../src/types";
import { createRequest, createTestServer, policy } from "./support/gateway";

/** What is known of a server; all is well unless a case changes it. */
const healthy = {
  isListedUsable: true,
  leavingMs: undefined as number | undefined,
  isReachable: true,
  backOffMs: 0,
  share: 1,
  hasRoom: true,
  waitMs: 0,
  processingMs: 50,
  weight: 1,
  isExhausted: false,
  isCold: false,
  isColdAdmitted: true,
};

type Change = Partial<typeof healthy>;

function decide(change: Change, isKeyed: boolean) {
  const known = { ...healthy, ...change };
  const admission = createServerAdmission({
    directory: {
      isUsable: () => known.isListedUsable && known.leavingMs === undefined,
      isListedUsable: () => known.isListedUsable,
      isCold: () => known.isCold,
      findLeavingMs: () => known.leavingMs,
    },
    connections: { hasRoom: () => known.hasRoom },
    loads: {
      isReachable: () => known.isReachable,
      estimateWaitMs: () => known.waitMs,
      getProcessingMs: () => known.processingMs,
    },
    permits: { isExhausted: () => known.isExhausted },
    backOff: { getRemainingMs: () => known.backOffMs },
    coldAdmission: {
      tryAcquire: () => known.isColdAdmitted,
      isDue: () => known.isColdAdmitted,
      getWaitMs: () => 70,
    },
    ownerShares: { find: () => known.share },
    costs: { getWeight: () => known.weight },
    leavingOwnerMs: 1000,
    clock: systemClock,
    random: () => 0.5,
  });
  const service = { ...policy, isKeyed, coldRequestsPerSecond: 3 };
  const request = createRequest(RouteKind.Safe, { service, key: isKeyed ? 7 : undefined });
  return admission.findObstacle(request, createTestServer("s1", 80))?.reason ?? "admitted";
}

interface AdmissionCase {
  readonly name: string;
  readonly change: Change;
  readonly keyless: string;
  readonly keyed: string;
}

const { Leaving, Unreachable, BackingOff, Overloaded, RateLimited, Cold } = RejectionReason;
const cases: readonly AdmissionCase[] = [
  { name: "healthy", change: {}, keyless: "admitted", keyed: "admitted" },
  { name: "draining or excluded", change: { isListedUsable: false }, keyless: Leaving, keyed: Leaving },
  {
    name: "leaving since a moment ago",
    change: { leavingMs: 500 },
    keyless: Leaving,
    keyed: "admitted",
  },
  { name: "leaving", change: { leavingMs: 1500 }, keyless: Leaving, keyed: Leaving },
  {
    name: "leaving since a moment ago, in an excluded data centre",
    change: { isListedUsable: false, leavingMs: 500 },
    keyless: Leaving,
    keyed: Leaving,
  },
  { name: "unreachable", change: { isReachable: false }, keyless: Unreachable, keyed: Unreachable },
  { name: "backing off", change: { backOffMs: 10 }, keyless: BackingOff, keyed: BackingOff },
  { name: "an overloaded owner", change: { share: 0.4 }, keyless: "admitted", keyed: Overloaded },
  { name: "out of connections", change: { hasRoom: false }, keyless: Overloaded, keyed: Overloaded },
  { name: "too busy", change: { waitMs: 400 }, keyless: Overloaded, keyed: Overloaded },
  {
    name: "busy for long requests",
    change: { waitMs: 100, weight: 4 },
    keyless: Overloaded,
    keyed: Overloaded,
  },
  { name: "busy for short ones", change: { waitMs: 100 }, keyless: "admitted", keyed: "admitted" },
  { name: "slow without a queue", change: { processingMs: 9000 }, keyless: "admitted", keyed: "admitted" },
  { name: "out of permits", change: { isExhausted: true }, keyless: RateLimited, keyed: RateLimited },
  { name: "cold and admitted", change: { isCold: true }, keyless: "admitted", keyed: "admitted" },
  { name: "cold", change: { isCold: true, isColdAdmitted: false }, keyless: Cold, keyed: Cold },
  {
    name: "cold and backing off",
    change: { isCold: true, isColdAdmitted: false, backOffMs: 10 },
    keyless: BackingOff,
    keyed: BackingOff,
  },
];

describe("admission to a server that is", () => {
  test.each(cases)("$name", ({ change, keyless, keyed }) => {
    expect([decide(change, false), decide(change, true)]).toEqual([keyless, keyed]);
  });
});
