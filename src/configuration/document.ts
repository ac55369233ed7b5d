/** The configuration as it is stored in the object API. */
import { z } from "zod";
import { checkValue } from "../settings";
import { type Configuration, configurationSchema } from "./schema";

/** Path of the configuration in the object API. */
export const CONFIGURATION_PATH = "configuration/current";

/**
 * The stored form keeps the operator's source values, so that schema defaults of a newer
 * release apply on reading and a plan compares what operators wrote.
 */
const documentSchema = z.strictObject({
  number: z.int().min(1),
  author: z.string(),
  source: z.unknown(),
});

/** One accepted configuration. */
export interface ConfigurationDocument {
  /** Counts accepted configurations from 1. */
  readonly number: number;
  /** Who applied it. */
  readonly author: string;
  readonly configuration: Configuration;
  /** The values as the operator wrote them. */
  readonly source: unknown;
}

/**
 * Checks a stored configuration.
 *
 * @param value - The stored value.
 * @returns The document.
 * @throws InputError when any part is invalid; the whole document is refused then.
 */
export function parseConfigurationDocument(value: unknown): ConfigurationDocument {
  const stored = checkValue("stored configuration", value, documentSchema);
  const configuration = checkValue("stored configuration", stored.source, configurationSchema);
  return { number: stored.number, author: stored.author, configuration, source: stored.source };
}
