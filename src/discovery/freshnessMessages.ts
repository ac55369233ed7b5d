/** Messages by which daemons compare their state with the coordinator's. */
import { z } from "zod";
import { addressSchema } from "../membership";

/** Kinds of the messages. */
export const MessageKind = {
  State: "state",
  Reply: "stateReply",
  CoordinatorQuestion: "coordinatorQuestion",
  CoordinatorAnswer: "coordinatorAnswer",
} as const;

/** Digest of the state of each prefix. */
const digestsSchema = z.record(z.string(), z.number());
const rateLimitsSchema = z.array(
  z.object({
    server: z.string(),
    bornAt: z.int(),
    requestsPerSecond: z.number().nonnegative().nullable(),
    ageMs: z.number().nonnegative(),
  }),
);
const departuresSchema = z.array(
  z.object({ server: z.string(), bornAt: z.int(), ageMs: z.number().nonnegative() }),
);
const ownerSharesSchema = z.array(z.object({ server: z.string(), share: z.number().min(0).max(1) }));
/** Far longer than servers stay cold, in milliseconds; a message with a longer time is invalid. */
export const MAX_COLDNESS_MS = 86_400_000;
const durationsSchema = z.record(z.string(), z.number().min(0).max(MAX_COLDNESS_MS));
const coldnessSchema = z
  .object({ servers: durationsSchema, returned: durationsSchema })
  .default({ servers: {}, returned: {} });
const exclusionsSchema = z
  .object({ version: z.int().positive(), dataCentres: z.array(z.string()) })
  .nullable()
  .default(null);

/** State of a daemon, for the coordinator. */
export const stateSchema = z.object({
  daemon: z.string(),
  address: addressSchema,
  /** Processor capacity of the daemon's VM, in cores. */
  processors: z.number().positive(),
  /** Time on the daemon's own clock, in milliseconds; daemons of earlier versions send none. */
  sentAt: z.number().nullable().default(null),
  digests: digestsSchema,
  /** Rate limits of backend servers; daemons of earlier versions send none. */
  rateLimits: rateLimitsSchema.default([]),
  /** Backend servers that are leaving; daemons of earlier versions send none. */
  departures: departuresSchema.default([]),
  /** Data centres out of service; null when none are known. Daemons of earlier versions send none. */
  exclusions: exclusionsSchema,
  /** Cold backend servers; daemons of earlier versions send none. */
  coldness: coldnessSchema,
});
/** Reply of the coordinator. */
export const replySchema = z.object({
  digests: digestsSchema,
  /** Versions up to which the coordinator knows the changes; daemons of earlier versions send none. */
  versions: z.record(z.string(), z.number()).default({}),
  /** Version of the coordinator's lease, which the coordinator holds when it sends the reply. */
  leaseVersion: z.int(),
  /** Number of daemons; null until the coordinator has heard from all of them. */
  daemons: z.int().positive().nullable(),
  /** Processor capacity of the cluster's largest VM, in cores. */
  largestProcessors: z.number().positive(),
  rateLimits: rateLimitsSchema.default([]),
  departures: departuresSchema.default([]),
  exclusions: exclusionsSchema,
  coldness: coldnessSchema,
  /** Daemons that can name the next coordinator; daemons of earlier versions send none. */
  helpers: z.array(addressSchema).default([]),
  /** Share of the requests that overloaded owners of keys can take. */
  ownerShares: ownerSharesSchema.default([]),
  /** Time at which the state that is replied to was sent, on its sender's clock. */
  stateSentAt: z.number().nullable().default(null),
  /**
   * Age of the coordinator's knowledge of each prefix in milliseconds, if it distributes changes; daemons of earlier
   * versions send none.
   */
  ages: z.record(z.string(), z.number().nonnegative()).default({}),
});
/** Question of a daemon that gets no replies; names the address to which the answer goes. */
export const coordinatorQuestionSchema = z.object({ address: addressSchema });
/** The coordinator as another daemon knows it. */
export const coordinatorAnswerSchema = z.object({ coordinator: addressSchema });
export type Digests = z.output<typeof digestsSchema>;
export type DaemonState = z.output<typeof stateSchema>;
