/** Selects the header fields to forward, for requests and for answers. */
import type { OutgoingHttpHeaders } from "node:http";
import { hopByHopHeaders } from "../../http";

/**
 * Selects the header fields to forward, without hop-by-hop fields. Repeated fields stay repeated, in order.
 *
 * @param rawHeaders - Alternating names and values, as received.
 * @param excluded - Further names to leave out, in lower case.
 * @returns The fields by lower-case name.
 */
export function selectForwardedHeaders(
  rawHeaders: readonly string[],
  excluded: ReadonlySet<string>,
): OutgoingHttpHeaders {
  const connectionNames = listConnectionNames(rawHeaders);
  const selected: Record<string, string | string[]> = {};
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    const name = (rawHeaders[index] ?? "").toLowerCase();
    const value = rawHeaders[index + 1] ?? "";
    if (hopByHopHeaders.has(name) || excluded.has(name) || connectionNames.has(name)) {
      continue;
    }
    const known = selected[name];
    selected[name] = known === undefined ? value : [...(Array.isArray(known) ? known : [known]), value];
  }
  return selected;
}

/** Lists the names that a `Connection` field declares as hop-by-hop, in lower case. */
function listConnectionNames(rawHeaders: readonly string[]): ReadonlySet<string> {
  const names = new Set<string>();
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    if (rawHeaders[index]?.toLowerCase() === "connection") {
      const parts = (rawHeaders[index + 1] ?? "").split(",");
      parts.forEach((part) => names.add(part.trim().toLowerCase()));
    }
  }
  return names;
}
