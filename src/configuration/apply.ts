/** Changes the configuration in the object store by a conditional write from the version it is based on. */
import { InputError } from "../errors";
import { CallPriority, type ObjectStore, decodeStoredObject, updateObject } from "../objectStore";
import { checkValue } from "../settings";
import type { Version } from "../types";
import { CONFIGURATION_PATH, type ConfigurationDocument, parseConfigurationDocument } from "./document";
import { configurationSchema } from "./schema";

const HISTORY_PREFIX = "history/configuration/";

/** A stored configuration with its version. */
export interface StoredConfiguration {
  readonly version: Version;
  readonly document: ConfigurationDocument;
}

/** Result of {@link applyConfiguration}. */
export type ApplyResult =
  | { readonly kind: "applied"; readonly version: Version; readonly number: number }
  | { readonly kind: "unchanged"; readonly version: Version }
  /** The configuration has changed since the base version; nothing was written. */
  | { readonly kind: "stale"; readonly current: StoredConfiguration };

/** A change to apply. */
export interface ConfigurationChange {
  /** The whole configuration as the operator wrote it. */
  readonly source: unknown;
  /** Version that the change is based on; 0 for the first configuration. */
  readonly base: Version;
  /** Name of the operator who applies it. */
  readonly author: string;
}

/**
 * Reads the current configuration from the object store.
 *
 * @param store - The object store.
 * @returns The configuration, or undefined before the first apply.
 * @throws PlatformUnavailableError when the platform does not answer.
 */
export async function readConfiguration(store: ObjectStore): Promise<StoredConfiguration | undefined> {
  const stored = await store.read(CONFIGURATION_PATH, CallPriority.Configuration);
  return stored === undefined ? undefined : decodeConfiguration(stored);
}

function decodeConfiguration(stored: {
  version: Version;
  path: string;
  value: unknown;
}): StoredConfiguration {
  const { version, value } = decodeStoredObject(stored);
  return { version, document: parseConfigurationDocument(value) };
}

/**
 * Applies a configuration, provided that the stored one has not changed since the base version.
 *
 * @param store - The object store.
 * @param change - The change.
 * @returns Whether the change was applied, changes nothing, or has a base version that is no longer current.
 * @throws InputError when the configuration is invalid, or none is applied yet and `base` is not 0; nothing
 *   is written then.
 * @throws PlatformUnavailableError when the platform does not answer; the change may have taken effect.
 */
export async function applyConfiguration(
  store: ObjectStore,
  change: ConfigurationChange,
): Promise<ApplyResult> {
  const checked = checkValue("configuration", change.source, configurationSchema);
  let stale: StoredConfiguration | undefined;
  let number = 0;
  const result = await updateObject(store, CONFIGURATION_PATH, CallPriority.Configuration, (current) => {
    const document = current === undefined ? undefined : parseConfigurationDocument(current.value);
    if ((current?.version ?? 0) !== change.base) {
      stale =
        current === undefined || document === undefined ? undefined : { version: current.version, document };
      return undefined;
    }
    if (document !== undefined) {
      requireUnchangedSlots(document, checked);
      if (JSON.stringify(document.source) === JSON.stringify(change.source)) {
        return undefined;
      }
    }
    number = (document?.number ?? 0) + 1;
    return { number, author: change.author, source: change.source };
  });
  if (result.kind === "updated") {
    await recordInHistory(store, number, result.value);
    return { kind: "applied", version: result.version, number };
  }
  if (stale !== undefined) {
    return { kind: "stale", current: stale };
  }
  if (result.current === undefined) {
    throw new InputError(
      `cannot apply configuration from base ${change.base}: no configuration is applied yet; use base 0`,
      {
        props: { step: "apply configuration" },
      },
    );
  }
  return { kind: "unchanged", version: result.current.version };
}

/**
 * Throws when `slot_count` or `divided_by_key` of a service changes: its keys would get new owners without
 * proof that the old ones have stopped.
 */
function requireUnchangedSlots(
  current: ConfigurationDocument,
  next: ConfigurationDocument["configuration"],
): void {
  for (const [name, service] of Object.entries(next.services)) {
    const currentService = current.configuration.services[name];
    const isUnchanged =
      currentService?.slot_count === service.slot_count &&
      currentService.divided_by_key === service.divided_by_key;
    if (currentService !== undefined && !isUnchanged) {
      throw new InputError(
        `invalid configuration: services.${name}: slot_count and divided_by_key cannot change; create a new service`,
        { props: { step: "check configuration" } },
      );
    }
  }
}

async function recordInHistory(store: ObjectStore, number: number, value: unknown): Promise<void> {
  const path = `${HISTORY_PREFIX}${String(number).padStart(8, "0")}`;
  await updateObject(store, path, CallPriority.Status, (current) =>
    current === undefined ? value : undefined,
  );
}

/**
 * Lists all configurations that were applied.
 *
 * @param store - The object store.
 * @returns The documents, oldest first.
 * @throws PlatformUnavailableError when the platform does not answer.
 */
export async function listHistory(store: ObjectStore): Promise<readonly ConfigurationDocument[]> {
  const { objects } = await store.list(HISTORY_PREFIX, CallPriority.Status);
  return objects
    .map((stored) => decodeConfiguration(stored).document)
    .sort((left, right) => left.number - right.number);
}
