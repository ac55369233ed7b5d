/** Types of the membership protocol, a SWIM variant: random pings, indirect pings, suspicion, gossip. */
import type { Address, DaemonName, DataCentreName, DaemonRun, Incarnation, Version } from "../types";

/**
 * Believed status of a member. `left` is announced by the member itself when it has stopped, and is final.
 */
export const MemberStatus = { Alive: "alive", Suspect: "suspect", Dead: "dead", Left: "left" } as const;
export type MemberStatus = (typeof MemberStatus)[keyof typeof MemberStatus];

/** Known state of one daemon. Only the daemon itself increases `refutation`. */
export interface Member extends DaemonRun {
  readonly daemon: DaemonName;
  readonly incarnation: Incarnation;
  readonly dataCentre: DataCentreName;
  /** Address of its peer port, TCP and UDP. */
  readonly address: Address;
  readonly status: MemberStatus;
  /** Orders updates about one run: the daemon increases it to refute a suspicion. */
  readonly refutation: number;
  /** Whether the daemon can reach the platform. */
  readonly platformReachable: boolean;
  /** Version of the configuration that the daemon has in force; 0 before the first. */
  readonly configurationVersion: Version;
  /** True while the daemon is shutting down; it takes no new leases then. */
  readonly leaving: boolean;
}

/** Fields of every datagram. */
interface DatagramBase {
  readonly protocol: number;
  readonly cluster: string;
  readonly sequence: number;
  readonly sender: Member;
  /** Digest of the snapshot versions that the sender has. */
  readonly digest: number;
  /** Recently changed members. */
  readonly gossip: readonly Member[];
}

/** Datagrams between members. */
export type Datagram =
  /** Requests an acknowledgement; with `join`, also the member table in `sync` datagrams. */
  | (DatagramBase & { readonly kind: "ping"; readonly join: boolean })
  | (DatagramBase & { readonly kind: "ack" })
  /** Asks the receiver to ping `target` and to forward the acknowledgement. */
  | (DatagramBase & { readonly kind: "pingRequest"; readonly target: DaemonName })
  /** Carries a part of the member table, for example to a joining daemon. */
  | (DatagramBase & { readonly kind: "sync" });

/** Sends and receives datagrams. Delivery is neither guaranteed nor ordered. */
export interface DatagramTransport {
  /** Sends one datagram. Errors are ignored, because their effect is the same as that of a lost datagram. */
  send(address: Address, content: Uint8Array): void;
  /** Sets the handler of received datagrams. */
  receive(handler: (content: Uint8Array) => void): void;
  /** Closes the socket. */
  close(): void;
}
