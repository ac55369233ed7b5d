/** Selects the backend server of a request: among a service's servers by load, or the owner of its key. */
import type { DiscoveredServer, ServerDirectory } from "../../discovery";
import type { Clock, DataCentreName, ServerName, ServiceName } from "../../types";
import { RejectionReason } from "../attemptTypes";
import type { RequestTraits } from "../dispatchTypes";
import { RouteKind } from "../types";
import { joinObstacles } from "./retryTimes";
import type { Obstacle, ServerAdmission } from "./serverAdmission";
import { type DistanceCosts, chooseServer } from "./serverChoice";
import type { ServerLoads } from "./serverLoads";
import type { ServerSubsets } from "./serverSubset";

/** Share of a request's objective that it may wait in the queue of a server of the subset. */
const MAX_SUBSET_WAIT_SHARE = 0.15;

/** The selected server, or why there is none. */
export type Selection =
  { readonly kind: "server"; readonly server: DiscoveredServer } | ({ readonly kind: "none" } & Obstacle);

/** Options for {@link createServerSelection}. */
export interface ServerSelectionOptions {
  readonly directory: Pick<ServerDirectory, "getUsable" | "get">;
  readonly owners: { findOwner(service: ServiceName, key: number): ServerName | undefined };
  readonly admission: Pick<ServerAdmission, "mayServeKeys">;
  readonly loads: ServerLoads;
  readonly subsets: ServerSubsets;
  readonly dataCentre: DataCentreName;
  readonly distance: DistanceCosts;
  readonly clock: Clock;
}

/** What one selection depends on beside the request. */
export interface SelectionInputs {
  /** Servers that this request has already been sent to. */
  readonly tried: ReadonlySet<ServerName>;
  /** Returns why the request must not be sent to a server; called in the order in which servers are preferred. */
  readonly findObstacle: (server: DiscoveredServer) => Obstacle | undefined;
  readonly random: () => number;
}

/** Selection of backend servers. It has no effects beside those of the callbacks that it is given. */
export interface ServerSelection {
  /** Selects a server of this daemon's subset that would answer soon; otherwise the best one of all. */
  selectByLoad(request: RequestTraits, inputs: SelectionInputs): Selection;
  /** Returns the servers of this daemon's subset that would answer soon; none when it has no subset. */
  listPreferred(request: RequestTraits): readonly DiscoveredServer[];
  /** Returns the owner of a key, if it may serve keys; undefined otherwise. */
  findUsableOwner(service: ServiceName, key: number): DiscoveredServer | undefined;
}

/**
 * Creates the selection.
 *
 * @param options - Views of servers and key owners, and costs of distance.
 * @returns The selection.
 */
export function createServerSelection(options: ServerSelectionOptions): ServerSelection {
  const { directory, loads, clock } = options;

  return {
    selectByLoad: (request, inputs) => {
      const selection = selectAmong(listPreferred(request), request, inputs);
      return selection.kind === "server"
        ? selection
        : selectAmong(directory.getUsable(request.service.name), request, inputs);
    },
    listPreferred,
    findUsableOwner: (service, key) => {
      const name = options.owners.findOwner(service, key);
      const server = name === undefined ? undefined : directory.get(name);
      return server !== undefined && options.admission.mayServeKeys(server) ? server : undefined;
    },
  };

  function listPreferred({ service, route, deadlineAt }: RequestTraits): readonly DiscoveredServer[] {
    const servers = directory.getUsable(service.name);
    const subset = options.subsets.choose(service.name, servers);
    const objectiveMs = route.objectiveMs ?? deadlineAt - clock.now();
    const isPrompt = ({ name, slots }: DiscoveredServer) =>
      loads.estimateLatencyMs(name, slots) - loads.getProcessingMs(name) <=
      objectiveMs * MAX_SUBSET_WAIT_SHARE;
    return subset === servers ? [] : subset.filter(isPrompt);
  }

  function selectAmong(
    candidates: readonly DiscoveredServer[],
    request: RequestTraits,
    { tried, findObstacle, random }: SelectionInputs,
  ): Selection {
    let refusal: Obstacle = {
      reason: candidates.length === 0 ? RejectionReason.NoServer : RejectionReason.Unreachable,
      waitMs: 0,
    };
    const { shortMs, largeMs } = options.distance;
    const server = chooseServer({
      candidates,
      loads,
      dataCentre: options.dataCentre,
      remoteCostMs: request.route.kind === RouteKind.Download ? largeMs : shortMs,
      tried,
      random,
      isAdmitted: (candidate) => {
        const obstacle = findObstacle(candidate);
        refusal = joinObstacles(refusal, obstacle);
        return obstacle === undefined;
      },
    });
    return server === undefined ? { kind: "none", ...refusal } : { kind: "server", server };
  }
}
