/** Reads single header fields. */
import type { IncomingHttpHeaders } from "node:http";
import type { Headers } from "../types";

/**
 * Reads a field that must stand at most once.
 *
 * @param headers - The fields.
 * @param name - Name of the field.
 * @returns Its value, or undefined.
 */
export function readHeader(headers: Headers | IncomingHttpHeaders, name: string): string | undefined {
  const value = headers[name];
  return Array.isArray(value) ? value[0] : value;
}
