/** Typed messages in datagrams, with one handler per message kind. */
import { pack, unpack } from "msgpackr";
import { z } from "zod";
import type { Counters } from "../observability";
import type { Address } from "../types";
import type { DatagramTransport } from "./types";

const MAX_PORT = 65_535;
/** An address in a message. One that no datagram can be sent to makes the message invalid. */
export const addressSchema = z.object({ host: z.string().min(1), port: z.int().min(1).max(MAX_PORT) });

const messageSchema = z.object({ kind: z.string(), content: z.unknown() });

/** Sends and receives messages. */
export interface DatagramChannel {
  /** Sends a message. It may be lost or duplicated. */
  send(address: Address, kind: string, content: unknown): void;
  /** Packs a message once for all its recipients. */
  pack(kind: string, content: unknown): Uint8Array;
  /** Sends a packed message to several addresses. */
  sendPacked(addresses: readonly Address[], packed: Uint8Array): void;
  /** Sets the handler of a message kind. Messages that fail schema validation are counted and dropped. */
  receive<Schema extends z.ZodType>(
    kind: string,
    schema: Schema,
    handler: (content: z.output<Schema>) => void,
  ): void;
}

/**
 * Creates a channel on a transport.
 *
 * @param transport - Transport of the datagrams.
 * @param counters - Counters for dropped messages.
 * @returns The channel.
 */
export function createDatagramChannel(transport: DatagramTransport, counters: Counters): DatagramChannel {
  const handlers = new Map<string, (content: unknown) => boolean>();
  transport.receive((datagram) => {
    const message = messageSchema.safeParse(tryUnpack(datagram));
    const messageHandler = message.success ? handlers.get(message.data.kind) : undefined;
    if (!message.success || messageHandler?.(message.data.content) !== true) {
      counters.increment("datagrams.refused");
    }
  });

  return {
    send: (address, kind, content) => {
      transport.send(address, pack({ kind, content }));
    },
    pack: (kind, content) => pack({ kind, content }),
    sendPacked: (addresses, packed) => {
      addresses.forEach((address) => {
        transport.send(address, packed);
      });
    },
    receive: (kind, schema, handler) => {
      handlers.set(kind, (content) => {
        const result = schema.safeParse(content);
        if (result.success) {
          handler(result.data);
        }
        return result.success;
      });
    },
  };
}

function tryUnpack(datagram: Uint8Array): unknown {
  try {
    return unpack(datagram);
  } catch {
    return undefined;
  }
}
