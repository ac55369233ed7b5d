/** Reads a caller's HTTP request: service, key, deadline and body. */
import type { IncomingMessage } from "node:http";
import type { Configuration, Service } from "../configuration";
import { type Body, type Clock, RefusalReason, emptyBody } from "../types";
import { HeaderName, readHeader, selectForwardedHeaders } from "./headers";
import type { CallerRequest } from "./router";

/** Bodies up to this size are buffered in memory so that the request can be retried; others are streamed. */
const MAX_BUFFERED_BODY_BYTES = 256 * 1024;
const MAX_KEY_LENGTH = 1024;
const MAX_TIMEOUT_MS = 600_000;

/** A parsed request, or why it is refused. */
export type RequestReadResult =
  | { readonly kind: "read"; readonly request: CallerRequest }
  | { readonly kind: "refused"; readonly reason: RefusalReason; readonly detail: string };

interface NamedService {
  readonly name: string;
  readonly settings: Service;
  /** Path and query, without the path segment that named the service. */
  readonly target: string;
}

/**
 * Reads service, key, deadline and header fields of a request.
 *
 * @param message - The HTTP request.
 * @param configuration - The configuration in force.
 * @param clock - Clock from which the deadline is computed.
 * @returns The parsed request, or the refusal.
 */
export function readCallerRequest(
  message: IncomingMessage,
  configuration: Configuration,
  clock: Clock,
): RequestReadResult {
  const service = findService(message, configuration);
  if (service === undefined) {
    return refuse(RefusalReason.UnknownService, "no service has this host or first path part");
  }
  const key = service.settings.divided_by_key ? findKey(message, service) : undefined;
  if (service.settings.divided_by_key && (key === undefined || key === "")) {
    const where = `${service.settings.key_from} ${service.settings.key_from === "path" ? "" : service.settings.key_name}`;
    return refuse(RefusalReason.MissingKey, `the service needs a key in the ${where.trim()}`);
  }
  if (key !== undefined && key.length > MAX_KEY_LENGTH) {
    return refuse(RefusalReason.InvalidRequest, `the key is longer than ${MAX_KEY_LENGTH} characters`);
  }
  const timeoutMs = readTimeout(message, service.settings);
  if (timeoutMs === undefined) {
    return refuse(
      RefusalReason.InvalidRequest,
      `${HeaderName.Timeout} must be a whole number from 1 to ${MAX_TIMEOUT_MS}`,
    );
  }
  const method = message.method ?? "GET";
  return {
    kind: "read",
    request: {
      service: service.name,
      settings: service.settings,
      key,
      method,
      target: service.target,
      headers: selectForwardedHeaders(message.headers),
      isIdempotent: service.settings.idempotent_methods.includes(method),
      idempotencyKey: readHeader(message.headers, HeaderName.IdempotencyKey) ?? null,
      deadlineAt: clock.now() + timeoutMs,
    },
  };
}

/**
 * Reads the body of a request: buffered up to {@link MAX_BUFFERED_BODY_BYTES}, as a stream if longer or
 * chunked.
 *
 * @param message - The HTTP request.
 * @returns The body, or undefined when the caller's connection broke before the body was complete.
 */
export async function readCallerBody(message: IncomingMessage): Promise<Body | undefined> {
  const length = readHeader(message.headers, "content-length");
  const isChunked = message.headers["transfer-encoding"] !== undefined;
  if (!isChunked && (length === undefined || length === "0")) {
    return emptyBody;
  }
  if (isChunked || Number(length) > MAX_BUFFERED_BODY_BYTES) {
    return { kind: "stream", stream: message };
  }
  const chunks: Uint8Array[] = [];
  try {
    for await (const chunk of message as AsyncIterable<Uint8Array>) {
      chunks.push(chunk);
    }
  } catch {
    return undefined;
  }
  return { kind: "buffer", content: Buffer.concat(chunks) };
}

function findService(message: IncomingMessage, configuration: Configuration): NamedService | undefined {
  const host = (message.headers.host ?? "").replace(/:\d+$/, "");
  const url = message.url ?? "/";
  const byHost = Object.entries(configuration.services).find(([, settings]) => settings.host === host);
  if (byHost !== undefined) {
    return { name: byHost[0], settings: byHost[1], target: url };
  }
  const match = /^\/([^/?]*)(.*)$/.exec(url);
  const name = match?.[1] ?? "";
  const settings = Object.hasOwn(configuration.services, name) ? configuration.services[name] : undefined;
  if (settings === undefined) {
    return undefined;
  }
  const rest = match?.[2] ?? "";
  return { name, settings, target: rest.startsWith("/") ? rest : `/${rest}` };
}

function findKey(message: IncomingMessage, service: NamedService): string | undefined {
  const { key_from: from, key_name: name } = service.settings;
  switch (from) {
    case "header":
      return readHeader(message.headers, name.toLowerCase());
    case "query":
      return new URLSearchParams(service.target.split("?")[1] ?? "").get(name) ?? undefined;
    case "path":
      return decode(/^\/([^/?]*)/.exec(service.target)?.[1] ?? "");
    default:
      return from satisfies never;
  }
}

function decode(part: string): string | undefined {
  try {
    return decodeURIComponent(part);
  } catch {
    return undefined;
  }
}

function readTimeout(message: IncomingMessage, settings: Service): number | undefined {
  const text = readHeader(message.headers, HeaderName.Timeout);
  if (text === undefined) {
    return settings.request_timeout;
  }
  const value = Number(text);
  return Number.isInteger(value) && value >= 1 && value <= MAX_TIMEOUT_MS ? value : undefined;
}

function refuse(reason: RefusalReason, detail: string): RequestReadResult {
  return { kind: "refused", reason, detail };
}
