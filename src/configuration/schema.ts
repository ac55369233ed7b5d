/** Schema of the configuration: services, data centres and backend servers. */
import { z } from "zod";
import { durationSchema } from "../settings";

const MAX_SLOT_COUNT = 16_384;

const name = z
  .string()
  .regex(/^[a-z0-9][a-z0-9-]{0,62}$/, "must be 1 to 63 lower-case letters, digits or hyphens");

const service = z.strictObject({
  divided_by_key: z.boolean().describe("true when each key has one owner"),
  key_from: z.enum(["header", "path", "query"]).default("path").describe("where the key stands in a request"),
  key_name: z
    .string()
    .min(1)
    .default("x-key")
    .describe("header or query parameter of the key; unused for the path"),
  host: z
    .string()
    .min(1)
    .optional()
    .describe("host name of the service; without one the first path part names it"),
  slot_count: z
    .int()
    .min(1)
    .max(MAX_SLOT_COUNT)
    .refine((count) => (count & (count - 1)) === 0, "must be a power of two")
    .default(1024)
    .describe("number of hash ranges; it cannot change later"),
  idempotent_methods: z
    .array(z.string())
    .default(["GET", "HEAD", "OPTIONS"])
    .describe("methods that may run more than once"),
  request_timeout: durationSchema
    .prefault("10s")
    .describe("longest time for one request without its own deadline"),
  queue_timeout: durationSchema
    .prefault("500ms")
    .describe("longest wait for a free place at a backend server"),
  queue_length: z.int().min(0).default(256).describe("requests that may wait for one backend server"),
  hedge_after: durationSchema
    .optional()
    .describe("sends a second copy of an idempotent request after this time; only without keys"),
  cold_start_ramp: durationSchema
    .prefault("3s")
    .describe("time in which a cold backend server takes up full load"),
});

const dataCentre = z.strictObject({
  region: name.default("default").describe("region of the data centre"),
  state: z.enum(["in", "out"]).default("in").describe("an `out` data centre gets no new work"),
});

const server = z.strictObject({
  service: name,
  data_centre: name,
  host: z.union([z.ipv4(), z.ipv6()]).describe("IP number"),
  port: z.int().min(1).max(65_535),
  slots: z.int().min(1).max(1024).describe("requests that the server runs at once"),
  connections: z.int().min(1).default(130).describe("connections that the server accepts"),
  fenced: z.boolean().describe("true when the server checks grants"),
  state: z.enum(["active", "draining"]).default("active").describe("a `draining` server gets no new work"),
});

/** The configuration that operators apply. */
export const configurationSchema = z
  .strictObject({
    data_centres: z.record(name, dataCentre),
    services: z.record(name, service),
    servers: z.record(name, server),
  })
  .superRefine((configuration, context) => {
    for (const [serverName, entry] of Object.entries(configuration.servers)) {
      const path = ["servers", serverName];
      if (!(entry.service in configuration.services)) {
        context.addIssue({
          code: "custom",
          path: [...path, "service"],
          message: `unknown service "${entry.service}"`,
        });
      }
      if (!(entry.data_centre in configuration.data_centres)) {
        const message = `unknown data centre "${entry.data_centre}"`;
        context.addIssue({ code: "custom", path: [...path, "data_centre"], message });
      }
    }
    for (const [serviceName, entry] of Object.entries(configuration.services)) {
      if (entry.divided_by_key && entry.hedge_after !== undefined) {
        const message = "is only for services without keys";
        context.addIssue({ code: "custom", path: ["services", serviceName, "hedge_after"], message });
      }
    }
  });

/** A validated configuration. Durations are in milliseconds. */
export type Configuration = z.output<typeof configurationSchema>;
/** A service of a configuration. */
export type Service = Configuration["services"][string];
/** A backend server of a configuration. */
export type Server = Configuration["servers"][string];
