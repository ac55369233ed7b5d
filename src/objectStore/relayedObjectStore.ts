/** Calls the object store through another daemon while this one cannot reach it. */
import { PlatformUnavailableError } from "../errors";
import type { Version } from "../types";
import type { ObjectStore, StoredObject, WriteResult } from "./types";

/** A call that can be relayed. Writes are conditional, so a repeated one takes effect at most once. */
export type ObjectCall =
  | { readonly kind: "read"; readonly path: string }
  | { readonly kind: "write"; readonly path: string; readonly value: unknown; readonly base: Version };

/** Answer to a relayed call. */
export type ObjectAnswer =
  | { readonly kind: "object"; readonly object: StoredObject | null }
  | { readonly kind: "result"; readonly result: WriteResult }
  /** The other daemon got no answer either; a write is in doubt. */
  | { readonly kind: "unavailable" };

/** Executes a call for another daemon. */
export type ObjectCallHandler = (call: ObjectCall) => Promise<ObjectAnswer>;

/** Options for {@link createRelayedObjectStore}. */
export interface RelayedObjectStoreOptions {
  readonly direct: ObjectStore;
  /** Returns whether this daemon's own last call was answered. */
  readonly isReachable: () => boolean;
  /** Relays a call to a daemon that reaches the platform; returns undefined when there is none. */
  readonly relay: (call: ObjectCall) => Promise<ObjectAnswer | undefined>;
}

/**
 * Creates the store. Lists and watches are not relayed, since daemons notify each other of changes. A relayed
 * call that gets no answer is sent directly.
 *
 * @param options - The direct store and the relay.
 * @returns The store.
 */
export function createRelayedObjectStore(options: RelayedObjectStoreOptions): ObjectStore {
  const { direct } = options;
  return {
    list: (prefix, priority) => direct.list(prefix, priority),
    watch: (prefix, since, watchOptions) => direct.watch(prefix, since, watchOptions),
    read: async (path, priority) => {
      if (options.isReachable()) {
        return direct.read(path, priority);
      }
      const answer = await relay({ kind: "read", path });
      return answer.kind === "object" ? (answer.object ?? undefined) : direct.read(path, priority);
    },
    write: async (path, value, base, priority) => {
      if (options.isReachable()) {
        return direct.write(path, value, base, priority);
      }
      const answer = await relay({ kind: "write", path, value, base });
      return answer.kind === "result" ? answer.result : direct.write(path, value, base, priority);
    },
  };

  async function relay(call: ObjectCall): Promise<ObjectAnswer> {
    return (await options.relay(call)) ?? { kind: "unavailable" };
  }
}

/**
 * Executes a call that another daemon relayed.
 *
 * @param store - The object store.
 * @param call - The call.
 * @param priority - Its priority.
 * @returns The answer.
 */
export async function executeObjectCall(
  store: ObjectStore,
  call: ObjectCall,
  priority: Parameters<ObjectStore["read"]>[1],
): Promise<ObjectAnswer> {
  try {
    if (call.kind === "read") {
      return { kind: "object", object: (await store.read(call.path, priority)) ?? null };
    }
    return { kind: "result", result: await store.write(call.path, call.value, call.base, priority) };
  } catch (error) {
    if (error instanceof PlatformUnavailableError) {
      return { kind: "unavailable" };
    }
    throw error;
  }
}
