/** Chooses the backend server for a request without a key. */
import type { DiscoveredServer } from "../discovery";
import type { DataCentreName, ServerName } from "../types";
import type { ServerLoads } from "./serverLoads";

/** Costs of sending to another data centre, as time that a nearer server may take longer. */
export interface DistanceCosts {
  /** For short answers: the round trip. */
  readonly shortMs: number;
  /** For large answers: their bytes are dear between data centres. */
  readonly largeMs: number;
}

/** What a choice depends on. */
export interface ServerChoiceOptions {
  readonly candidates: readonly DiscoveredServer[];
  readonly loads: ServerLoads;
  readonly dataCentre: DataCentreName;
  readonly remoteCostMs: number;
  /** Servers that have had this request already. */
  readonly tried: ReadonlySet<ServerName>;
  /** Whether a server may get this request now. */
  readonly isAdmitted: (server: DiscoveredServer) => boolean;
  readonly random: () => number;
}

/** Daemons that know the same loads must not all choose the same server. */
const COST_JITTER = 0.25;
/** A failed request costs the caller about this many times the usual time. */
const FAILURE_COST = 6;

/**
 * Chooses the server with the shortest expected time until an answer.
 *
 * @param options - Candidates and what is known of them.
 * @returns The server, or undefined when none may get the request.
 */
export function chooseServer(options: ServerChoiceOptions): DiscoveredServer | undefined {
  const { loads, tried } = options;
  const available = options.candidates.filter(
    (server) => !tried.has(server.name) && loads.isReachable(server.name),
  );
  const ranked = available
    .map((server) => ({ server, cost: estimateCostMs(server, options) }))
    .sort((left, right) => left.cost - right.cost);
  return ranked.find(({ server }) => options.isAdmitted(server))?.server;
}

function estimateCostMs(server: DiscoveredServer, options: ServerChoiceOptions): number {
  const { loads, dataCentre, remoteCostMs, random } = options;
  const expectedMs = loads.estimateLatencyMs(server.name, server.slots);
  const failureFactor = 1 + FAILURE_COST * loads.getFailureShare(server.name);
  const distanceMs = server.dataCentre === dataCentre ? 0 : remoteCostMs;
  return expectedMs * failureFactor * (1 + COST_JITTER * random()) + distanceMs;
}
