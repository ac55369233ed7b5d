/** The configuration and the exclusions in force at this daemon. */
import type { PrefixListener } from "../discovery";
import { describeError } from "../errors";
import { type StoredObject, getObjectName } from "../objectStore";
import { Event, type Logger } from "../observability";
import type { DataCentreName } from "../types";
import { type ActiveConfiguration, createRouteMatcher } from "./routeMatcher";
import type { RoutingConfiguration } from "./types";

/** Options for {@link createRoutingState}. */
export interface RoutingStateOptions {
  /** Full path of the configuration object. */
  readonly configurationPath: string;
  /** Decodes a stored configuration; throws when it cannot be read. */
  readonly decode: (value: unknown) => RoutingConfiguration;
  readonly onConfiguration: (configuration: RoutingConfiguration) => void;
  readonly onExclusions: (dataCentres: ReadonlySet<DataCentreName>) => void;
  /** Uniform random numbers in [0, 1). */
  readonly random: () => number;
  readonly logger: Logger;
}

/** The configuration and the exclusions in force, and the listeners that update them. */
export interface RoutingState {
  /** Returns the configuration in force; undefined until one has arrived. */
  findActive(): ActiveConfiguration | undefined;
  readonly configurations: PrefixListener;
  readonly exclusions: PrefixListener;
}

/**
 * Creates an empty state.
 *
 * @param options - Decoder, and callbacks for changes.
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

  /** Puts a configuration in force, unless the one in force is newer or the same. */
  function activateConfiguration(configuration: RoutingConfiguration): void {
    if (active !== undefined && configuration.version <= active.configuration.version) {
      return;
    }
    active = { configuration, matcher: createRouteMatcher(configuration, options.random) };
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
