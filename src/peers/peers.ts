/** Connections of this daemon to all other daemons. */
import { WebSocketServer } from "ws";
import { PeerError, describeError } from "../errors";
import type { Membership } from "../membership";
import { type Counters, Event, type Logger } from "../observability";
import type { Handover, PeerIdentity, ServerStatus, SlotLoads } from "../ownership";
import { readArrivals } from "../http";
import type { ObjectAnswer, ObjectCall, ObjectCallHandler } from "../objectStore";
import type { RawSnapshot, SnapshotVersions } from "../snapshots";
import {
  type Address,
  type Clock,
  type DaemonName,
  type ServiceName,
  type WorkHandler,
  isSameRun,
} from "../types";
import { type PeerLink, MAX_MESSAGE_BYTES, completeHandshake, dialPeer, getRun } from "./link";
import type { Hello, PeerMessage, SlotLoad } from "./messages";
import { type WorkChannel, createWorkChannel } from "./workChannel";

const QUERY_TIMEOUT_MS = 500;
const OBJECT_CALL_TIMEOUT_MS = 1500;
const REDIAL_PAUSE_MS = 150;

/** Handlers of messages from other daemons. */
export interface PeerHandlers {
  readonly handleWork: WorkHandler;
  /** Returns whether a request was seen. If not, it must be refused from then on. */
  readonly blockUnlessSeen: (workId: string) => boolean;
  /** Executes a call to the object store on behalf of a daemon that cannot reach it. */
  readonly handleObjectCall: ObjectCallHandler;
  /** Lists the snapshots of this daemon that are newer than the given versions. */
  readonly listNewerThan: (versions: SnapshotVersions) => readonly RawSnapshot[];
  readonly getVersions: () => SnapshotVersions;
  readonly applySnapshots: (snapshots: readonly RawSnapshot[]) => void;
  readonly listOwnStatuses: () => readonly ServerStatus[];
  readonly applyStatuses: (statuses: readonly ServerStatus[]) => void;
  readonly setLeavingVms: (addresses: readonly Address[]) => void;
  readonly receiveHandover: (handover: Handover) => void;
  /** Returns the requests per second of each slot since the last call, and starts a new count. */
  readonly consumeSlotLoads: (service: ServiceName) => SlotLoads;
}

/** Options for {@link createPeers}. */
export interface PeersOptions {
  readonly hello: Hello;
  readonly address: Address;
  readonly membership: Membership;
  readonly handlers: PeerHandlers;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly counters: Counters;
}

/** An open connection to another daemon. */
export interface Peer {
  readonly remote: Hello;
  readonly forward: WorkChannel["forward"];
  /** Returns whether the peer has seen a request. If not, the peer refuses it from then on. */
  blockUnlessSeen(workId: string): Promise<boolean>;
  /** Exchanges snapshots, so that both sides have the newer version of each. */
  syncSnapshots(): Promise<void>;
  /** Executes a call to the object store through the peer. */
  executeObjectCall(call: ObjectCall): Promise<ObjectAnswer>;
  /**
   * Requests the load of the slots that the peer serves as leaseholder, in requests per second since its
   * loads were last read by any daemon.
   */
  queryLoads(service: ServiceName): Promise<readonly SlotLoad[]>;
  /** Sends a message that has no answer. */
  send(message: PeerMessage): void;
}

/** Connections to all other daemons. */
export interface Peers {
  /** Returns the open connection to a daemon, or connects to it. Throws PeerError. */
  connect(daemon: DaemonName): Promise<Peer>;
  /** Sends a message to present daemons, connecting where necessary. Failures are ignored. */
  broadcast(message: PeerMessage, daemons: readonly DaemonName[]): void;
  /** Determines which daemon run listens at an address. */
  identify(address: Address): Promise<PeerIdentity>;
  /** Counts the bytes sent to other daemons so far. */
  countSentBytes(): number;
  /** Counts the connections on which answers to requests are unfinished or bytes are not written yet. */
  countUnfinished(): number;
  /** Reads the messages that have arrived. */
  readArrived(): Promise<void>;
  /** Closes the listener and all connections. */
  close(): Promise<void>;
}

interface PendingAnswer {
  readonly resolve: (message: PeerMessage) => void;
  readonly reject: (error: Error) => void;
}

interface OpenPeer extends Peer {
  readonly link: PeerLink;
}

/**
 * Creates the connections and listens for other daemons.
 *
 * @param options - Identity, address and handlers.
 * @returns The connections.
 * @throws Error when the address cannot be bound.
 */
export async function createPeers(options: PeersOptions): Promise<Peers> {
  const { hello, membership, handlers, clock, logger, counters } = options;
  const dialledPeers = new Map<DaemonName, Promise<OpenPeer>>();
  const openLinks = new Map<PeerLink, WorkChannel>();
  let arrivals = 0;
  let closedLinkBytes = 0;
  const dialFailedAt = new Map<DaemonName, number>();
  const server = await listen(options.address);
  server.on("connection", (socket) => {
    socket.on("error", () => undefined);
    completeHandshake(socket, hello).then(
      (link) => {
        link.sendHello(hello);
        openPeer(link);
      },
      (error: unknown) => {
        counters.increment("peers.refused", describeError(error));
        logger.log(Event.PeerRefused, { error: describeError(error) });
      },
    );
  });

  return {
    connect,
    broadcast: (message, daemons) => {
      for (const daemon of daemons) {
        connect(daemon).then(
          (peer) => {
            peer.send(message);
          },
          () => undefined,
        );
      }
    },
    identify,
    countSentBytes: () =>
      [...openLinks.keys()].reduce((sum, link) => sum + link.countSentBytes(), closedLinkBytes),
    countUnfinished: () =>
      [...openLinks].filter(
        ([link, channel]) => channel.countReceived() > 0 || link.countUnwrittenBytes() > 0,
      ).length,
    readArrived: () => readArrivals(() => arrivals),
    close: async () => {
      for (const link of openLinks.keys()) {
        link.close();
      }
      await new Promise<void>((resolve) => {
        server.close(() => {
          resolve();
        });
      });
    },
  };

  function connect(daemon: DaemonName): Promise<OpenPeer> {
    const existing = dialledPeers.get(daemon);
    if (existing !== undefined) {
      return existing;
    }
    if (clock.now() - (dialFailedAt.get(daemon) ?? Number.NEGATIVE_INFINITY) < REDIAL_PAUSE_MS) {
      return Promise.reject(
        new PeerError("previous connection attempt failed too recently", {
          props: { step: "dial", peer: daemon },
        }),
      );
    }
    const dialling = dial(daemon);
    dialledPeers.set(daemon, dialling);
    dialling.catch(() => {
      dialFailedAt.set(daemon, clock.now());
      dialledPeers.delete(daemon);
      membership.probeNow(daemon);
    });
    return dialling;
  }

  async function dial(daemon: DaemonName): Promise<OpenPeer> {
    const member = membership.get(daemon);
    if (member === undefined) {
      throw new PeerError("daemon is not a known member", { props: { step: "dial", peer: daemon } });
    }
    const link = await dialPeer(member.address, hello);
    link.onClose(() => {
      dialledPeers.delete(daemon);
      membership.probeNow(daemon);
      logger.log(Event.PeerDisconnected, { peer: daemon });
    });
    logger.log(Event.PeerConnected, { peer: daemon, release: link.remote.release });
    const peer = openPeer(link);
    return peer;
  }

  async function identify(address: Address): Promise<PeerIdentity> {
    try {
      const link = await dialPeer(address, hello);
      const run = getRun(link.remote);
      link.close();
      return { kind: "run", run };
    } catch (error) {
      return { kind: isConnectionRefused(error) ? "refused" : "silent" };
    }
  }

  function openPeer(link: PeerLink): OpenPeer {
    const channel = createWorkChannel(link, handlers.handleWork);
    const pendingAnswers = new Map<number, PendingAnswer>();
    let lastQueryId = 0;
    openLinks.set(link, channel);
    link.onClose(() => {
      openLinks.delete(link);
      closedLinkBytes += link.countSentBytes();
      channel.failAll();
      for (const pendingAnswer of pendingAnswers.values()) {
        pendingAnswer.reject(
          new PeerError("peer connection lost", { props: { step: "query", peer: link.remote.daemon } }),
        );
      }
    });
    link.onMessage((message) => {
      arrivals += 1;
      handleMessage(link, channel, pendingAnswers, message);
    });
    link.send({ kind: "statuses", statuses: handlers.listOwnStatuses() });
    return {
      link,
      remote: link.remote,
      forward: (work, body, signal) => channel.forward(work, body, signal),
      blockUnlessSeen: async (workId) => {
        const answer = await requestAnswer((id) => ({ kind: "query", id, workId }));
        return answer.kind !== "queryAnswer" || answer.wasSeen;
      },
      syncSnapshots: async () => {
        const answer = await requestAnswer((id) => ({
          kind: "snapshotSync",
          id,
          versions: handlers.getVersions(),
        }));
        if (answer.kind === "snapshots") {
          handlers.applySnapshots(answer.snapshots);
          const missing = handlers.listNewerThan(answer.versions);
          if (missing.length > 0) {
            link.send({ kind: "snapshotPush", snapshots: missing });
          }
        }
      },
      executeObjectCall: async (call) => {
        const answer = await requestAnswer(
          (id) => ({ kind: "objectCall", id, call }),
          OBJECT_CALL_TIMEOUT_MS,
        );
        return answer.kind === "objectAnswer" ? answer.answer : { kind: "unavailable" };
      },
      queryLoads: async (service) => {
        const answer = await requestAnswer((id) => ({ kind: "loadQuery", id, service }));
        return answer.kind === "loadAnswer" ? answer.loads : [];
      },
      send: (message) => {
        link.send(message);
      },
    };

    function requestAnswer(
      createMessage: (id: number) => PeerMessage,
      timeoutMs: number = QUERY_TIMEOUT_MS,
    ): Promise<PeerMessage> {
      lastQueryId += 1;
      const id = lastQueryId;
      return new Promise<PeerMessage>((resolve, reject) => {
        const cancel = clock.schedule(timeoutMs, () => {
          reject(
            new PeerError("peer did not answer in time", {
              props: { step: "query", peer: link.remote.daemon },
            }),
          );
        });
        pendingAnswers.set(id, {
          resolve: (message) => {
            cancel();
            resolve(message);
          },
          reject: (error) => {
            cancel();
            reject(error);
          },
        });
        link.send(createMessage(id));
      }).finally(() => {
        pendingAnswers.delete(id);
      });
    }
  }

  function handleMessage(
    link: PeerLink,
    channel: WorkChannel,
    pendingAnswers: ReadonlyMap<number, PendingAnswer>,
    message: PeerMessage,
  ): void {
    switch (message.kind) {
      case "query":
        link.send({ kind: "queryAnswer", id: message.id, wasSeen: handlers.blockUnlessSeen(message.workId) });
        break;
      case "snapshotSync":
        link.send({
          kind: "snapshots",
          id: message.id,
          snapshots: handlers.listNewerThan(message.versions),
          versions: handlers.getVersions(),
        });
        break;
      case "loadQuery":
        link.send({
          kind: "loadAnswer",
          id: message.id,
          loads: [...handlers.consumeSlotLoads(message.service)],
        });
        break;
      case "objectCall":
        void handlers.handleObjectCall(message.call).then((answer) => {
          link.send({ kind: "objectAnswer", id: message.id, answer });
        });
        break;
      case "objectAnswer":
      case "queryAnswer":
      case "snapshots":
      case "loadAnswer":
        pendingAnswers.get(message.id)?.resolve(message);
        break;
      case "snapshotPush":
        handlers.applySnapshots(message.snapshots);
        break;
      case "statuses":
        handlers.applyStatuses(message.statuses);
        break;
      case "leavingVms":
        handlers.setLeavingVms(message.addresses);
        break;
      case "handover":
        handlers.receiveHandover(message.handover);
        break;
      case "request":
      case "requestBody":
      case "requestCredit":
      case "requestAborted":
      case "cancel":
      case "answer":
      case "failure":
      case "answerBody":
      case "answerCredit":
      case "answerAborted":
        channel.handleMessage(message);
        break;
      default:
        message satisfies never;
    }
  }
}

function listen(address: Address): Promise<WebSocketServer> {
  const server = new WebSocketServer({
    host: address.host,
    port: address.port,
    perMessageDeflate: false,
    maxPayload: MAX_MESSAGE_BYTES,
  });
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.once("listening", () => {
      server.removeListener("error", reject);
      resolve(server);
    });
  });
}

function isConnectionRefused(error: unknown): boolean {
  return error instanceof PeerError && (error as NodeJS.ErrnoException).code === "ECONNREFUSED";
}

/**
 * Returns whether a peer is a certain daemon run.
 *
 * @param peer - The peer.
 * @param run - The expected run.
 * @returns True when daemon name and incarnation are the same.
 */
export function isPeerRun(peer: Peer, run: { daemon: DaemonName; incarnation: number }): boolean {
  return isSameRun(getRun(peer.remote), run);
}
