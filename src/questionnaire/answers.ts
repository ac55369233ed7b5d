/** Answers to the questionnaire, as they are stored in a file. */
import { z } from "zod";

const name = z
  .string()
  .regex(/^[a-z0-9][a-z0-9-]{0,62}$/, "must be 1 to 63 lower-case letters, digits or hyphens");
const ipAddress = z.union([z.ipv4(), z.ipv6()]);
const port = z.int().min(1).max(65_535);

const dataCentreAnswer = z.strictObject({
  name,
  region: name.default("default"),
  /** IP addresses of the entry VMs; each runs one daemon. */
  entry_vms: z.array(ipAddress).min(1),
});

const serviceAnswer = z.strictObject({
  name,
  divided_by_key: z.boolean(),
  key_from: z.enum(["header", "path", "query"]).default("path"),
  key_name: z.string().min(1).default("x-key"),
  request_timeout: z.string().default("10s"),
});

const serverAnswer = z.strictObject({
  service: name,
  data_centre: name,
  /** IP addresses of the backend servers. */
  hosts: z.array(ipAddress).min(1),
  port,
  slots: z.int().min(1),
  connections: z.int().min(1).default(130),
  fenced: z.boolean(),
});

/** Schema of all answers. */
export const answersSchema = z.strictObject({
  cluster: z.string().min(1),
  platform: z.url(),
  caller_port: port.default(7001),
  peer_port: port.default(7002),
  admin_port: port.default(7003),
  data_centres: z.array(dataCentreAnswer).min(1),
  services: z.array(serviceAnswer).min(1),
  servers: z.array(serverAnswer).min(1),
});

/** Validated answers, with the schema's defaults. */
export type Answers = z.output<typeof answersSchema>;
/** Answers before validation, where fields with a default are optional. */
export type AnswersInput = z.input<typeof answersSchema>;
