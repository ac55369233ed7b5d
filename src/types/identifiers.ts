/** Names that identify the parts of a deployment. All of them are unique within one cluster. */

/** Name of a service, as operators write it. */
export type ServiceName = string;
/** Name of a backend server. */
export type ServerName = string;
/** Name of a daemon: one process on one entry VM. */
export type DaemonName = string;
/** Name of a data centre. */
export type DataCentreName = string;
/** Number of one run of a daemon process; it rises with each restart. */
export type Incarnation = number;
/** Index of a fixed hash range of a service's keys, from 0. */
export type Slot = number;
/** Number of an ownership of a slot; it only rises. */
export type Epoch = number;
/** Number of a leaseholder of a backend server; it only rises. */
export type Generation = number;
/** Version of an object in the object API; it only rises, over all objects. */
export type Version = number;

/** An IP number and port. */
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
 * Tells whether two daemon runs are the same process.
 *
 * @param left - One run.
 * @param right - The other run.
 * @returns True when name and incarnation agree.
 */
export function isSameRun(left: DaemonRun, right: DaemonRun): boolean {
  return left.daemon === right.daemon && left.incarnation === right.incarnation;
}

/**
 * Gives a text that names a daemon run.
 *
 * @param run - The run.
 * @returns The name, the same for equal runs.
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
