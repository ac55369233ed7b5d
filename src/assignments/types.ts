/** Types of assignments: the slots of a service, their owners, and the leases of daemons on backend servers. */
import type {
  Address,
  DaemonRun,
  DataCentreName,
  Epoch,
  Generation,
  ServerName,
  ServiceName,
  Slot,
} from "../types";

/** Value in `Assignment.owners` for a slot without an owner. */
export const NO_OWNER = -1;

/** A daemon run that holds a lease, with the peer address at which its process can be identified. */
export interface Leaseholder extends DaemonRun {
  readonly address: Address;
}

/** A backend server in an assignment, with the one daemon that may send to it. */
export interface AssignedServer {
  readonly name: ServerName;
  readonly dataCentre: DataCentreName;
  /** Rises with each change of the leaseholder. */
  readonly generation: Generation;
  readonly leaseholder: Leaseholder | null;
  /**
   * Earlier leaseholders that a fenced server may still accept: no answer to a newer generation is known yet.
   */
  readonly predecessors: readonly Leaseholder[];
}

/** A planned move of a slot, which keeps its owner until work on it there has provably stopped. */
export interface Move {
  readonly slot: Slot;
  readonly target: ServerName;
}

/**
 * Ownership of one service's slots, and the leaseholders of its servers. Always changed as a whole, as one
 * object.
 */
export interface Assignment {
  readonly service: ServiceName;
  readonly servers: readonly AssignedServer[];
  /** For each slot, the index of its owner in `servers`, or NO_OWNER. Empty for services without keys. */
  readonly owners: readonly number[];
  /** For each slot, the epoch of its current ownership. */
  readonly epochs: readonly Epoch[];
  readonly moves: readonly Move[];
}

/** A slot with the epoch of its ownership. */
export interface SlotEpoch {
  readonly slot: Slot;
  readonly epoch: Epoch;
}
