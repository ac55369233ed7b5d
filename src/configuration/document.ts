/** The configuration as it is stored in the object store. */
import { z } from "zod";
import { checkValue } from "../settings";
import { type Configuration, configurationSchema } from "./schema";

/** Path of the configuration in the object store. */
export const CONFIGURATION_PATH = "configuration/current";

/**
 * Stored form. It keeps the values as the operator wrote them, so that the schema defaults of a newer release
 * apply on reading, and a plan compares what operators wrote.
 */
const documentSchema = z.strictObject({
  number: z.int().min(1),
  author: z.string(),
  source: z.unknown(),
});

/** A configuration that was applied. */
export interface ConfigurationDocument {
  /** Sequence number of applied configurations, from 1. */
  readonly number: number;
  /** Name of the operator who applied it. */
  readonly author: string;
  readonly configuration: Configuration;
  /** The values as the operator wrote them. */
  readonly source: unknown;
}

/**
 * Validates a stored configuration.
 *
 * @param value - The stored value.
 * @returns The document.
 * @throws InputError when any part is invalid.
 */
export function parseConfigurationDocument(value: unknown): ConfigurationDocument {
  const stored = checkValue("stored configuration", value, documentSchema);
  const configuration = checkValue("stored configuration", stored.source, configurationSchema);
  return { number: stored.number, author: stored.author, configuration, source: stored.source };
}
