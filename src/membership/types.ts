/** Types of the membership protocol, a SWIM variant: random pings, indirect pings, suspicion, gossip. */
import type { Address, DaemonName, DataCentreName, DaemonRun, Incarnation, Version } from "../types";

/** What is believed of a member. `left` is the member's own word that it stopped; it is final. */
export const MemberStatus = { Alive: "alive", Suspect: "suspect", Dead: "dead", Left: "left" } as const;
export type MemberStatus = (typeof MemberStatus)[keyof typeof MemberStatus];

/** What is known of one daemon. Only the daemon itself raises `refutation`. */
export interface Member extends DaemonRun {
  readonly daemon: DaemonName;
  readonly incarnation: Incarnation;
  readonly dataCentre: DataCentreName;
  /** Address of its peer port, TCP and UDP. */
  readonly address: Address;
  readonly status: MemberStatus;
  /** Orders statements about one run: the daemon raises it to contradict a suspicion. */
  readonly refutation: number;
  /** Whether the daemon reaches the platform. */
  readonly platformReachable: boolean;
  /** Version of the configuration that the daemon has in force; 0 before the first. */
  readonly configurationVersion: Version;
  /** True while the daemon shuts down: it takes no new leases. */
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
  | (DatagramBase & { readonly kind: "ping"; readonly join: boolean })
  | (DatagramBase & { readonly kind: "ack" })
  /** Asks the receiver to ping `target` and to pass the answer on. */
  | (DatagramBase & { readonly kind: "pingRequest"; readonly target: DaemonName })
  /** Carries a part of the member table to a joining daemon. */
  | (DatagramBase & { readonly kind: "sync" });

/** Sends and receives datagrams. Delivery is neither assured nor ordered. */
export interface DatagramTransport {
  /** Sends one datagram. Errors are dropped: a lost datagram looks the same. */
  send(address: Address, content: Uint8Array): void;
  /** Sets the receiver. */
  receive(handler: (content: Uint8Array) => void): void;
  /** Closes the socket. */
  close(): void;
}
