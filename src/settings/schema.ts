/** Schema of the settings file of one daemon. */
import { z } from "zod";

const MAX_PORT = 65_535;

const ipAddress = z.union([z.ipv4(), z.ipv6()]).describe("IP number");
const port = z.int().min(1).max(MAX_PORT).describe("port");
const duration = z
  .string()
  .regex(/^\d+(ms|s)$/, 'must be a whole number with the unit ms or s, such as "250ms" or "2s"')
  .transform(parseDuration);

const address = z.strictObject({ host: ipAddress, port });

/** Settings of one daemon. Durations are in milliseconds after parsing. */
export const settingsSchema = z.strictObject({
  cluster: z.string().min(1).describe("name of the cluster; peers with another name are refused"),
  daemon: z.string().min(1).describe("name of this daemon, unique in the cluster"),
  data_centre: z.string().min(1).describe("data centre of this daemon's VM"),
  platform: z.strictObject({
    url: z.url().describe("base URL of the object API and VM list"),
    timeout: duration.prefault("1s").describe("longest wait for one call"),
    writes_per_second: z.int().min(1).default(20).describe("writes that this daemon may send each second"),
    reads_per_second: z
      .int()
      .min(1)
      .default(50)
      .describe("reads and watches that this daemon may send each second"),
  }),
  callers: address.describe("address for callers"),
  peers: address.describe("address for other daemons, TCP and UDP"),
  admin: address.describe("address for health, status and version"),
  seeds: z
    .array(
      z.strictObject({ daemon: z.string().min(1), data_centre: z.string().min(1), host: ipAddress, port }),
    )
    .default([])
    .describe("other daemons to contact at start"),
  log_level: z.enum(["debug", "info", "warn", "error"]).default("info").describe("lowest severity written"),
  statsd: address.optional().describe("receiver of metrics"),
  shutdown_timeout: duration.prefault("30s").describe("longest graceful shutdown"),
});

/** Validated settings of one daemon. */
export type Settings = z.output<typeof settingsSchema>;

/** Schema of a duration in the settings and configuration files; the parsed value is in milliseconds. */
export const durationSchema = duration;

function parseDuration(text: string): number {
  return text.endsWith("ms") ? Number.parseInt(text, 10) : Number.parseInt(text, 10) * 1000;
}
