/** The configuration and the exclusions that are in force at this daemon. */
import type { PrefixListener } from "../discovery";
import { describeError } from "../errors";
import { type StoredObject, getObjectName } from "../objectStore";
import { Event, type Logger } from "../observability";
import type { DataCentreName } from "../types";
import type { ActiveConfiguration } from "./callerListener";
import { createRouteMatcher } from "./routeMatcher";
import type { RoutingConfiguration } from "./types";

/** What the state is made from. */
export interface RoutingStateOptions {
  /** Path of the one configuration object. */
  readonly configurationPath: string;
  /** Throws when the stored value cannot be read. */
  readonly decode: (value: unknown) => RoutingConfiguration;
  readonly onConfiguration: (configuration: RoutingConfiguration) => void;
  readonly onExclusions: (dataCentres: ReadonlySet<DataCentreName>) => void;
  readonly logger: Logger;
}

/** What is in force, and listeners that bring it up to date. */
export interface RoutingState {
  /** Undefined until a configuration has arrived. */
  findActive(): ActiveConfiguration | undefined;
  readonly configurations: PrefixListener;
  readonly exclusions: PrefixListener;
}

/**
 * Creates the state of a daemon that knows nothing yet.
 *
 * @param options - Decoder and what to tell of changes.
 * @returns The state.
 */
export function createRoutingState(options: RoutingStateOptions): RoutingState {
  const { logger } = options;
  let active: ActiveConfiguration | undefined;
  let excluded: ReadonlySet<DataCentreName> = new Set();

  return {
    findActive: () => active,
    configurations: { onList: updateConfiguration, onChange: updateConfiguration },
    exclusions: { onList: replaceExclusions, onChange: updateExclusions },
  };

  function updateConfiguration(changed: readonly StoredObject[]): void {
    const object = changed.find((each) => each.path === options.configurationPath);
    if (object === undefined) {
      return;
    }
    try {
      activateConfiguration(options.decode(object.value));
    } catch (error) {
      logger.log(Event.ConfigurationRefused, { version: object.version, error: describeError(error) });
    }
  }

  /** A configuration in force never gives way to an older one. */
  function activateConfiguration(configuration: RoutingConfiguration): void {
    if (active !== undefined && configuration.version <= active.configuration.version) {
      return;
    }
    active = { configuration, matcher: createRouteMatcher(configuration) };
    logger.log(Event.ConfigurationAccepted, {
      version: configuration.version,
      routes: configuration.routes.length,
    });
    options.onConfiguration(configuration);
  }

  function replaceExclusions(listed: readonly StoredObject[]): void {
    setExclusions(new Set(listed.map((object) => getObjectName(object.path))));
  }

  function updateExclusions(changed: readonly StoredObject[], removed: readonly string[]): void {
    const names = new Set(excluded);
    changed.forEach((object) => names.add(getObjectName(object.path)));
    removed.forEach((path) => names.delete(getObjectName(path)));
    setExclusions(names);
  }

  function setExclusions(names: ReadonlySet<DataCentreName>): void {
    if (names.size !== excluded.size || [...names].some((name) => !excluded.has(name))) {
      logger.log(Event.ExclusionsChanged, { dataCentres: [...names].join(" ") });
    }
    excluded = names;
    options.onExclusions(names);
  }
}
