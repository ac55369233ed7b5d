/** Reads and changes assignments. All functions are pure: a change returns a new assignment. */
import { z } from "zod";
import type { Configuration } from "../configuration";
import {
  type DaemonRun,
  type Epoch,
  type Generation,
  type ServerName,
  type ServiceName,
  type Slot,
  isSameRun,
} from "../types";
import {
  type AssignedServer,
  type Assignment,
  type Leaseholder,
  type Move,
  NO_OWNER,
  type SlotEpoch,
} from "./types";

const ASSIGNMENT_PREFIX = "assignments/";

const leaseholderSchema = z.object({
  daemon: z.string(),
  incarnation: z.number(),
  address: z.object({ host: z.string(), port: z.int() }),
});

const assignmentSchema = z
  .object({
    service: z.string(),
    servers: z.array(
      z.object({
        name: z.string(),
        dataCentre: z.string(),
        generation: z.int().min(0),
        leaseholder: leaseholderSchema.nullable(),
        predecessors: z.array(leaseholderSchema),
      }),
    ),
    owners: z.array(z.int().min(NO_OWNER)),
    epochs: z.array(z.int().min(0)),
    moves: z.array(z.object({ slot: z.int().min(0), target: z.string() })),
  })
  .refine(
    (value) => value.owners.length === value.epochs.length,
    "owners and epochs must have the same length",
  )
  .refine(
    (value) => value.owners.every((owner) => owner < value.servers.length),
    "every owner must be NO_OWNER or the index of a listed server",
  );

/**
 * Returns the path of a service's assignment in the object store.
 *
 * @param service - The service.
 * @returns The path.
 */
export function getAssignmentPath(service: ServiceName): string {
  return `${ASSIGNMENT_PREFIX}${service}`;
}

/**
 * Returns whether a path is that of an assignment.
 *
 * @param path - Path of an object.
 * @returns True for assignments.
 */
export function isAssignmentPath(path: string): boolean {
  return path.startsWith(ASSIGNMENT_PREFIX);
}

/**
 * Validates a stored assignment.
 *
 * @param value - The stored value.
 * @returns The assignment.
 * @throws ZodError when it is malformed.
 */
export function parseAssignment(value: unknown): Assignment {
  return assignmentSchema.parse(value);
}

/**
 * Finds a server of an assignment.
 *
 * @param assignment - The assignment.
 * @param name - Name of the server.
 * @returns The server, or undefined when the assignment does not list it.
 */
export function findServer(assignment: Assignment, name: ServerName): AssignedServer | undefined {
  return assignment.servers.find((server) => server.name === name);
}

/**
 * Finds the owner of a slot.
 *
 * @param assignment - The assignment.
 * @param slot - The slot.
 * @returns The owning server, or undefined when the slot has no owner.
 */
export function findOwner(assignment: Assignment, slot: Slot): AssignedServer | undefined {
  return assignment.servers[assignment.owners[slot] ?? NO_OWNER];
}

/**
 * Lists the slots that a server owns.
 *
 * @param assignment - The assignment.
 * @param name - The server.
 * @returns Its slots with their epochs.
 */
export function getOwnedSlots(assignment: Assignment, name: ServerName): readonly SlotEpoch[] {
  const cachedSlots = ownedSlotsCache.get(assignment) ?? new Map<ServerName, readonly SlotEpoch[]>();
  ownedSlotsCache.set(assignment, cachedSlots);
  const slots = cachedSlots.get(name) ?? collectSlots(assignment, name);
  cachedSlots.set(name, slots);
  return slots;
}

/**
 * Owned slots by server. They are cached because assignments never change and each exchange with a server
 * needs its slots.
 */
const ownedSlotsCache = new WeakMap<Assignment, Map<ServerName, readonly SlotEpoch[]>>();

function collectSlots(assignment: Assignment, name: ServerName): readonly SlotEpoch[] {
  // For a server that is not listed, findIndex returns -1, which equals NO_OWNER.
  const index = assignment.servers.findIndex((server) => server.name === name);
  return assignment.owners.flatMap((owner, slot) =>
    owner === index && index !== NO_OWNER ? [{ slot, epoch: getEpoch(assignment, slot) }] : [],
  );
}

/**
 * Returns the epoch of a slot.
 *
 * @param assignment - The assignment.
 * @param slot - The slot.
 * @returns Its epoch, or 0 for a slot that the assignment does not have.
 */
export function getEpoch(assignment: Assignment, slot: Slot): Epoch {
  return assignment.epochs[slot] ?? 0;
}

/**
 * Counts the slots of each server.
 *
 * @param assignment - The assignment.
 * @returns Number of slots by server name.
 */
export function countSlots(assignment: Assignment): ReadonlyMap<ServerName, number> {
  const counts = assignment.servers.map(() => 0);
  for (const owner of assignment.owners) {
    if (owner !== NO_OWNER) {
      counts[owner] = (counts[owner] ?? 0) + 1;
    }
  }
  return new Map(assignment.servers.map((server, index) => [server.name, counts[index] ?? 0]));
}

/**
 * Creates the first assignment of a service: no slot has an owner.
 *
 * @param service - The service.
 * @param slotCount - Number of slots; 0 for services without keys.
 * @returns The assignment.
 */
export function createAssignment(service: ServiceName, slotCount: number): Assignment {
  return {
    service,
    servers: [],
    owners: new Array<number>(slotCount).fill(NO_OWNER),
    epochs: new Array<number>(slotCount).fill(0),
    moves: [],
  };
}

/**
 * Adds servers that are new in the configuration to an assignment, and removes those that are gone from it.
 * A removed server stays listed while it owns slots.
 *
 * @param assignment - The assignment.
 * @param configuration - The configuration.
 * @returns The changed assignment, or the same object when nothing differs.
 */
export function syncServers(assignment: Assignment, configuration: Configuration): Assignment {
  const configured = Object.entries(configuration.servers).filter(
    ([, server]) => server.service === assignment.service,
  );
  const added = configured
    .filter(([name]) => findServer(assignment, name) === undefined)
    .map(([name, server]): AssignedServer => {
      return { name, dataCentre: server.data_centre, generation: 0, leaseholder: null, predecessors: [] };
    });
  const counts = countSlots(assignment);
  const removed = assignment.servers
    .filter((server) => configuration.servers[server.name]?.service !== assignment.service)
    .filter((server) => (counts.get(server.name) ?? 0) === 0)
    .map((server) => server.name);
  if (added.length === 0 && removed.length === 0) {
    return assignment;
  }
  return removeServers({ ...assignment, servers: [...assignment.servers, ...added] }, removed);
}

function removeServers(assignment: Assignment, removed: readonly ServerName[]): Assignment {
  const servers = assignment.servers.filter((server) => !removed.includes(server.name));
  const newIndexes = assignment.servers.map((server) => servers.indexOf(server));
  return {
    ...assignment,
    servers,
    owners: assignment.owners.map((owner) => newIndexes[owner] ?? NO_OWNER),
    moves: assignment.moves.filter((move) => !removed.includes(move.target)),
  };
}

/**
 * Sets the leaseholder of a server under a new generation. The former one becomes a predecessor.
 *
 * @param assignment - The assignment.
 * @param name - The server.
 * @param leaseholder - The new leaseholder, or null for none.
 * @returns The changed assignment.
 */
export function setLeaseholder(
  assignment: Assignment,
  name: ServerName,
  leaseholder: Leaseholder | null,
): Assignment {
  return {
    ...assignment,
    servers: assignment.servers.map((server) =>
      server.name === name ? replaceLeaseholder(server, leaseholder) : server,
    ),
  };
}

function replaceLeaseholder(server: AssignedServer, leaseholder: Leaseholder | null): AssignedServer {
  const former = server.leaseholder === null ? [] : [server.leaseholder];
  return {
    ...server,
    generation: server.generation + 1,
    leaseholder,
    predecessors: [...server.predecessors, ...former],
  };
}

/**
 * Removes the earlier leaseholders of a server. Call this only when the server refuses their calls or they
 * have provably stopped.
 *
 * @param assignment - The assignment.
 * @param name - The server.
 * @returns The changed assignment.
 */
export function clearPredecessors(assignment: Assignment, name: ServerName): Assignment {
  return {
    ...assignment,
    servers: assignment.servers.map((server) =>
      server.name === name ? { ...server, predecessors: [] } : server,
    ),
  };
}

/**
 * Assigns slots to new owners. Call this only with proof that the old owners have stopped work on them.
 *
 * @param assignment - The assignment.
 * @param moves - Slots and their new owners.
 * @returns The changed assignment; each moved slot has a higher epoch and no planned move. Moves to servers
 *   that are not listed are ignored.
 */
export function commitMoves(assignment: Assignment, moves: readonly Move[]): Assignment {
  const owners = [...assignment.owners];
  const epochs = [...assignment.epochs];
  const moved = new Set<Slot>();
  for (const { slot, target } of moves) {
    const index = assignment.servers.findIndex((server) => server.name === target);
    if (index === -1) {
      continue;
    }
    owners[slot] = index;
    epochs[slot] = getEpoch(assignment, slot) + 1;
    moved.add(slot);
  }
  return { ...assignment, owners, epochs, moves: assignment.moves.filter((move) => !moved.has(move.slot)) };
}

/**
 * Returns whether a daemon run holds the lease of a server under a generation.
 *
 * @param assignment - The assignment.
 * @param name - The server.
 * @param generation - The generation.
 * @param run - The daemon run.
 * @returns True when the assignment lists the run as leaseholder under that generation.
 */
export function holdsLease(
  assignment: Assignment,
  name: ServerName,
  generation: Generation,
  run: DaemonRun,
): boolean {
  const server = findServer(assignment, name);
  return (
    server?.generation === generation && server.leaseholder !== null && isSameRun(server.leaseholder, run)
  );
}
