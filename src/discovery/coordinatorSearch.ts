/**
 * Finds the coordinator when the lease that this daemon knows names one that no longer answers. A daemon that the
 * object store refuses cannot read the new lease, so it asks daemons of which the former coordinator told it.
 */
import { type Address, formatAddress } from "../types";

/** Maximum number of daemons that are remembered; more than one, since the store may refuse some of them, too. */
const MAX_HELPERS = 8;
/** Number of daemons that one reply of the coordinator names; a daemon remembers those of several replies. */
const HELPERS_PER_REPLY = 2;

/** The search for the coordinator. */
export interface CoordinatorSearch {
  /** Sets the daemons that have lately sent their state to this one, the coordinator. */
  setPeers(peers: readonly Address[]): void;
  /** Returns daemons for the coordinator's reply, others each time. */
  chooseHelpers(): readonly Address[];
  /** Remembers daemons that can be asked, in place of the ones remembered first. */
  remember(helpers: readonly Address[]): void;
  /** Returns the daemon to ask next, in turn; undefined when none is known. */
  findHelper(): Address | undefined;
  /** Records the coordinator that another daemon has named. It counts until the lease names another one. */
  recordNamed(coordinator: Address): void;
  /** Returns the coordinator that another daemon has named; undefined when that of the lease counts. */
  findNamed(): Address | undefined;
}

/**
 * Creates a search that knows no other daemons.
 *
 * @param self - Address of this daemon.
 * @param findLeased - Returns the coordinator's address by the lease.
 * @returns The search.
 */
export function createCoordinatorSearch(
  self: Address,
  findLeased: () => Address | undefined,
): CoordinatorSearch {
  const helpers = new Map<string, Address>();
  let peers: readonly Address[] = [];
  let choiceStart = 0;
  let named: { readonly address: Address; readonly insteadOf: string | undefined } | undefined;

  return {
    setPeers: (addresses) => {
      peers = addresses;
      // A coordinator that the store refuses, too, loses its lease and must find the next one.
      remember(chooseHelpers());
    },
    chooseHelpers,
    remember,
    findHelper: () => {
      const [next] = helpers;
      if (next !== undefined) {
        helpers.delete(next[0]);
        helpers.set(...next);
      }
      return next?.[1];
    },
    recordNamed: (address) => {
      const id = formatAddress(address);
      named =
        id === formatAddress(self) || id === formatLeased()
          ? undefined
          : { address, insteadOf: formatLeased() };
    },
    findNamed: () => (named?.insteadOf === formatLeased() ? named?.address : undefined),
  };

  function chooseHelpers(): readonly Address[] {
    const chosen = peers.slice(choiceStart, choiceStart + HELPERS_PER_REPLY);
    choiceStart = choiceStart + HELPERS_PER_REPLY < peers.length ? choiceStart + HELPERS_PER_REPLY : 0;
    return chosen;
  }

  function remember(addresses: readonly Address[]): void {
    for (const address of addresses) {
      const id = formatAddress(address);
      helpers.delete(id);
      helpers.set(id, address);
    }
    helpers.delete(formatAddress(self));
    for (const id of [...helpers.keys()].slice(0, -MAX_HELPERS)) {
      helpers.delete(id);
    }
  }

  function formatLeased(): string | undefined {
    const leased = findLeased();
    return leased === undefined ? undefined : formatAddress(leased);
  }
}
