/** Reads single-valued header fields. */
import type { IncomingHttpHeaders } from "node:http";
import type { Headers } from "../types";

/**
 * Reads a header field that may occur at most once; of an array of values, returns the first.
 *
 * @param headers - Header fields by lower-case name.
 * @param name - Lower-case name of the field.
 * @returns The value, or undefined when the field is absent.
 */
export function readHeader(headers: Headers | IncomingHttpHeaders, name: string): string | undefined {
  const value = headers[name];
  return Array.isArray(value) ? value[0] : value;
}
