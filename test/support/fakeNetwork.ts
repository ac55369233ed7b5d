/** Datagrams in memory: with delay, loss and cuts. */
import type { DatagramTransport } from "../../src/membership";
import { type Address, formatAddress } from "../../src/types";
import type { FakeClock, ProcessClock } from "./fakeClock";

const DELAY_MS = 1;

/** A network of datagrams. */
export interface FakeNetwork {
  /** Creates the transport of a process. */
  createTransport(address: Address, clock: ProcessClock): DatagramTransport;
  /** Pairs of addresses that are cut off from each other, as `from>to`. */
  readonly cuts: Set<string>;
  /** Delivers raw content, as anybody could. */
  deliver(address: Address, content: Uint8Array): void;
}

/**
 * Creates a network.
 *
 * @param clock - The machine's clock.
 * @returns The network.
 */
export function createFakeNetwork(clock: FakeClock): FakeNetwork {
  const receivers = new Map<string, (content: Uint8Array) => void>();
  const cuts = new Set<string>();
  const deliver = (address: Address, content: Uint8Array) => {
    receivers.get(formatAddress(address))?.(content);
  };

  return {
    cuts,
    deliver,
    createTransport: (own, processClock) => ({
      send: (target, content) => {
        if (cuts.has(`${formatAddress(own)}>${formatAddress(target)}`)) {
          return;
        }
        clock.schedule(DELAY_MS, () => {
          deliver(target, content);
        });
      },
      receive: (handler) => {
        receivers.set(formatAddress(own), (content) => {
          void processClock.gate().then(() => {
            handler(content);
          });
        });
      },
      close: () => {
        receivers.delete(formatAddress(own));
      },
    }),
  };
}
