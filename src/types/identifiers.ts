/** Identifiers of the parts of a deployment. Names are unique within one cluster. */

/** Name of a service, as operators configure it. */
export type ServiceName = string;
/** Name of a backend server. */
export type ServerName = string;
/** Name of a daemon: one process on one entry VM. */
export type DaemonName = string;
/** Name of a data centre. */
export type DataCentreName = string;
/** Number of one run of a daemon process; it increases with each restart. */
export type Incarnation = number;
/** Zero-based index of a fixed hash range of a service's keys. */
export type Slot = number;
/** Number of one ownership period of a slot; it only increases. */
export type Epoch = number;
/** Number that increases with each new leaseholder of a backend server. */
export type Generation = number;
/** Version of an object in the object store; versions only increase, across all objects. */
export type Version = number;

/** An IP address and port. */
export interface Address {
  readonly host: string;
  readonly port: number;
}

/** One run of one daemon. */
export interface DaemonRun {
  readonly daemon: DaemonName;
  readonly incarnation: Incarnation;
}

/**
 * Returns whether two daemon runs are the same process.
 *
 * @param left - One run.
 * @param right - The other run.
 * @returns True when name and incarnation agree.
 */
export function isSameRun(left: DaemonRun, right: DaemonRun): boolean {
  return left.daemon === right.daemon && left.incarnation === right.incarnation;
}

/**
 * Formats a daemon run as text.
 *
 * @param run - The run.
 * @returns `daemon/incarnation`; equal runs give the same text.
 */
export function formatRun(run: DaemonRun): string {
  return `${run.daemon}/${run.incarnation}`;
}

/**
 * Formats an address for URLs and messages.
 *
 * @param address - The address.
 * @returns `host:port`.
 */
export function formatAddress(address: Address): string {
  return `${address.host}:${address.port}`;
}
