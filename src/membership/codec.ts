/** Encodes, decodes and validates membership datagrams. */
import { Packr } from "msgpackr";
import { z } from "zod";
import type { Datagram } from "./types";

/** Version of the membership protocol. */
export const MEMBERSHIP_PROTOCOL = 1;

/** Maximum number of gossiped members in a received datagram; one with more is rejected. */
const MAX_ACCEPTED_GOSSIP = 64;
const MAX_NAME_LENGTH = 128;

const packr = new Packr({ useRecords: false });

const memberSchema = z.object({
  daemon: z.string().min(1).max(MAX_NAME_LENGTH),
  incarnation: z.number(),
  dataCentre: z.string().min(1).max(MAX_NAME_LENGTH),
  address: z.object({ host: z.string().max(MAX_NAME_LENGTH), port: z.int().min(1).max(65_535) }),
  status: z.enum(["alive", "suspect", "dead", "left"]),
  refutation: z.int().min(0),
  platformReachable: z.boolean(),
  configurationVersion: z.number(),
  leaving: z.boolean(),
});

const base = {
  protocol: z.literal(MEMBERSHIP_PROTOCOL),
  cluster: z.string(),
  sequence: z.int(),
  sender: memberSchema,
  digest: z.number(),
  gossip: z.array(memberSchema).max(MAX_ACCEPTED_GOSSIP),
};

const datagramSchema = z.discriminatedUnion("kind", [
  z.object({ ...base, kind: z.literal("ping"), join: z.boolean() }),
  z.object({ ...base, kind: z.literal("ack") }),
  z.object({ ...base, kind: z.literal("pingRequest"), target: z.string() }),
  z.object({ ...base, kind: z.literal("sync") }),
]);

/**
 * Encodes a datagram.
 *
 * @param datagram - The datagram.
 * @returns Its bytes.
 */
export function encodeDatagram(datagram: Datagram): Uint8Array {
  return packr.pack(datagram);
}

/**
 * Decodes and validates a datagram.
 *
 * @param content - The received bytes.
 * @returns The datagram, or undefined when it is malformed or of another protocol version.
 */
export function decodeDatagram(content: Uint8Array): Datagram | undefined {
  try {
    const result = datagramSchema.safeParse(packr.unpack(content));
    return result.success ? result.data : undefined;
  } catch {
    return undefined;
  }
}
