/**
 * Plans owners and leaseholders. Every write is conditional, so several daemons that plan at once do no harm.
 */
import { createAssignment, type Assignment } from "../assignments";
import type { Configuration, Service } from "../configuration";
import { PlatformUnavailableError, describeError } from "../errors";
import { Event, type Logger, createErrorReport } from "../observability";
import { type ServiceName, repeat, sleep } from "../types";
import type { AssignmentStore } from "./assignmentStore";
import { isElected, listEligibleMembers } from "./election";
import { planLeaseholders } from "./leaseholderPlan";
import { createOwnerPlanner } from "./ownerPlanner";
import type { SlotLoads } from "./placement";
import type { StatusView } from "./statusView";
import { type StopSearchOptions, createStopSearch } from "./stopFindings";

const PLAN_INTERVAL_MS = 200;
/** Additional pause after a failed round, such as when the platform gave no answer. */
const FAILURE_PAUSE_MS = 300;
const BALANCE_INTERVAL_MS = 10_000;

/** Options for {@link createPlanner}. */
export interface PlannerOptions extends StopSearchOptions {
  readonly assignments: AssignmentStore;
  readonly statuses: StatusView;
  readonly logger: Logger;
  /** Queries all leaseholders of a service for the load of their slots. */
  readonly collectLoads: (service: ServiceName) => Promise<SlotLoads>;
}

/** Plans for the services and data centres that this daemon is elected for. */
export interface Planner {
  /** Plans at regular intervals until aborted. */
  run(signal: AbortSignal): Promise<void>;
}

/**
 * Creates a planner.
 *
 * @param options - Dependencies of the planner.
 * @returns The planner.
 */
export function createPlanner(options: PlannerOptions): Planner {
  const { membership, snapshots, statuses, clock } = options;
  const search = createStopSearch(options);
  const planOwners = createOwnerPlanner({ membership, statuses, search, clock });
  const balancedAt = new Map<ServiceName, number>();
  const smoothedLoads = new Map<ServiceName, SlotLoads>();

  return {
    run: (signal) =>
      repeat(
        clock,
        PLAN_INTERVAL_MS,
        signal,
        async () => {
          try {
            await planAll();
          } catch (error) {
            const kind = error instanceof PlatformUnavailableError ? Event.PlanFailed : Event.UnexpectedError;
            options.logger.log(kind, { step: "plan", error: describeError(error) });
            await sleep(clock, FAILURE_PAUSE_MS, signal);
          }
        },
        createErrorReport(options.logger, "plan"),
      ),
  };

  async function planAll(): Promise<void> {
    const configuration = snapshots.findConfiguration()?.value.configuration;
    if (configuration === undefined) {
      return;
    }
    for (const [service, settings] of Object.entries(configuration.services)) {
      await planService(service, settings, configuration);
    }
  }

  async function planService(
    service: ServiceName,
    settings: Service,
    configuration: Configuration,
  ): Promise<void> {
    const isOwnerPlanner = isElected(membership, `owners/${service}`, listEligibleMembers(membership));
    const dataCentres = Object.keys(configuration.data_centres).filter((name) =>
      isElected(membership, `leaseholders/${service}/${name}`, listEligibleMembers(membership, name)),
    );
    if (!isOwnerPlanner && dataCentres.length === 0) {
      return;
    }
    const stopped = await search.find(service, isOwnerPlanner ? "all" : dataCentres);
    const loads = isOwnerPlanner ? await collectLoadsIfDue(service) : undefined;
    const plan = (current: Assignment | undefined): Assignment | undefined => {
      let next = current ?? createAssignment(service, settings.divided_by_key ? settings.slot_count : 0);
      if (isOwnerPlanner) {
        next = planOwners(next, configuration, stopped, loads);
      }
      for (const dataCentre of dataCentres) {
        next = planLeaseholders({ membership, snapshots }, next, configuration, dataCentre, stopped);
      }
      return next === current ? undefined : next;
    };
    await options.assignments.update(service, plan);
  }

  async function collectLoadsIfDue(service: ServiceName): Promise<SlotLoads | undefined> {
    const lastAt = balancedAt.get(service);
    if (lastAt === undefined) {
      balancedAt.set(service, clock.now());
      return undefined;
    }
    const hasMoves = (snapshots.findAssignment(service)?.value.moves.length ?? 0) > 0;
    if (hasMoves || clock.now() - lastAt < BALANCE_INTERVAL_MS) {
      return undefined;
    }
    balancedAt.set(service, clock.now());
    const loads = smooth(smoothedLoads.get(service), await options.collectLoads(service));
    smoothedLoads.set(service, loads);
    return loads;
  }
}

/** Computes a moving average of the loads: the weight of earlier loads halves with each round. */
function smooth(earlier: SlotLoads | undefined, newest: SlotLoads): SlotLoads {
  if (earlier === undefined) {
    return newest;
  }
  const slots = new Set([...earlier.keys(), ...newest.keys()]);
  return new Map([...slots].map((slot) => [slot, ((earlier.get(slot) ?? 0) + (newest.get(slot) ?? 0)) / 2]));
}
