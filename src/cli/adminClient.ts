/** Asks a daemon's admin pages. */
import { request } from "undici";
import { HemlockbankError, describeError } from "../errors";

const TIMEOUT_MS = 3000;

/**
 * Reads a page of a daemon's admin server.
 *
 * @param address - Its admin address, `host:port`.
 * @param path - Path and query.
 * @returns The decoded JSON.
 * @throws HemlockbankError when no daemon answers.
 */
export async function fetchFromAdmin(address: string, path: string): Promise<unknown> {
  try {
    const response = await request(`http://${address}${path}`, { signal: AbortSignal.timeout(TIMEOUT_MS) });
    return await response.body.json();
  } catch (error) {
    throw new HemlockbankError(
      `ask daemon ${address}: ${describeError(error)}; check that --admin is the admin address of a running daemon`,
      { props: { step: "ask daemon", peer: address } },
    );
  }
}
