/** Daemons on the smallest VM of the deployments. */
import { MAX_BODY_BYTES } from "./crowdKinds";
import { type SingleDaemonOptions, startSingleDaemon } from "./singleDaemon";

const MEMORY_MB = 210;
/** Memory of the VM in bytes. */
export const MEMORY_BYTES = MEMORY_MB * 1_000_000;

/**
 * Starts a daemon, and a backend server that answers at once unless the options state otherwise.
 *
 * @param seed - Determines the address of the daemon.
 * @param maxFds - Maximum open descriptors of the process.
 * @param options - Other options.
 * @returns The daemon and its backend server.
 */
export function startOnSmallVm(seed: number, maxFds: number, options: SingleDaemonOptions) {
  return startSingleDaemon(seed, {
    limits: { memoryMb: MEMORY_MB, maxFds },
    maxBodyBytes: MAX_BODY_BYTES,
    answersAtOnce: true,
    ...options,
  });
}
