/** Client of the platform, open for the duration of one command. */
import { type Platform, createHttpPlatform } from "../objectStore";
import { type FlagValues, getTextFlag } from "./command";

const TIMEOUT_MS = 3000;
const MAX_CALLS_PER_SECOND = 20;

/**
 * Calls `use` with a client of the platform that the options name, and closes the client afterwards.
 *
 * @param flags - Values of the options, with `platform`.
 * @param use - Receives the client.
 * @returns The result of `use`.
 */
export async function withPlatform<Result>(
  flags: FlagValues,
  use: (platform: Platform) => Promise<Result>,
): Promise<Result> {
  const platform = createHttpPlatform({
    url: getTextFlag(flags, "platform").replace(/\/$/, ""),
    timeoutMs: TIMEOUT_MS,
    writesPerSecond: MAX_CALLS_PER_SECOND,
    readsPerSecond: MAX_CALLS_PER_SECOND,
  });
  try {
    return await use(platform);
  } finally {
    await platform.close();
  }
}
