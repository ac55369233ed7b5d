/** Wires the watchers of configuration, backend servers and exclusions, and the distribution of their changes. */
import {
  type ChangeFeed,
  type ChangeFeedOptions,
  type ExclusionExchange,
  type PrefixListener,
  type PrefixWatcher,
  type ServerDirectory,
  createChangeFeed,
  createExclusionExchange,
  createPrefixWatcher,
} from "../discovery";
import type { ObjectStore } from "../objectStore";
import type { GatewayPaths } from "./gatewayOptions";
import type { RoutingState } from "./routingState";

/**
 * Pause that gathers changes of servers; a fraction of the two seconds within which
 * a leaving server must get no new requests.
 */
const SERVER_BATCH_PAUSE_MS = 500;
/**
 * Pause that gathers changes of the configuration; a fraction of the two seconds
 * within which it must be in force.
 */
const CONFIGURATION_BATCH_PAUSE_MS = 250;
/**
 * Maximum wait of the coordinator's watch of the exclusions: with the time in which daemons notice a difference,
 * a fraction of the five seconds within which an exclusion must be in force.
 */
const EXCLUSION_WATCH_WAIT_MS = 2000;

/** Options for {@link createStateWatchers}. */
export interface StateWatchersOptions extends ChangeFeedOptions {
  readonly objects: ObjectStore;
  readonly paths: GatewayPaths;
  readonly routing: RoutingState;
  readonly directory: ServerDirectory;
}

/** The watchers of one daemon. */
export interface StateWatchers {
  readonly watchers: readonly PrefixWatcher[];
  readonly exclusions: ExclusionExchange;
  readonly distribution: ChangeFeed;
}

/**
 * Creates the watchers; they make no calls until they are run.
 *
 * @param options - Object store, paths, and what receives the state.
 * @returns The watchers, and what the freshness check needs of them.
 */
export function createStateWatchers(options: StateWatchersOptions): StateWatchers {
  const { objects, paths, routing, directory, clock, logger, random } = options;
  const distribution = createChangeFeed(options);
  const exclusionWatcher = createWatcher(
    paths.exclusions,
    CONFIGURATION_BATCH_PAUSE_MS,
    routing.exclusions,
    EXCLUSION_WATCH_WAIT_MS,
  );
  const exclusions = createExclusionExchange({
    getListedVersion: () => exclusionWatcher.getVersion(),
    apply: (dataCentres) => {
      directory.setExcluded(dataCentres);
    },
    logger,
  });
  const watchers = [
    createWatcher(paths.configuration, CONFIGURATION_BATCH_PAUSE_MS, routing.configurations),
    createWatcher(paths.servers, SERVER_BATCH_PAUSE_MS, {
      onList: (listed) => {
        directory.replaceAll(listed);
      },
      onChange: (changed, removed) => {
        directory.applyChanges(changed, removed);
      },
      onStoreRecovered: () => {
        directory.recordStoreRecovery();
      },
    }),
    exclusionWatcher,
  ];
  return { watchers, exclusions, distribution };

  function createWatcher(
    prefix: string,
    pauseMs: number,
    listener: PrefixListener,
    referenceWaitMs?: number,
  ): PrefixWatcher {
    return createPrefixWatcher({
      objects,
      prefix,
      pauseMs,
      isFreshnessChecked: options.isInContact,
      isReference: options.isCoordinator,
      referenceWaitMs,
      follower: distribution.createFollower(prefix),
      clock,
      logger,
      random,
      ...listener,
    });
  }
}
