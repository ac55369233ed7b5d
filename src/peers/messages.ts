/** Messages between daemons. docs/INTERFACES.md specifies each one. */
import type { Handover, ServerStatus } from "../ownership";
import type { ObjectAnswer, ObjectCall } from "../objectStore";
import type { RawSnapshot, SnapshotVersions } from "../snapshots";
import type {
  Address,
  DaemonName,
  DataCentreName,
  Failure,
  Headers,
  Incarnation,
  LoadReport,
  ServiceName,
  Slot,
  WorkRequest,
} from "../types";

/** Version of the peer protocol. A daemon refuses connections of peers with another version. */
export const PEER_PROTOCOL = 1;

/** Load of one slot in requests per second. */
export type SlotLoad = readonly [slot: Slot, requestsPerSecond: number];

/** First message of a connection, in both directions. */
export interface Hello {
  readonly kind: "hello";
  readonly protocol: number;
  readonly cluster: string;
  readonly daemon: DaemonName;
  readonly incarnation: Incarnation;
  readonly dataCentre: DataCentreName;
  /** Release of the sender. */
  readonly release: string;
}

/** Messages after the hellos. The side that sends a request or query assigns the `id` of the exchange. */
export type PeerMessage =
  | {
      readonly kind: "request";
      readonly id: number;
      readonly work: WorkRequest;
      readonly body: Uint8Array | null;
    }
  | {
      readonly kind: "requestBody";
      readonly id: number;
      readonly chunk: Uint8Array;
      readonly isLast: boolean;
    }
  | { readonly kind: "requestCredit"; readonly id: number; readonly bytes: number }
  | { readonly kind: "requestAborted"; readonly id: number }
  | { readonly kind: "cancel"; readonly id: number }
  | {
      readonly kind: "answer";
      readonly id: number;
      readonly status: number;
      readonly headers: Headers;
      readonly load: LoadReport;
      /** Null when the body follows in `answerBody` messages. */
      readonly body: Uint8Array | null;
    }
  | { readonly kind: "failure"; readonly id: number; readonly failure: Failure }
  | { readonly kind: "answerBody"; readonly id: number; readonly chunk: Uint8Array; readonly isLast: boolean }
  | { readonly kind: "answerCredit"; readonly id: number; readonly bytes: number }
  | { readonly kind: "answerAborted"; readonly id: number }
  /** Queries whether the receiver has seen a request. If not, the receiver refuses it from then on. */
  | { readonly kind: "query"; readonly id: number; readonly workId: string }
  | { readonly kind: "queryAnswer"; readonly id: number; readonly wasSeen: boolean }
  /** Requests a call to the object store on behalf of the sender, which cannot reach it. */
  | { readonly kind: "objectCall"; readonly id: number; readonly call: ObjectCall }
  | { readonly kind: "objectAnswer"; readonly id: number; readonly answer: ObjectAnswer }
  | { readonly kind: "snapshotSync"; readonly id: number; readonly versions: SnapshotVersions }
  | {
      readonly kind: "snapshots";
      readonly id: number;
      readonly snapshots: readonly RawSnapshot[];
      readonly versions: SnapshotVersions;
    }
  | { readonly kind: "snapshotPush"; readonly snapshots: readonly RawSnapshot[] }
  | { readonly kind: "statuses"; readonly statuses: readonly ServerStatus[] }
  /** Addresses of the VMs whose state in the platform's VM list is leaving. */
  | { readonly kind: "leavingVms"; readonly addresses: readonly Address[] }
  | { readonly kind: "handover"; readonly handover: Handover }
  | { readonly kind: "loadQuery"; readonly id: number; readonly service: ServiceName }
  | { readonly kind: "loadAnswer"; readonly id: number; readonly loads: readonly SlotLoad[] };
