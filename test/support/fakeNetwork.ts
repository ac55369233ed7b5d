/** An in-memory network of datagrams with a fixed delay, which can lose those between given addresses. */
import type { DatagramTransport } from "../../src/membership";
import { type Address, formatAddress } from "../../src/types";
import type { FakeClock, ProcessClock } from "./fakeClock";

const DELAY_MS = 1;

/** An in-memory network of datagrams. */
export interface FakeNetwork {
  /** Creates the transport of the process at an address. */
  createTransport(address: Address, clock: ProcessClock): DatagramTransport;
  /** Directed pairs of addresses, as `from>to`, between which datagrams are lost. */
  readonly blockedPairs: Set<string>;
  /** Delivers a datagram with any content at once, as any host on the network could send it. */
  deliver(address: Address, content: Uint8Array): void;
}

/**
 * Creates a network without blocked pairs.
 *
 * @param clock - Clock that times the delivery.
 * @returns The network.
 */
export function createFakeNetwork(clock: FakeClock): FakeNetwork {
  const receivers = new Map<string, (content: Uint8Array) => void>();
  const blockedPairs = new Set<string>();
  const deliver = (address: Address, content: Uint8Array) => {
    receivers.get(formatAddress(address))?.(content);
  };

  return {
    blockedPairs,
    deliver,
    createTransport: (ownAddress, processClock) => ({
      send: (target, content) => {
        if (blockedPairs.has(`${formatAddress(ownAddress)}>${formatAddress(target)}`)) {
          return;
        }
        clock.schedule(DELAY_MS, () => {
          deliver(target, content);
        });
      },
      receive: (handler) => {
        receivers.set(formatAddress(ownAddress), (content) => {
          void processClock.waitUntilRunning().then(() => {
            handler(content);
          });
        });
      },
      close: () => {
        receivers.delete(formatAddress(ownAddress));
      },
    }),
  };
}
