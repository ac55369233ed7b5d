/**
 * The data centres that operators have taken out of service, as the object store lists them or as other daemons
 * know them: a daemon that the store refuses learns of them by way of the coordinator. The newer state counts.
 */
import { Event, type Logger } from "../observability";
import type { DataCentreName, Version } from "../types";
import type { StatedExclusions } from "./types";

/** Maximum data centres in one message. A part would read as the return of the others, so more are not sent. */
const MAX_SHARED_DATA_CENTRES = 32;

/** Options for {@link createExclusionExchange}. */
export interface ExclusionExchangeOptions {
  /** Returns the version of the store up to which this daemon has read the exclusions; 0 before the first list. */
  readonly getListedVersion: () => Version;
  /** Puts exclusions in force. */
  readonly apply: (dataCentres: ReadonlySet<DataCentreName>) => void;
  readonly logger: Logger;
}

/** The exclusions that daemons tell each other. */
export interface ExclusionExchange {
  /** Sets what the object store lists. */
  setListed(dataCentres: ReadonlySet<DataCentreName>): void;
  /** Returns the newest exclusions that this daemon knows; null when it knows none or they are too many. */
  share(): StatedExclusions | null;
  /** Applies what another daemon knows. */
  merge(stated: StatedExclusions | null): void;
  /** Puts the listed exclusions in force again once they are as new as those that were learned. */
  update(): void;
}

/**
 * Creates an exchange without exclusions.
 *
 * @param options - Version of the listed state, and what puts exclusions in force.
 * @returns The exchange.
 */
export function createExclusionExchange(options: ExclusionExchangeOptions): ExclusionExchange {
  let listed: ReadonlySet<DataCentreName> = new Set();
  let learned: StatedExclusions | undefined;
  let inForce: ReadonlySet<DataCentreName> = listed;

  return {
    setListed: (dataCentres) => {
      listed = dataCentres;
      // The version that belongs to a list may follow it, so what is listed holds beside what was learned.
      setInForce(new Set([...listed, ...(findLearned()?.dataCentres ?? [])]));
    },
    share: () => {
      const newest = findLearned() ?? { version: options.getListedVersion(), dataCentres: [...listed] };
      return newest.version > 0 && newest.dataCentres.length <= MAX_SHARED_DATA_CENTRES ? newest : null;
    },
    merge: (stated) => {
      if (stated !== null && stated.version >= (learned?.version ?? 0)) {
        learned = stated;
      }
      update();
    },
    update,
  };

  function update(): void {
    const newer = findLearned();
    setInForce(newer === undefined ? listed : new Set(newer.dataCentres));
  }

  /** Returns what was learned from other daemons if it is newer than what the store has listed here. */
  function findLearned(): StatedExclusions | undefined {
    return learned !== undefined && learned.version > options.getListedVersion() ? learned : undefined;
  }

  function setInForce(dataCentres: ReadonlySet<DataCentreName>): void {
    if (dataCentres.size === inForce.size && [...dataCentres].every((name) => inForce.has(name))) {
      return;
    }
    inForce = dataCentres;
    options.logger.log(Event.ExclusionsInForce, {
      dataCentres: [...dataCentres].join(" "),
      listedVersion: options.getListedVersion(),
      learnedVersion: learned?.version,
    });
    options.apply(dataCentres);
  }
}
