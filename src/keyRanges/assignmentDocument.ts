/** Schema and paths of the key assignments in the object store. */
import { z } from "zod";
import type { ServiceName } from "../types";
import { KEY_COUNT, type RangeAssignment } from "./types";

/** Path prefix of the key assignments in the object store. */
export const ASSIGNMENT_PREFIX = "keyassignments/";

/** Schema of a stored owned range. */
export const ownedRangeSchema = z
  .object({
    from: z.int().min(0),
    to: z
      .int()
      .min(0)
      .max(KEY_COUNT - 1),
    server: z.string().min(1),
    bornAt: z.int(),
    token: z.int().positive(),
  })
  .refine((range) => range.from <= range.to, "from must not be greater than to");

const assignmentSchema = z.object({
  service: z.string().min(1),
  /** Assignments of daemons that did not know timelines count as copies, which is safe. */
  timeline: z.int().nonnegative().default(0),
  isProvisional: z.boolean().default(false),
  nextToken: z.int().positive(),
  ranges: z.array(ownedRangeSchema),
});

/**
 * Returns the path of a service's assignment in the object store.
 *
 * @param service - Service that the keys belong to.
 * @returns Path of the assignment object.
 */
export function getAssignmentPath(service: ServiceName): string {
  return `${ASSIGNMENT_PREFIX}${service}`;
}

/**
 * Parses a stored assignment and checks it against the schema.
 *
 * @param value - Value of the stored object.
 * @returns The parsed assignment.
 * @throws ZodError if the value does not match the schema.
 */
export function parseRangeAssignment(value: unknown): RangeAssignment {
  return assignmentSchema.parse(value);
}
