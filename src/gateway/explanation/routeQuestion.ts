/** Reads the question about a request from the query of a URL. */
import { InputError } from "../../errors";
import type { RouteQuestion } from "./explanationTypes";

const PARAMETERS = ["host", "path", "key", "organisation"] as const;
const MAX_KEY = 65_535;

/**
 * Reads a question.
 *
 * @param query - The query, with the parameters `host`, `path` and, optionally, `key` and `organisation`.
 * @returns The question.
 * @throws InputError when a parameter is missing, unknown, repeated or invalid.
 */
export function parseRouteQuestion(query: URLSearchParams): RouteQuestion {
  for (const name of new Set(query.keys())) {
    if (!PARAMETERS.some((known) => known === name)) {
      throw createError(`unknown parameter ${quote(name)}; known are ${PARAMETERS.join(", ")}`);
    }
    if (query.getAll(name).length > 1) {
      throw createError(`parameter ${name} is given more than once`);
    }
  }
  return {
    host: parseHost(query.get("host")),
    path: parsePath(query.get("path")),
    key: parseKey(query.get("key")),
    organisation: parseOrganisation(query.get("organisation")),
  };
}

function parseHost(value: string | null): string {
  if (value === null || !/^[^\s/?#]+$/.test(value)) {
    throw createError(
      `host must be a host name without scheme or path, such as api.example; got ${quote(value)}`,
    );
  }
  return value;
}

function parsePath(value: string | null): string {
  if (value === null || !/^\/[^\s#]*$/.test(value)) {
    throw createError(`path must begin with a slash and contain no white space; got ${quote(value)}`);
  }
  return value;
}

function parseKey(value: string | null): number | undefined {
  if (value === null) {
    return undefined;
  }
  if (!/^\d{1,5}$/.test(value) || Number(value) > MAX_KEY) {
    throw createError(`key must be a whole number from 0 to ${MAX_KEY}; got ${quote(value)}`);
  }
  return Number(value);
}

function parseOrganisation(value: string | null): string | undefined {
  if (value === "") {
    throw createError("organisation must not be empty");
  }
  return value ?? undefined;
}

function quote(value: string | null): string {
  return value === null ? "none" : JSON.stringify(value);
}

function createError(message: string): Error {
  return new InputError(message, { props: { step: "read question" } });
}
