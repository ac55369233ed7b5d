/** Collects the chunks of a body. */

/** Chunks that are joined to one: each costs a few hundred bytes beside its content, which may be a single byte. */
const JOINED_CHUNKS = 256;

/** Chunks in the order in which they arrived, small ones joined. */
export interface JoinedChunks {
  add(chunk: Buffer): void;
  /** Returns the chunks. */
  list(): Buffer[];
}

/**
 * Creates a list that joins small chunks, copying each byte once.
 *
 * @returns The list, without any chunk.
 */
export function createJoinedChunks(): JoinedChunks {
  const joined: Buffer[] = [];
  let latest: Buffer[] = [];
  return {
    add: (chunk) => {
      latest.push(chunk);
      if (latest.length === JOINED_CHUNKS) {
        joined.push(Buffer.concat(latest));
        latest = [];
      }
    },
    list: () => [...joined, ...latest],
  };
}
