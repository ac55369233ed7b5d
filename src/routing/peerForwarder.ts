/** Forwards requests to the daemon that holds a server's lease, directly or relayed by one other daemon. */
import type { Membership } from "../membership";
import type { Counters } from "../observability";
import type { Leaseholder } from "../ownership";
import { type Peer, type Peers, isPeerRun } from "../peers";
import {
  type Body,
  Outcome,
  RefusalReason,
  type WorkHandler,
  type WorkRequest,
  type WorkResult,
  chooseRandom,
  isSameRun,
} from "../types";

/** Options for {@link createPeerForwarder}. */
export interface PeerForwarderOptions {
  readonly membership: Membership;
  readonly peers: () => Peers;
  readonly counters: Counters;
  /** Executes requests for which this daemon is the leaseholder. */
  readonly handleLocally: WorkHandler;
  /** Uniform random number in [0, 1). */
  readonly random: () => number;
}

/** Forwards a request to a leaseholder. */
export type PeerForwarder = (
  leaseholder: Leaseholder,
  work: WorkRequest,
  body: Body,
  signal: AbortSignal,
) => Promise<WorkResult>;

/**
 * Creates the forwarder.
 *
 * @param options - Membership, connections and the local handler.
 * @returns The forwarder.
 */
export function createPeerForwarder(options: PeerForwarderOptions): PeerForwarder {
  const { membership, counters } = options;

  return async (leaseholder, work, body, signal) => {
    if (isSameRun(leaseholder, membership.self())) {
      return options.handleLocally(work, body, signal);
    }
    const peer = await connectTo(leaseholder);
    if (peer === "otherRun") {
      return refuse(leaseholder);
    }
    return peer === undefined
      ? forwardThroughRelay(leaseholder, work, body, signal)
      : forwardDirectly(peer, leaseholder, work, body, signal);
  };

  /** Connects to a leaseholder. Returns undefined if unreachable, `otherRun` if it has restarted since. */
  async function connectTo(leaseholder: Leaseholder): Promise<Peer | "otherRun" | undefined> {
    try {
      const peer = await options.peers().connect(leaseholder.daemon);
      return isPeerRun(peer, leaseholder) ? peer : "otherRun";
    } catch {
      return undefined;
    }
  }

  /**
   * Forwards a request over a direct connection. If that connection is lost, queries the leaseholder over a
   * new one: an attempt that it has not seen did not run, and it refuses that attempt from then on.
   */
  async function forwardDirectly(
    peer: Peer,
    leaseholder: Leaseholder,
    work: WorkRequest,
    body: Body,
    signal: AbortSignal,
  ): Promise<WorkResult> {
    const result = await peer.forward(work, body, signal);
    const isConnectionLost =
      result.kind === "failure" && result.failure.reason === RefusalReason.PeerConnectionLost;
    if (!isConnectionLost) {
      return result;
    }
    counters.increment("forward.connectionLost");
    const reconnected = await connectTo(leaseholder);
    if (reconnected === undefined || reconnected === "otherRun") {
      return result;
    }
    try {
      const wasSeen = await reconnected.blockUnlessSeen(work.id);
      return wasSeen ? result : refuse(leaseholder);
    } catch {
      return result;
    }
  }

  async function forwardThroughRelay(
    leaseholder: Leaseholder,
    work: WorkRequest,
    body: Body,
    signal: AbortSignal,
  ): Promise<WorkResult> {
    const relay = chooseRelay(leaseholder);
    if (relay === undefined) {
      return refuse(leaseholder);
    }
    counters.increment("forward.relayed");
    try {
      const peer = await options.peers().connect(relay);
      return await peer.forward({ ...work, relayTo: leaseholder.daemon }, body, signal);
    } catch {
      return refuse(leaseholder);
    }
  }

  /**
   * Chooses another daemon as relay, preferably in the leaseholder's data centre. Chooses none if the
   * leaseholder itself is not present.
   */
  function chooseRelay(leaseholder: Leaseholder): string | undefined {
    const others = membership
      .present()
      .filter((member) => member.daemon !== leaseholder.daemon && member.daemon !== membership.self().daemon);
    const dataCentre = membership.get(leaseholder.daemon)?.dataCentre;
    const sameDataCentre = others.filter((member) => member.dataCentre === dataCentre);
    const eligible = sameDataCentre.length > 0 ? sameDataCentre : others;
    return membership.isPresent(leaseholder) ? chooseRandom(options.random, eligible)?.daemon : undefined;
  }
}

function refuse(leaseholder: Leaseholder): WorkResult {
  return {
    kind: "failure",
    failure: {
      outcome: Outcome.NotRun,
      reason: RefusalReason.LeaseholderUnreachable,
      step: "forward",
      peer: leaseholder.daemon,
    },
  };
}
