/** Stored form of key assignments. */
import { z } from "zod";
import type { ServiceName } from "../types";
import { KEY_COUNT, type RangeAssignment } from "./types";

/** Prefix of the assignments in the object API. */
export const ASSIGNMENT_PREFIX = "keyassignments/";

/** Stored form of an owned range. */
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
  .refine((range) => range.from <= range.to, "from must not be above to");

const assignmentSchema = z.object({
  service: z.string().min(1),
  nextToken: z.int().positive(),
  ranges: z.array(ownedRangeSchema),
});

/**
 * Gives the path of a service's assignment.
 *
 * @param service - The service.
 * @returns The path.
 */
export function getAssignmentPath(service: ServiceName): string {
  return `${ASSIGNMENT_PREFIX}${service}`;
}

/**
 * Checks a stored assignment.
 *
 * @param value - The stored value.
 * @returns The assignment.
 * @throws ZodError when it cannot be read.
 */
export function parseRangeAssignment(value: unknown): RangeAssignment {
  return assignmentSchema.parse(value);
}
