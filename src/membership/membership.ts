/** Failure detection and dissemination of member states. No call to the platform is made here. */
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
const SUSPICION_MS = 400;
/** A loop that is late by this much was paused; its timeouts prove nothing. */
const PAUSE_MS = 300;
const RECOVERY_MS = 500;
const INDIRECT_PINGS = 2;
const GOSSIP_PER_DATAGRAM = 6;
const SYNC_MEMBERS_PER_DATAGRAM = 10;
const RECONTACT_EVERY_TICKS = 5;
const DEAD_MEMBER_KEPT_MS = 3_600_000;

/** A daemon named in the settings, to contact at start. */
export interface Seed {
  readonly daemon: DaemonName;
  readonly address: Address;
}

/** What a membership is made from. */
export interface MembershipOptions {
  readonly cluster: string;
  readonly self: DaemonRun & { readonly dataCentre: DataCentreName; readonly address: Address };
  readonly seeds: readonly Seed[];
  readonly clock: Clock;
  readonly transport: DatagramTransport;
  readonly logger: Logger;
  readonly counters: Counters;
  /** Uniform random number in [0, 1). */
  readonly random: () => number;
  /** Digest of the snapshot versions of this daemon. */
  readonly digest: () => number;
}

/** Events of a membership. */
export interface MembershipEvents {
  /** A member's state changed. */
  changed: Member;
  /** A member has other snapshot versions than this daemon. */
  differs: Member;
}

/** The view of all daemons. */
export interface Membership {
  readonly events: Emittery<MembershipEvents>;
  /** This daemon. */
  self(): Member;
  /** Members believed alive or suspected, with this daemon. */
  present(): readonly Member[];
  /** What is known of a daemon. */
  get(daemon: DaemonName): Member | undefined;
  /** Whether this very run of a daemon is believed present. */
  isPresent(run: DaemonRun): boolean;
  /** Pings a member at once, for example after its connection broke. */
  check(daemon: DaemonName): void;
  /** Records proof that a run has stopped. */
  declareDead(run: DaemonRun): void;
  /** Tells others whether this daemon reaches the platform. */
  setPlatformReachable(reachable: boolean): void;
  /** Tells others which configuration this daemon has in force. */
  setConfigurationVersion(version: Version): void;
  /** Tells others that this daemon shuts down. */
  setLeaving(): void;
  /** Tells others that this daemon has stopped all work. */
  leave(): void;
  /** Ends pings and timers. */
  stop(): void;
}

/**
 * Creates the membership and starts its pings.
 *
 * @param options - Identity, ports and seeds.
 * @returns The membership.
 */
export function createMembership(options: MembershipOptions): Membership {
  const { clock, transport, logger, random } = options;
  const events = new Emittery<MembershipEvents>();
  const table = createMemberTable();
  const acks = createAckTracker(clock);
  const suspicions = new Map<DaemonName, CancelTimer>();
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
  let stopped = false;
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
    check: (daemon) => {
      const member = table.get(daemon);
      if (member !== undefined && isPresentMember(member)) {
        probe(member);
      }
    },
    declareDead: (run) => {
      const member = table.get(run.daemon);
      if (member !== undefined && isSameRun(member, run) && isPresentMember(member)) {
        accept({ ...member, status: MemberStatus.Dead });
      }
    },
    setPlatformReachable: (platformReachable) => {
      if (self.platformReachable !== platformReachable) {
        restateSelf({ platformReachable });
      }
    },
    setConfigurationVersion: (configurationVersion) => {
      if (self.configurationVersion !== configurationVersion) {
        restateSelf({ configurationVersion });
      }
    },
    setLeaving: () => {
      restateSelf({ leaving: true });
      announce();
    },
    leave: () => {
      restateSelf({ status: MemberStatus.Left });
      announce();
    },
    stop: () => {
      stopped = true;
      cancelTick();
      for (const cancel of suspicions.values()) {
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
    if (stopped) {
      return;
    }
    if (clock.now() - lastTickAt > PAUSE_MS) {
      recoveringUntil = clock.now() + RECOVERY_MS;
    }
    lastTickAt = clock.now();
    ticks += 1;
    for (const member of choosePingTargets()) {
      probe(member);
    }
    if (ticks % RECONTACT_EVERY_TICKS === 1) {
      recontact();
    }
    cancelTick = clock.schedule(PING_INTERVAL_MS, tick);
  }

  /** One member of this data centre, where leases need fast detection, and one of any. */
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

  /** Contacts an absent seed or dead member, which ends partitions. */
  function recontact(): void {
    forgetOldMembers();
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

  function forgetOldMembers(): void {
    for (const [daemon, since] of deadSince) {
      if (clock.now() - since > DEAD_MEMBER_KEPT_MS) {
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

  function probeIndirectly(member: Member): void {
    const helpers = table
      .all()
      .filter(
        (other) => other.daemon !== self.daemon && other.daemon !== member.daemon && isPresentMember(other),
      );
    const asked = shuffle(random, helpers).slice(0, INDIRECT_PINGS);
    const requestSequence = nextSequence();
    for (const helper of asked) {
      const request = { ...createBase(requestSequence), kind: "pingRequest", target: member.daemon } as const;
      send(helper.address, request);
    }
    send(member.address, { ...createBase(requestSequence), kind: "ping", join: false });
    awaitAck(requestSequence, INDIRECT_ACK_TIMEOUT_MS, () => {
      suspect(member);
    });
  }

  function suspect(member: Member): void {
    const current = table.get(member.daemon);
    if (current === undefined || !isSameRun(current, member) || current.status !== MemberStatus.Alive) {
      return;
    }
    accept({ ...current, status: MemberStatus.Suspect });
  }

  function awaitAck(awaited: number, timeoutMs: number, onMissing: () => void): void {
    acks.expect(awaited, timeoutMs, () => {
      if (!stopped && !wasPaused()) {
        onMissing();
      }
    });
  }

  /** True while the process has not run for long enough since a pause to hear from the others. */
  function wasPaused(): boolean {
    return clock.now() - lastTickAt > PAUSE_MS || clock.now() < recoveringUntil;
  }

  function handleContent(content: Uint8Array): void {
    if (stopped) {
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
    acceptFromSender(datagram.sender);
    for (const statement of datagram.gossip) {
      accept(statement);
    }
    switch (datagram.kind) {
      case "ping":
        send(datagram.sender.address, { ...createBase(datagram.sequence), kind: "ack" });
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
    if (datagram.digest !== options.digest()) {
      void events.emit("differs", datagram.sender);
    }
  }

  /** A datagram from a member shows that it is not dead; telling it so makes it refute. */
  function acceptFromSender(sender: Member): void {
    const known = table.get(sender.daemon);
    if (
      known !== undefined &&
      isSameRun(known, sender) &&
      known.status !== sender.status &&
      !isRefuted(known, sender)
    ) {
      send(sender.address, { ...createBase(nextSequence()), kind: "sync", gossip: [known] });
    }
    accept(sender);
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
    acks.onAck(pingSequence, INDIRECT_ACK_TIMEOUT_MS, () => {
      send(requester.address, { ...createBase(requestSequence), kind: "ack" });
    });
  }

  function accept(statement: Member): void {
    if (statement.daemon === self.daemon) {
      refuteIfWrong(statement);
      return;
    }
    const before = table.get(statement.daemon);
    if (table.merge(statement)) {
      followStatus(statement, before);
    }
  }

  function refuteIfWrong(statement: Member): void {
    if (statement.incarnation > self.incarnation) {
      restateSelf({ incarnation: statement.incarnation + 1, refutation: 0 });
      return;
    }
    const isContradicted =
      statement.incarnation === self.incarnation &&
      statement.status !== MemberStatus.Alive &&
      statement.refutation >= self.refutation &&
      self.status === MemberStatus.Alive;
    if (isContradicted) {
      restateSelf({ refutation: statement.refutation });
    }
  }

  function restateSelf(change: Partial<Member>): void {
    const next = { ...self, ...change };
    self = { ...next, refutation: next.refutation + 1 };
    table.merge(self);
    void events.emit("changed", self);
  }

  function followStatus(member: Member, before: Member | undefined): void {
    suspicions.get(member.daemon)?.();
    suspicions.delete(member.daemon);
    deadSince.delete(member.daemon);
    if (member.status === MemberStatus.Suspect) {
      startSuspicion(member);
    } else if (!isPresentMember(member)) {
      deadSince.set(member.daemon, clock.now());
    }
    if (before?.status !== member.status || !isSameRun(before, member)) {
      logStatus(member);
    }
    void events.emit("changed", member);
  }

  function startSuspicion(member: Member): void {
    const cancel = clock.schedule(SUSPICION_MS, () => {
      if (wasPaused()) {
        startSuspicion(member);
        return;
      }
      accept({ ...member, status: MemberStatus.Dead });
    });
    suspicions.set(member.daemon, cancel);
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

  /** Sends the own state to some members at once, not only with the next pings. */
  function announce(): void {
    const others = table.all().filter((member) => member.daemon !== self.daemon && isPresentMember(member));
    for (const member of shuffle(random, others).slice(0, GOSSIP_PER_DATAGRAM)) {
      sendPing(member.address, false);
    }
  }

  function sendPing(address: Address, join: boolean): number {
    const pingSequence = nextSequence();
    send(address, { ...createBase(pingSequence), kind: "ping", join });
    return pingSequence;
  }

  function sendSync(address: Address): void {
    const members = table.all();
    for (let start = 0; start < members.length; start += SYNC_MEMBERS_PER_DATAGRAM) {
      const gossip = members.slice(start, start + SYNC_MEMBERS_PER_DATAGRAM);
      send(address, { ...createBase(nextSequence()), kind: "sync", gossip });
    }
  }

  function createBase(ofSequence: number) {
    return {
      protocol: MEMBERSHIP_PROTOCOL,
      cluster: options.cluster,
      sequence: ofSequence,
      sender: self,
      digest: options.digest(),
      gossip: table.takeGossip(GOSSIP_PER_DATAGRAM),
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
