/** A loopback TCP proxy that disturbs the connections through it, in one direction or both. */
import { type Server, type Socket, connect, createServer } from "node:net";
import type { AddressInfo } from "node:net";

const HOST = "127.0.0.1";

/** Faults of the connections through a proxy. */
export const LinkFault = {
  None: "none",
  /** Bytes arrive late. */
  Delayed: "delayed",
  /** No bytes arrive in either direction, while the connections stay open. */
  Silent: "silent",
  /** Requests arrive, answers do not. */
  OneWay: "one way",
  /** New connections are reset. */
  Refusing: "refusing",
} as const;
export type LinkFault = (typeof LinkFault)[keyof typeof LinkFault];

const DELAY_MS = 150;

/** A proxy in front of one port. */
export interface LinkProxy {
  readonly port: number;
  setFault(fault: LinkFault): void;
  /** Resets all open connections. */
  resetAll(): void;
  close(): Promise<void>;
}

/**
 * Starts a proxy.
 *
 * @param getTargetPort - Returns the port to connect to; called for each connection.
 * @returns The proxy.
 */
export async function startLinkProxy(getTargetPort: () => number): Promise<LinkProxy> {
  const sockets = new Set<Socket>();
  let fault: LinkFault = LinkFault.None;
  const server: Server = createServer((incoming) => {
    if (fault === LinkFault.Refusing) {
      incoming.resetAndDestroy();
      return;
    }
    const outgoing = connect(getTargetPort(), HOST);
    [incoming, outgoing].forEach((socket) => {
      sockets.add(socket);
      socket.on("error", () => {
        incoming.resetAndDestroy();
        outgoing.resetAndDestroy();
      });
      socket.once("close", () => sockets.delete(socket));
    });
    relay(incoming, outgoing, (current) => current === LinkFault.Silent);
    relay(outgoing, incoming, (current) => current === LinkFault.Silent || current === LinkFault.OneWay);
  });
  await new Promise<void>((resolve) => server.listen(0, HOST, resolve));

  return {
    port: (server.address() as AddressInfo).port,
    setFault: (next) => {
      fault = next;
    },
    resetAll,
    close: async () => {
      const closed = new Promise<void>((resolve) => {
        server.close(() => {
          resolve();
        });
      });
      resetAll();
      await closed;
    },
  };

  function resetAll(): void {
    sockets.forEach((socket) => socket.resetAndDestroy());
  }

  /** Relays one direction; once a fault has blocked bytes of it, these and all later ones are discarded. */
  function relay(from: Socket, to: Socket, isBlocked: (fault: LinkFault) => boolean): void {
    let isDiscarding = false;
    from.on("data", (chunk) => {
      isDiscarding ||= isBlocked(fault);
      if (isDiscarding) {
        return;
      }
      if (fault === LinkFault.Delayed) {
        setTimeout(() => to.writable && to.write(chunk), DELAY_MS);
        return;
      }
      to.write(chunk);
    });
    from.on("end", () => {
      if (!isDiscarding && !isBlocked(fault)) {
        setTimeout(() => to.end(), fault === LinkFault.Delayed ? DELAY_MS : 0);
      }
    });
  }
}
