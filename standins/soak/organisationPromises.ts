/** Checks what backend servers saw of organisations against the promises. */
import type { RunRecord } from "../edge/backendServer";
import type { BoundedRecord } from "./boundedCallers";
import { BOUNDED_ALLOWANCE, SoakOrganisation } from "./deployment";

/** In any window of this length, an organisation may send this multiple of its allowance, and some requests more. */
const ALLOWANCE_WINDOW_MS = 5000;
const ALLOWANCE_RATIO = 1.1;
const ALLOWANCE_SLACK = 20;
const SERVED = 200;
const MILLISECONDS_PER_SECOND = 1000;

/** Records of servers and of the callers whose organisation has an allowance. */
export interface OrganisationFacts {
  readonly runs: readonly RunRecord[];
  readonly bounded: readonly BoundedRecord[];
}

/** Finds requests that reached a server with an API key, or under another organisation than that of their key. */
export function findForeign({ runs, bounded }: OrganisationFacts): readonly string[] {
  const boundedIds = new Set(bounded.map(({ requestId }) => requestId));
  return runs
    .filter(({ requestId, organisation, hasApiKey }) => {
      const expected = SoakOrganisation[boundedIds.has(requestId) ? "bounded" : "regular"];
      return hasApiKey || organisation !== expected;
    })
    .map(({ requestId }) => requestId);
}

/** Finds requests without a valid API key that ran, or were answered as if they had. */
export function findUnauthorized({ runs, bounded }: OrganisationFacts): readonly string[] {
  const runIds = new Set(runs.map(({ requestId }) => requestId));
  return bounded
    .filter(({ hasValidKey }) => !hasValidKey)
    .filter(({ requestId, status }) => runIds.has(requestId) || status === SERVED)
    .map(({ requestId }) => requestId);
}

/** Finds requests by which the organisation with an allowance exceeded it; a request may reach two servers. */
export function findExcess(runs: readonly RunRecord[]): readonly string[] {
  const { requestsPerSecond, burst } = BOUNDED_ALLOWANCE;
  const windowRequests = (ALLOWANCE_WINDOW_MS / MILLISECONDS_PER_SECOND) * requestsPerSecond + burst;
  const own = runs.filter(({ organisation }) => organisation === SoakOrganisation.bounded);
  return own
    .filter(({ arrivedAt }) => {
      const inWindow = own.filter(
        (other) => other.arrivedAt <= arrivedAt && other.arrivedAt > arrivedAt - ALLOWANCE_WINDOW_MS,
      );
      const distinct = new Set(inWindow.map(({ requestId }) => requestId));
      return distinct.size > windowRequests * ALLOWANCE_RATIO + ALLOWANCE_SLACK;
    })
    .map(({ requestId }) => requestId);
}
