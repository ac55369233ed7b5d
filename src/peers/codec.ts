/** Encodes, decodes and validates peer messages. */
import { Packr } from "msgpackr";
import type { Hello, PeerMessage } from "./messages";

type FieldType = "string" | "number" | "boolean" | "object" | "array" | "bytes" | "bytesOrNull";
type MessageKind = Hello["kind"] | PeerMessage["kind"];

/** Required fields of each message. Nested documents are validated by the subsystem that applies them. */
const fieldsByKind: Readonly<Record<MessageKind, Readonly<Record<string, FieldType>>>> = {
  hello: {
    protocol: "number",
    cluster: "string",
    daemon: "string",
    incarnation: "number",
    dataCentre: "string",
    release: "string",
  },
  request: { id: "number", work: "object", body: "bytesOrNull" },
  requestBody: { id: "number", chunk: "bytes", isLast: "boolean" },
  requestCredit: { id: "number", bytes: "number" },
  requestAborted: { id: "number" },
  cancel: { id: "number" },
  answer: { id: "number", status: "number", headers: "object", load: "object", body: "bytesOrNull" },
  failure: { id: "number", failure: "object" },
  answerBody: { id: "number", chunk: "bytes", isLast: "boolean" },
  answerCredit: { id: "number", bytes: "number" },
  answerAborted: { id: "number" },
  query: { id: "number", workId: "string" },
  queryAnswer: { id: "number", wasSeen: "boolean" },
  objectCall: { id: "number", call: "object" },
  objectAnswer: { id: "number", answer: "object" },
  snapshotSync: { id: "number", versions: "object" },
  snapshots: { id: "number", snapshots: "array", versions: "object" },
  snapshotPush: { snapshots: "array" },
  statuses: { statuses: "array" },
  leavingVms: { addresses: "array" },
  handover: { handover: "object" },
  loadQuery: { id: "number", service: "string" },
  loadAnswer: { id: "number", loads: "array" },
};

const workFields: Readonly<Record<string, FieldType>> = {
  id: "string",
  service: "string",
  server: "string",
  method: "string",
  target: "string",
  headers: "object",
  timeoutMs: "number",
  isIdempotent: "boolean",
};

const packr = new Packr({ useRecords: false });

/**
 * Encodes a message.
 *
 * @param message - The message.
 * @returns The encoded bytes.
 */
export function encodeMessage(message: Hello | PeerMessage): Uint8Array {
  return packr.pack(message);
}

/**
 * Decodes and validates a message.
 *
 * @param content - The received bytes.
 * @returns The message, or undefined when it is malformed.
 */
export function decodeMessage(content: Uint8Array): Hello | PeerMessage | undefined {
  const value = unpack(content);
  if (!isRecord(value) || typeof value.kind !== "string" || !Object.hasOwn(fieldsByKind, value.kind)) {
    return undefined;
  }
  const fields = fieldsByKind[value.kind as MessageKind];
  const isValid = hasFields(value, fields) && (value.kind !== "request" || hasFields(value.work, workFields));
  return isValid ? (value as unknown as Hello | PeerMessage) : undefined;
}

function unpack(content: Uint8Array): unknown {
  try {
    return packr.unpack(content);
  } catch {
    return undefined;
  }
}

function hasFields(value: unknown, fields: Readonly<Record<string, FieldType>>): boolean {
  return isRecord(value) && Object.entries(fields).every(([name, type]) => hasType(value[name], type));
}

function hasType(value: unknown, type: FieldType): boolean {
  switch (type) {
    case "string":
    case "number":
    case "boolean":
      return typeof value === type;
    case "object":
      return isRecord(value);
    case "array":
      return Array.isArray(value);
    case "bytes":
      return value instanceof Uint8Array;
    case "bytesOrNull":
      return value === null || value instanceof Uint8Array;
    default:
      return type satisfies never;
  }
}

function isRecord(value: unknown): value is Record<string, unknown> {
  return (
    typeof value === "object" && value !== null && !Array.isArray(value) && !(value instanceof Uint8Array)
  );
}
