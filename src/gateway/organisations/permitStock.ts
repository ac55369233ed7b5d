/** Permits that a daemon holds for the requests of organisations, and the number that it would like to hold. */
import type { Clock } from "../../types";
import type { OrganisationAllowance } from "../types";
import { PERMIT_LIFETIME_MS, type PermitCall, type PermitGrant } from "./allowanceLedger";

/** Time over which the requests of an organisation are averaged. */
const AVERAGING_MS = 2000;
/** A daemon would like to hold permits for this time, so that few requests wait for a call. */
const WANTED_MS = 500;
/** Permits are asked for ahead of need for this time only, which passes between two calls. */
const EXPECTED_MS = 100;
/** Permits that were asked for this long ago are renewed together with another call. */
const RENEWAL_MS = 1000;
/** An organisation without a request for this time gets no permits ahead of need. */
const ACTIVE_MS = 10_000;
/** Part of the wanted permits below which more are asked for before they are used up. */
const LOW_SHARE = 0.25;
/** Fewer wanted permits than this are only renewed together with another call. */
const MIN_RENEWED = 4;
/** Maximum organisations in one call, so that it fits into one datagram of 1,400 bytes. */
const MAX_CALLS = 16;

interface Holding {
  allowance: OrganisationAllowance;
  permits: number;
  expiresAt: number;
  /** Permits that have expired unused. */
  dropped: number;
  /** Decaying count of requests over {@link AVERAGING_MS}. */
  requests: number;
  requestedAt: number;
  exhaustedUntil: number;
  /** End of the time in which no permits are asked for ahead of need, since there were too few. */
  scarceUntil: number;
  local: number;
  isAsking: boolean;
  askedAt: number;
}

/** Permits of all organisations. */
export interface PermitStock {
  /** Records a request, which counts towards the permits that are wanted. */
  recordRequest(organisation: string, allowance: OrganisationAllowance): void;
  /** Uses a permit. Returns false when there is none. */
  use(organisation: string): boolean;
  /** Records a request that was permitted without the coordinator. */
  recordLocal(organisation: string): void;
  /** Returns the time for which no permit is to be asked for, in milliseconds; 0 when one may be. */
  getDenialMs(organisation: string): number;
  /** Returns whether permits are to be asked for before a request waits for one. */
  isLow(organisation: string): boolean;
  /** Returns whether a call for permits of the organisation has not been answered yet. */
  isAsking(organisation: string): boolean;
  /** Creates the calls for an organisation's permits, and for others that are active and lack permits. */
  startCalls(organisation: string, waiting: number): readonly PermitCall[];
  /** Takes up the answers to calls; null for an organisation that the coordinator does not know. */
  finishCalls(calls: readonly PermitCall[], grants: readonly (PermitGrant | null)[] | undefined): void;
  /** Removes the state of other organisations. */
  retain(isLimited: (organisation: string) => boolean): void;
}

/**
 * Creates an empty stock.
 *
 * @param clock - Clock that permits expire by.
 * @returns The stock.
 */
export function createPermitStock(clock: Clock): PermitStock {
  const holdings = new Map<string, Holding>();

  return {
    recordRequest: (organisation, allowance) => {
      const holding = getHolding(organisation, allowance);
      if (
        allowance.requestsPerSecond < holding.allowance.requestsPerSecond ||
        allowance.burst < holding.allowance.burst
      ) {
        // They may be more than the lower allowance provides.
        holding.dropped += countPermits(holding);
        holding.permits = 0;
      }
      holding.allowance = allowance;
      holding.requests = countRequests(holding) + 1;
      holding.requestedAt = clock.now();
    },
    use: (organisation) => {
      const holding = holdings.get(organisation);
      if (holding === undefined || countPermits(holding) < 1) {
        return false;
      }
      holding.permits -= 1;
      return true;
    },
    recordLocal: (organisation) => {
      const holding = holdings.get(organisation);
      if (holding !== undefined) {
        holding.local += 1;
      }
    },
    getDenialMs: (organisation) =>
      Math.max(0, (holdings.get(organisation)?.exhaustedUntil ?? 0) - clock.now()),
    isAsking: (organisation) => holdings.get(organisation)?.isAsking ?? false,
    isLow: (organisation) => {
      const holding = holdings.get(organisation);
      if (holding === undefined || holding.isAsking || clock.now() - holding.askedAt < EXPECTED_MS) {
        return false;
      }
      const wanted = countWanted(holding);
      const isExhausted = holding.exhaustedUntil > clock.now();
      return !isExhausted && wanted >= MIN_RENEWED && countPermits(holding) <= wanted * LOW_SHARE;
    },
    startCalls: (organisation, waiting) => {
      const own = holdings.get(organisation);
      const others = [...holdings]
        .filter(([name, holding]) => name !== organisation && isWanting(holding))
        .sort(([, left], [, right]) => right.requests - left.requests)
        .slice(0, MAX_CALLS - 1);
      return [
        ...(own === undefined ? [] : [startCall(organisation, own, waiting, EXPECTED_MS)]),
        ...others.map(([name, holding]) => startCall(name, holding, 0, 0)),
      ];
    },
    finishCalls: (calls, grants) => {
      for (const [index, call] of calls.entries()) {
        const holding = holdings.get(call.organisation);
        const grant = grants?.[index];
        if (holding === undefined) {
          continue;
        }
        holding.isAsking = false;
        if (grant !== undefined && grant !== null) {
          holding.permits = countPermits(holding) + grant.granted;
          holding.expiresAt = holding.askedAt + PERMIT_LIFETIME_MS;
          const isScarce = call.held + grant.granted < call.wanted;
          holding.scarceUntil = isScarce ? clock.now() + RENEWAL_MS : 0;
          holding.exhaustedUntil = grant.waitMs === null ? 0 : clock.now() + grant.waitMs;
        }
      }
    },
    retain: (isLimited) => {
      [...holdings.keys()]
        .filter((organisation) => !isLimited(organisation))
        .forEach((organisation) => holdings.delete(organisation));
    },
  };

  function getHolding(organisation: string, allowance: OrganisationAllowance): Holding {
    let holding = holdings.get(organisation);
    if (holding === undefined) {
      holding = {
        allowance,
        permits: 0,
        expiresAt: 0,
        dropped: 0,
        requests: 0,
        requestedAt: clock.now(),
        exhaustedUntil: 0,
        scarceUntil: 0,
        local: 0,
        isAsking: false,
        askedAt: Number.NEGATIVE_INFINITY,
      };
      holdings.set(organisation, holding);
    }
    return holding;
  }

  /** Returns the number of permits, after dropping those that have expired. */
  function countPermits(holding: Holding): number {
    if (clock.now() >= holding.expiresAt) {
      holding.dropped += holding.permits;
      holding.permits = 0;
    }
    return holding.permits;
  }

  function countRequests({ requests, requestedAt }: Holding): number {
    return requests * Math.exp((requestedAt - clock.now()) / AVERAGING_MS);
  }

  function countWanted(holding: Holding): number {
    return Math.max(1, Math.ceil((countRequests(holding) * WANTED_MS) / AVERAGING_MS));
  }

  function isWanting(holding: Holding): boolean {
    const now = clock.now();
    const isActive = now - holding.requestedAt < ACTIVE_MS && holding.exhaustedUntil <= now;
    const permits = countPermits(holding);
    const isOld = permits > 0 && now - holding.askedAt >= RENEWAL_MS;
    const isShort = permits < countWanted(holding) && now >= holding.scarceUntil;
    return isActive && !holding.isAsking && (isOld || isShort);
  }

  /** Only the organisation that causes the call may take the last permits of its bucket ahead of need. */
  function startCall(
    organisation: string,
    holding: Holding,
    waiting: number,
    expectedMs: number,
  ): PermitCall {
    holding.isAsking = true;
    holding.askedAt = clock.now();
    return {
      organisation,
      held: countPermits(holding),
      dropped: holding.dropped,
      local: holding.local,
      waiting,
      expected: Math.floor((countRequests(holding) * expectedMs) / AVERAGING_MS),
      wanted: countWanted(holding),
    };
  }
}
