/** UDP implementation of the datagram transport. */
import { createSocket } from "node:dgram";
import { isIPv6 } from "node:net";
import type { Address } from "../types";
import type { DatagramTransport } from "./types";

/**
 * Creates a datagram transport on a UDP socket.
 *
 * @param address - Local address to bind.
 * @returns The transport, once the socket is bound.
 * @throws Error when the address cannot be bound.
 */
export function createUdpTransport(address: Address): Promise<DatagramTransport> {
  const socket = createSocket(isIPv6(address.host) ? "udp6" : "udp4");
  return new Promise((resolve, reject) => {
    socket.once("error", reject);
    socket.bind(address.port, address.host, () => {
      socket.removeListener("error", reject);
      socket.on("error", () => undefined);
      resolve({
        send: (target, content) => {
          socket.send(content, target.port, target.host, () => undefined);
        },
        receive: (handler) => {
          socket.on("message", handler);
        },
        close: () => {
          socket.close();
        },
      });
    });
  });
}
