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
export interface ChoiceOptions {
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
const SPREAD = 0.25;
/** A failed request costs the caller about this many times the usual time. */
const FAILURE_COST = 6;

/**
 * Chooses the server with the shortest expected time until an answer.
 *
 * @param options - Candidates and what is known of them.
 * @returns The server, or undefined when none may get the request.
 */
export function chooseServer(options: ChoiceOptions): DiscoveredServer | undefined {
  const { loads, tried } = options;
  const open = options.candidates.filter(
    (server) => !tried.has(server.name) && loads.isReachable(server.name),
  );
  const ranked = open
    .map((server) => ({ server, cost: costOf(server, options) }))
    .sort((left, right) => left.cost - right.cost);
  return ranked.find(({ server }) => options.isAdmitted(server))?.server;
}

function costOf(server: DiscoveredServer, options: ChoiceOptions): number {
  const { loads, dataCentre, remoteCostMs, random } = options;
  const expectedMs = loads.expectedMs(server.name, server.slots);
  const failures = 1 + FAILURE_COST * loads.failureShare(server.name);
  const distanceMs = server.dataCentre === dataCentre ? 0 : remoteCostMs;
  return expectedMs * failures * (1 + SPREAD * random()) + distanceMs;
}
