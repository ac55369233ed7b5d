/** Failure detection and dissemination of member states. Makes no calls to the platform. */
import Emittery from "emittery";
import { type Counters, Event, type Logger } from "../observability";
import {
  type Address,
  type CancelTimer,
  type Clock,
  type DaemonName,
  type DaemonRun,
  type DataCentreName,
  type Version,
  chooseRandom,
  isSameRun,
  shuffle,
} from "../types";
import { createAckTracker } from "./ackTracker";
import { MEMBERSHIP_PROTOCOL, decodeDatagram, encodeDatagram } from "./codec";
import { createMemberTable } from "./memberTable";
import { type Datagram, type DatagramTransport, type Member, MemberStatus } from "./types";

const PING_INTERVAL_MS = 150;
const ACK_TIMEOUT_MS = 120;
const INDIRECT_ACK_TIMEOUT_MS = 180;
const SUSPICION_TIMEOUT_MS = 400;
/**
 * If the last tick is longer ago than this, the process was paused. Timeouts that expire then do not show
 * that other members have failed.
 */
const PAUSE_THRESHOLD_MS = 300;
/** Time after a pause during which expired timeouts are still ignored. */
const PAUSE_RECOVERY_MS = 500;
const INDIRECT_PING_COUNT = 2;
const MAX_GOSSIP_PER_DATAGRAM = 6;
const MAX_SYNC_MEMBERS_PER_DATAGRAM = 10;
const ABSENT_PING_INTERVAL_TICKS = 5;
const DEAD_MEMBER_RETENTION_MS = 3_600_000;

/** A daemon named in the settings that is contacted at start. */
export interface Seed {
  readonly daemon: DaemonName;
  readonly address: Address;
}

/** Options for {@link createMembership}. */
export interface MembershipOptions {
  readonly cluster: string;
  readonly self: DaemonRun & { readonly dataCentre: DataCentreName; readonly address: Address };
  readonly seeds: readonly Seed[];
  readonly clock: Clock;
  readonly transport: DatagramTransport;
  readonly logger: Logger;
  readonly counters: Counters;
  /** Source of uniform random numbers in [0, 1). */
  readonly random: () => number;
  /** Computes the digest of this daemon's snapshot versions. */
  readonly computeDigest: () => number;
}

/** Events of a membership. */
export interface MembershipEvents {
  /** A member's state changed. */
  changed: Member;
  /** A member's snapshot versions differ from those of this daemon. */
  differs: Member;
}

/** This daemon's view of all daemons in the cluster. */
export interface Membership {
  readonly events: Emittery<MembershipEvents>;
  /** Returns the state of this daemon. */
  self(): Member;
  /** Returns the members that are alive or suspected, including this daemon. */
  present(): readonly Member[];
  /** Returns the known state of a daemon. */
  get(daemon: DaemonName): Member | undefined;
  /** Returns whether this exact run of a daemon is alive or suspected. */
  isPresent(run: DaemonRun): boolean;
  /** Pings a member immediately, for example after its connection broke. */
  probeNow(daemon: DaemonName): void;
  /** Marks a run as dead after proof that it has stopped. */
  declareDead(run: DaemonRun): void;
  /** Announces whether this daemon can reach the platform. */
  setPlatformReachable(reachable: boolean): void;
  /** Announces which configuration version this daemon has in force. */
  setConfigurationVersion(version: Version): void;
  /** Announces that this daemon is shutting down. */
  setLeaving(): void;
  /** Announces that this daemon has stopped all work. */
  leave(): void;
  /** Stops pings and timers. */
  stop(): void;
}

/**
 * Creates the membership and starts pinging.
 *
 * @param options - Identity, seeds, clock and transport.
 * @returns The membership.
 */
export function createMembership(options: MembershipOptions): Membership {
  const { clock, transport, logger, random } = options;
  const events = new Emittery<MembershipEvents>();
  const table = createMemberTable();
  const acks = createAckTracker(clock);
  const suspicionTimers = new Map<DaemonName, CancelTimer>();
  const deadSince = new Map<DaemonName, number>();
  let self: Member = {
    daemon: options.self.daemon,
    incarnation: options.self.incarnation,
    dataCentre: options.self.dataCentre,
    address: options.self.address,
    status: MemberStatus.Alive,
    refutation: 0,
    platformReachable: true,
    configurationVersion: 0,
    leaving: false,
  };
  let sequence = 0;
  let ticks = 0;
  let lastTickAt = clock.now();
  let recoveringUntil = Number.NEGATIVE_INFINITY;
  let isStopped = false;
  let cancelTick: CancelTimer = () => undefined;

  table.merge(self);
  transport.receive(handleContent);
  tick();

  return {
    events,
    self: () => self,
    present: () => table.all().filter(isPresentMember),
    get: (daemon) => table.get(daemon),
    isPresent: (run) => {
      const member = table.get(run.daemon);
      return member !== undefined && isSameRun(member, run) && isPresentMember(member);
    },
    probeNow: (daemon) => {
      const member = table.get(daemon);
      if (member !== undefined && isPresentMember(member)) {
        probe(member);
      }
    },
    declareDead: (run) => {
      const member = table.get(run.daemon);
      if (member !== undefined && isSameRun(member, run) && isPresentMember(member)) {
        applyUpdate({ ...member, status: MemberStatus.Dead });
      }
    },
    setPlatformReachable: (platformReachable) => {
      if (self.platformReachable !== platformReachable) {
        updateSelf({ platformReachable });
      }
    },
    setConfigurationVersion: (configurationVersion) => {
      if (self.configurationVersion !== configurationVersion) {
        updateSelf({ configurationVersion });
      }
    },
    setLeaving: () => {
      updateSelf({ leaving: true });
      announce();
    },
    leave: () => {
      updateSelf({ status: MemberStatus.Left });
      announce();
    },
    stop: () => {
      isStopped = true;
      cancelTick();
      for (const cancel of suspicionTimers.values()) {
        cancel();
      }
    },
  };

  function send(address: Address, datagram: Datagram): void {
    const content = encodeDatagram(datagram);
    options.counters.increment("membership.sentBytes", undefined, content.byteLength);
    transport.send(address, content);
  }

  function tick(): void {
    if (isStopped) {
      return;
    }
    if (clock.now() - lastTickAt > PAUSE_THRESHOLD_MS) {
      recoveringUntil = clock.now() + PAUSE_RECOVERY_MS;
    }
    lastTickAt = clock.now();
    ticks += 1;
    for (const member of choosePingTargets()) {
      probe(member);
    }
    if (ticks % ABSENT_PING_INTERVAL_TICKS === 1) {
      pingAbsentMember();
    }
    cancelTick = clock.schedule(PING_INTERVAL_MS, tick);
  }

  /**
   * Selects one member of this data centre, where leases need fast failure detection, and one other member
   * of any data centre.
   */
  function choosePingTargets(): readonly Member[] {
    const others = table.all().filter((member) => member.daemon !== self.daemon && isPresentMember(member));
    const local = chooseRandom(
      random,
      others.filter((member) => member.dataCentre === self.dataCentre),
    );
    const any = chooseRandom(
      random,
      others.filter((member) => member !== local),
    );
    return [local, any].filter((member) => member !== undefined);
  }

  /** Pings an absent seed or dead member, so that the cluster rejoins after a network partition. */
  function pingAbsentMember(): void {
    removeExpiredMembers();
    const dead = table.all().filter((member) => member.status === MemberStatus.Dead);
    const seeds = options.seeds.filter((seed) => seed.daemon !== self.daemon && !isPresentSeed(seed));
    const target = chooseRandom(random, [...dead, ...seeds]);
    if (target !== undefined) {
      sendPing(target.address, true);
    }
  }

  function isPresentSeed(seed: Seed): boolean {
    const member = table.get(seed.daemon);
    return member !== undefined && isPresentMember(member);
  }

  function removeExpiredMembers(): void {
    for (const [daemon, since] of deadSince) {
      if (clock.now() - since > DEAD_MEMBER_RETENTION_MS) {
        deadSince.delete(daemon);
        table.remove(daemon);
      }
    }
  }

  function probe(member: Member): void {
    awaitAck(sendPing(member.address, false), ACK_TIMEOUT_MS, () => {
      probeIndirectly(member);
    });
  }

  /**
   * Asks other members to ping a member that has not acknowledged a ping, and pings it directly once more.
   * The member becomes suspect if no acknowledgement arrives on either path.
   */
  function probeIndirectly(member: Member): void {
    const helpers = table
      .all()
      .filter(
        (other) => other.daemon !== self.daemon && other.daemon !== member.daemon && isPresentMember(other),
      );
    const selected = shuffle(random, helpers).slice(0, INDIRECT_PING_COUNT);
    const requestSequence = nextSequence();
    for (const helper of selected) {
      const request = {
        ...createDatagramBase(requestSequence),
        kind: "pingRequest",
        target: member.daemon,
      } as const;
      send(helper.address, request);
    }
    send(member.address, { ...createDatagramBase(requestSequence), kind: "ping", join: false });
    awaitAck(requestSequence, INDIRECT_ACK_TIMEOUT_MS, () => {
      markSuspect(member);
    });
  }

  function markSuspect(member: Member): void {
    const current = table.get(member.daemon);
    if (current === undefined || !isSameRun(current, member) || current.status !== MemberStatus.Alive) {
      return;
    }
    applyUpdate({ ...current, status: MemberStatus.Suspect });
  }

  function awaitAck(ackSequence: number, timeoutMs: number, onTimeout: () => void): void {
    acks.notifyOnTimeout(ackSequence, timeoutMs, () => {
      if (!isStopped && !isRecoveringFromPause()) {
        onTimeout();
      }
    });
  }

  /** Returns whether the process was paused and has not run long enough since to hear from the others. */
  function isRecoveringFromPause(): boolean {
    return clock.now() - lastTickAt > PAUSE_THRESHOLD_MS || clock.now() < recoveringUntil;
  }

  function handleContent(content: Uint8Array): void {
    if (isStopped) {
      return;
    }
    const datagram = decodeDatagram(content);
    if (datagram === undefined) {
      options.counters.increment("membership.refused", "malformed");
      return;
    }
    if (datagram.cluster !== options.cluster) {
      options.counters.increment("membership.refused", "cluster");
      return;
    }
    handleDatagram(datagram);
  }

  function handleDatagram(datagram: Datagram): void {
    const isNewSender = table.get(datagram.sender.daemon)?.incarnation !== datagram.sender.incarnation;
    applySenderState(datagram.sender);
    for (const update of datagram.gossip) {
      applyUpdate(update);
    }
    switch (datagram.kind) {
      case "ping":
        send(datagram.sender.address, { ...createDatagramBase(datagram.sequence), kind: "ack" });
        if (datagram.join || isNewSender) {
          sendSync(datagram.sender.address);
        }
        break;
      case "ack":
        acks.receive(datagram.sequence);
        break;
      case "pingRequest":
        pingOnBehalf(datagram.sender, datagram.target, datagram.sequence);
        break;
      case "sync":
        break;
      default:
        datagram satisfies never;
    }
    if (datagram.digest !== options.computeDigest()) {
      void events.emit("differs", datagram.sender);
    }
  }

  /**
   * Applies the sender's own state. A member that sends datagrams is not dead: if the member table has
   * another status for it that it has not refuted yet, that state is sent back, so that the member
   * refutes it.
   */
  function applySenderState(sender: Member): void {
    const known = table.get(sender.daemon);
    if (
      known !== undefined &&
      isSameRun(known, sender) &&
      known.status !== sender.status &&
      !isRefuted(known, sender)
    ) {
      send(sender.address, { ...createDatagramBase(nextSequence()), kind: "sync", gossip: [known] });
    }
    applyUpdate(sender);
  }

  function isRefuted(known: Member, sender: Member): boolean {
    return sender.refutation > known.refutation;
  }

  function pingOnBehalf(requester: Member, target: DaemonName, requestSequence: number): void {
    const member = table.get(target);
    if (member === undefined) {
      return;
    }
    const pingSequence = sendPing(member.address, false);
    acks.notifyOnAck(pingSequence, INDIRECT_ACK_TIMEOUT_MS, () => {
      send(requester.address, { ...createDatagramBase(requestSequence), kind: "ack" });
    });
  }

  function applyUpdate(update: Member): void {
    if (update.daemon === self.daemon) {
      refuteFalseUpdate(update);
      return;
    }
    const before = table.get(update.daemon);
    if (table.merge(update)) {
      applyStatusChange(update, before);
    }
  }

  /**
   * Handles an update about this daemon from another member. If it contradicts this daemon's own state, the
   * incarnation or refutation is raised above that of the update, so that this state supersedes it.
   */
  function refuteFalseUpdate(update: Member): void {
    if (update.incarnation > self.incarnation) {
      updateSelf({ incarnation: update.incarnation + 1, refutation: 0 });
      return;
    }
    const isContradicted =
      update.incarnation === self.incarnation &&
      update.status !== MemberStatus.Alive &&
      update.refutation >= self.refutation &&
      self.status === MemberStatus.Alive;
    if (isContradicted) {
      updateSelf({ refutation: update.refutation });
    }
  }

  function updateSelf(change: Partial<Member>): void {
    const next = { ...self, ...change };
    self = { ...next, refutation: next.refutation + 1 };
    table.merge(self);
    void events.emit("changed", self);
  }

  function applyStatusChange(member: Member, before: Member | undefined): void {
    suspicionTimers.get(member.daemon)?.();
    suspicionTimers.delete(member.daemon);
    deadSince.delete(member.daemon);
    if (member.status === MemberStatus.Suspect) {
      startSuspicionTimer(member);
    } else if (!isPresentMember(member)) {
      deadSince.set(member.daemon, clock.now());
    }
    if (before?.status !== member.status || !isSameRun(before, member)) {
      logStatus(member);
    }
    void events.emit("changed", member);
  }

  function startSuspicionTimer(member: Member): void {
    const cancel = clock.schedule(SUSPICION_TIMEOUT_MS, () => {
      if (isRecoveringFromPause()) {
        startSuspicionTimer(member);
        return;
      }
      applyUpdate({ ...member, status: MemberStatus.Dead });
    });
    suspicionTimers.set(member.daemon, cancel);
  }

  function logStatus(member: Member): void {
    const kinds = {
      alive: Event.MemberAlive,
      suspect: Event.MemberSuspect,
      dead: Event.MemberDead,
      left: Event.MemberDead,
    } as const;
    logger.log(kinds[member.status], {
      member: member.daemon,
      incarnation: member.incarnation,
      status: member.status,
    });
  }

  /** Sends this daemon's state to some members immediately, without waiting for the next tick. */
  function announce(): void {
    const others = table.all().filter((member) => member.daemon !== self.daemon && isPresentMember(member));
    for (const member of shuffle(random, others).slice(0, MAX_GOSSIP_PER_DATAGRAM)) {
      sendPing(member.address, false);
    }
  }

  function sendPing(address: Address, join: boolean): number {
    const pingSequence = nextSequence();
    send(address, { ...createDatagramBase(pingSequence), kind: "ping", join });
    return pingSequence;
  }

  function sendSync(address: Address): void {
    const members = table.all();
    for (let start = 0; start < members.length; start += MAX_SYNC_MEMBERS_PER_DATAGRAM) {
      const gossip = members.slice(start, start + MAX_SYNC_MEMBERS_PER_DATAGRAM);
      send(address, { ...createDatagramBase(nextSequence()), kind: "sync", gossip });
    }
  }

  function createDatagramBase(datagramSequence: number) {
    return {
      protocol: MEMBERSHIP_PROTOCOL,
      cluster: options.cluster,
      sequence: datagramSequence,
      sender: self,
      digest: options.computeDigest(),
      gossip: table.selectGossip(MAX_GOSSIP_PER_DATAGRAM),
    };
  }

  function nextSequence(): number {
    sequence += 1;
    return sequence;
  }
}

function isPresentMember(member: Member): boolean {
  return member.status === MemberStatus.Alive || member.status === MemberStatus.Suspect;
}
