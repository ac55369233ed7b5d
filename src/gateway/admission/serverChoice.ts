/** Chooses the backend server for a request without a key. */
import type { DiscoveredServer } from "../../discovery";
import type { DataCentreName, ServerName } from "../../types";
import type { ServerLoads } from "./serverLoads";

/** Cost of sending to another data centre, as extra time that a nearer server may take. */
export interface DistanceCosts {
  /** For short answers: the round trip. */
  readonly shortMs: number;
  /** For large answers, whose transfer between data centres is expensive. */
  readonly largeMs: number;
}

/** Options for {@link chooseServer}. */
export interface ServerChoiceOptions {
  readonly candidates: readonly DiscoveredServer[];
  readonly loads: ServerLoads;
  readonly dataCentre: DataCentreName;
  readonly remoteCostMs: number;
  /** Servers that this request has already been sent to. */
  readonly tried: ReadonlySet<ServerName>;
  /** Returns whether a server may be sent this request now. */
  readonly isAdmitted: (server: DiscoveredServer) => boolean;
  readonly random: () => number;
}

/**
 * Servers that are drawn, in proportion to their capacities, before the fastest is chosen among them. All daemons know
 * the same capacities: if each chose the fastest of all its candidates, the slower ones would stay idle.
 */
const DRAWN_SERVERS = 3;
/** Random part of the cost, so that daemons that know the same loads do not all choose the same server. */
const COST_JITTER = 0.25;
/** Cost of a failed request to its caller, as a multiple of the usual time. */
const FAILURE_COST = 6;

/**
 * Chooses the server with the shortest expected time until an answer, among a few drawn by capacity where that is known.
 *
 * @param options - Candidates, their loads and the costs of distance.
 * @returns The server, or undefined when none may be sent the request.
 */
export function chooseServer(options: ServerChoiceOptions): DiscoveredServer | undefined {
  const { loads, tried } = options;
  const available = options.candidates.filter(
    (server) => !tried.has(server.name) && loads.isReachable(server.name),
  );
  const drawn = drawByCapacity(available, options);
  const ranked =
    drawn === undefined
      ? rankByCost(available, options)
      : [
          ...rankByCost(drawn.slice(0, DRAWN_SERVERS), options),
          ...rankByCost(drawn.slice(DRAWN_SERVERS), options),
        ];
  return ranked.find((server) => options.isAdmitted(server));
}

/**
 * Orders servers at random, each draw in proportion to the capacities that all daemons have measured together; undefined
 * without such measurements.
 */
function drawByCapacity(
  servers: readonly DiscoveredServer[],
  { loads, random }: ServerChoiceOptions,
): readonly DiscoveredServer[] | undefined {
  const capacities = servers.map(({ name, slots }) => loads.findSharedCapacity(name, slots));
  const known = capacities.filter((capacity) => capacity !== undefined);
  if (known.length === 0) {
    return undefined;
  }
  const mean = known.reduce((total, capacity) => total + capacity, 0) / known.length;
  return servers
    .map((server, index) => ({ server, drawnAt: -Math.log(1 - random()) / (capacities[index] ?? mean) }))
    .sort((left, right) => left.drawnAt - right.drawnAt)
    .map(({ server }) => server);
}

function rankByCost(
  servers: readonly DiscoveredServer[],
  options: ServerChoiceOptions,
): readonly DiscoveredServer[] {
  return servers
    .map((server) => ({ server, cost: estimateCostMs(server, options) }))
    .sort((left, right) => left.cost - right.cost)
    .map(({ server }) => server);
}

function estimateCostMs(server: DiscoveredServer, options: ServerChoiceOptions): number {
  const { loads, dataCentre, remoteCostMs, random } = options;
  const expectedMs = loads.estimateLatencyMs(server.name, server.slots);
  const failureFactor = 1 + FAILURE_COST * loads.getFailureShare(server.name);
  const distanceMs = server.dataCentre === dataCentre ? 0 : remoteCostMs;
  return expectedMs * failureFactor * (1 + COST_JITTER * random()) + distanceMs;
}
