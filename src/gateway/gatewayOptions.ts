/** What a gateway needs from its platform: addresses, adapters, limits and paths of objects. */
import type { ServerDecoder } from "../discovery";
import type { KeyControl } from "../keyRanges";
import type { ObjectStore } from "../objectStore";
import type { Logger, Metrics } from "../observability";
import type { Address, Clock, DaemonName, DataCentreName } from "../types";
import type { CallerProtocol, ServerProtocol } from "./protocols";
import type { GatewayLimits, RoutingConfiguration } from "./types";

/** Paths of the objects that a gateway watches; prefixes unless stated otherwise. */
export interface GatewayPaths {
  readonly servers: string;
  readonly configuration: string;
  /** Full path of the configuration object. */
  readonly configurationPath: string;
  readonly exclusions: string;
}

/** The JavaScript heap of the process. */
export interface Heap {
  /** Returns its size in bytes. */
  readonly measure: () => number;
  /** Returns the memory of all buffers in bytes, which is not part of the heap. */
  readonly measureBuffers: () => number;
  /** Runs the garbage collector, which does not know of the limits on memory. */
  readonly collectGarbage: () => void;
}

/** Options for `startGateway`. */
export interface GatewayOptions {
  readonly daemon: DaemonName;
  readonly dataCentre: DataCentreName;
  /** Whether the whole deployment starts for the first time, so that the object store has no state yet. */
  readonly isFirstStart: boolean;
  /** Processor capacity of the VM, in cores. */
  readonly processors: number;
  /** Memory of the VM in MB. */
  readonly memoryMb: number;
  /** Maximum number of open descriptors of the process. */
  readonly maxDescriptors: number;
  readonly heap: Heap;
  readonly callers: Address;
  readonly readiness: Address;
  /** Address to which other daemons send datagrams. */
  readonly peers: Address;
  /** Path of readiness probes. */
  readonly readinessPath: string;
  readonly limits: GatewayLimits;
  readonly paths: GatewayPaths;
  readonly objects: ObjectStore;
  readonly control: KeyControl;
  readonly callerProtocol: CallerProtocol;
  readonly serverProtocol: ServerProtocol;
  readonly decodeServer: ServerDecoder;
  /** Decodes a stored configuration; throws when it cannot be read. */
  readonly decodeConfiguration: (value: unknown) => RoutingConfiguration;
  readonly clock: Clock;
  readonly timeOfDay: () => number;
  readonly random: () => number;
  readonly logger: Logger;
  readonly metrics: Metrics;
}
