/** Changes the configuration in the object API: only from the version that the change was made for. */
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

/** Result of an apply. */
export type ApplyResult =
  | { readonly kind: "applied"; readonly version: Version; readonly number: number }
  | { readonly kind: "unchanged"; readonly version: Version }
  /** Somebody else changed the configuration first; nothing was written. */
  | { readonly kind: "stale"; readonly current: StoredConfiguration };

/** A change to apply. */
export interface ConfigurationChange {
  /** The whole configuration as the operator wrote it. */
  readonly source: unknown;
  /** Version that the change was made for; 0 for the first configuration. */
  readonly base: Version;
  /** Who applies it. */
  readonly author: string;
}

/**
 * Reads the configuration in the object API.
 *
 * @param store - The object API.
 * @returns The configuration, or undefined before the first apply.
 * @throws PlatformUnavailableError when the platform gives no answer.
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
 * Applies a configuration when nobody changed it since `base`.
 *
 * @param store - The object API.
 * @param change - The change.
 * @returns What happened.
 * @throws InputError when the configuration is invalid; nothing is written then.
 * @throws PlatformUnavailableError when the platform gave no answer; the change may have taken effect.
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
      `apply configuration: there is no version ${change.base}; nothing is applied yet, use base 0`,
      {
        props: { step: "apply configuration" },
      },
    );
  }
  return { kind: "unchanged", version: result.current.version };
}

/** Keys would change owners without proof that the old ones have stopped. */
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
        `check configuration: services.${name}: slot_count and divided_by_key cannot change; make a new service`,
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
 * Lists the accepted configurations.
 *
 * @param store - The object API.
 * @returns The documents, oldest first.
 * @throws PlatformUnavailableError when the platform gives no answer.
 */
export async function listHistory(store: ObjectStore): Promise<readonly ConfigurationDocument[]> {
  const { objects } = await store.list(HISTORY_PREFIX, CallPriority.Status);
  return objects
    .map((stored) => decodeConfiguration(stored).document)
    .sort((left, right) => left.number - right.number);
}
