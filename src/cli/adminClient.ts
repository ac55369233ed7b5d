/** Client of a daemon's admin server. */
import { request } from "undici";
import { HemlockbankError, describeError } from "../errors";

const TIMEOUT_MS = 3000;

/**
 * Fetches a resource from a daemon's admin server.
 *
 * @param address - Admin address of the daemon, `host:port`.
 * @param path - Path and query.
 * @returns The decoded JSON.
 * @throws HemlockbankError when no daemon answers within the timeout, or the response is not JSON.
 */
export async function fetchFromAdmin(address: string, path: string): Promise<unknown> {
  try {
    const response = await request(`http://${address}${path}`, { signal: AbortSignal.timeout(TIMEOUT_MS) });
    return await response.body.json();
  } catch (error) {
    throw new HemlockbankError(
      `request to daemon ${address} failed: ${describeError(error)}; check that --admin is the admin address of a running daemon`,
      { props: { step: "ask daemon", peer: address } },
    );
  }
}
