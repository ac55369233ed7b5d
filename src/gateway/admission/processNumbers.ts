/** Numbers that stand for processes of servers in datagrams: name and start time would take five times the space. */
import murmurhash from "murmurhash";
import type { DiscoveredServer } from "../../discovery";
import type { Clock } from "../../types";

/** Maximum age of the table; a fraction of the time in which daemons learn of a new server. */
const MAX_TABLE_AGE_MS = 400;

/** Numbers of the processes of all known servers. */
export interface ProcessNumbers {
  /** Returns the number of a server's process. */
  get(server: DiscoveredServer): number;
  /** Returns the server with a number; undefined if none or more than one has it. */
  find(number: number): DiscoveredServer | undefined;
}

/**
 * Creates the numbers, which all daemons compute alike.
 *
 * @param listServers - Returns all known servers.
 * @param clock - Clock that the age of the table is measured by.
 * @returns The numbers.
 */
export function createProcessNumbers(
  listServers: () => readonly DiscoveredServer[],
  clock: Clock,
): ProcessNumbers {
  const numbers = new WeakMap<DiscoveredServer, number>();
  let servers = new Map<number, DiscoveredServer | undefined>();
  let createdAt = Number.NEGATIVE_INFINITY;

  return {
    get,
    find: (number) => {
      if (clock.now() - createdAt >= MAX_TABLE_AGE_MS) {
        servers = createTable();
        createdAt = clock.now();
      }
      return servers.get(number);
    },
  };

  function get(server: DiscoveredServer): number {
    const known = numbers.get(server);
    if (known !== undefined) {
      return known;
    }
    const number = murmurhash.v3(`${server.name}/${server.bornAt}`);
    numbers.set(server, number);
    return number;
  }

  function createTable(): Map<number, DiscoveredServer | undefined> {
    const table = new Map<number, DiscoveredServer | undefined>();
    for (const server of listServers()) {
      const number = get(server);
      table.set(number, table.has(number) ? undefined : server);
    }
    return table;
  }
}
