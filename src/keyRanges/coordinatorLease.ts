/** Elects the coordinator, the one daemon that grants keys, by a lease in the object store. */
import { z } from "zod";
import { PlatformUnavailableError, describeError } from "../errors";
import {
  CallPriority,
  Freshness,
  type ObjectStore,
  type StoredObject,
  type Timeline,
  getTimeline,
} from "../objectStore";
import { addressSchema } from "../membership";
import { Event, type Logger } from "../observability";
import { type Address, type Clock, type DaemonRun, type Version, sleep } from "../types";

const LEASE_PREFIX = "coordination/";
const LEASE_PATH = `${LEASE_PREFIX}keys`;
/** Bounds the time without a coordinator after its loss; long enough to outlast two unanswered renewals. */
const LEASE_DURATION_MS = 2000;
const RENEWAL_INTERVAL_MS = 600;
/** Another daemon's clock may run faster than the coordinator's by up to this fraction. */
const MAX_CLOCK_DRIFT = 0.02;
/**
 * Mean time between reads of the lease by a daemon that is not the coordinator. They are cheap because they
 * may be stale. Bounds how late such a daemon sees that the lease has expired.
 */
const OBSERVATION_INTERVAL_MS = 500;
/**
 * How long a confirmation by the coordinator replaces a read of the lease. Outlasts the loss of one of its
 * datagrams, of which it sends two or three a second.
 */
const CONFIRMATION_VALIDITY_MS = 700;
const RETRY_DELAY_MS = 200;
/** A larger jump of the time of day against the monotonic clock may mean that the process was suspended. */
const MAX_CLOCK_JUMP_MS = 250;
/** A coordinator that has resigned does not claim the lease for this time, so that another daemon can. */
const RESIGNATION_PERIOD_MS = 5000;

const leaseSchema = z.object({
  daemon: z.string(),
  incarnation: z.int(),
  term: z.int(),
  renewal: z.int(),
  isResigned: z.boolean(),
  /** Timeline of the store that the lease was written on. */
  timeline: z.int().default(0),
  /** Number of daemons at the last count; null before the first one. */
  daemons: z.int().positive().nullable().default(null),
  /** Address at which the coordinator receives load reports. */
  address: addressSchema,
});
type Lease = z.output<typeof leaseSchema>;

/** Options for {@link createCoordinatorLease}. */
export interface CoordinatorLeaseOptions {
  readonly objects: ObjectStore;
  readonly self: DaemonRun;
  /** Address at which this daemon receives load reports. */
  readonly address: Address;
  /** Whether the whole deployment starts for the first time; otherwise a missing lease was lost with a restore. */
  readonly isFirstStart: boolean;
  readonly clock: Clock;
  /**
   * Returns the time of day in milliseconds; unlike the monotonic clock it also advances while the VM is
   * suspended.
   */
  readonly timeOfDay: () => number;
  readonly random: () => number;
  readonly logger: Logger;
  /** Returns the number of daemons, to be stored with the lease; undefined while it is not known. */
  readonly findCountedSize: () => number | undefined;
  /** Returns how long this daemon leaves a free lease to others before it claims it, in milliseconds. */
  readonly getClaimDelayMs: () => number;
  readonly onElected: () => void;
  readonly onLost: () => void;
}

/** The coordinator lease as known to this daemon. */
export interface CoordinatorLease {
  /** Returns whether this daemon holds the lease and may therefore send grants now. */
  isHeld(): boolean;
  /** Returns the address at which the coordinator receives load reports; undefined while it is not known. */
  findCoordinator(): Address | undefined;
  /** Returns the number of daemons that is stored with the lease; undefined while none is known. */
  findStoredSize(): number | undefined;
  /** Returns the last known version of the lease; 0 while none is known. */
  getVersion(): Version;
  /** Records that the coordinator has just reported holding the lease at this version, to save a read. */
  confirm(version: Version): void;
  /** Returns the time since the last answered renewal was sent, in milliseconds. */
  renewedAgoMs(): number;
  /** Gives up the lease, so that another daemon can claim it before it expires. */
  resign(): Promise<void>;
  /** Takes part in the election until aborted. */
  run(signal: AbortSignal): Promise<void>;
}

interface Observation {
  readonly version: number;
  readonly lease: Lease | undefined;
  readonly timeline: Timeline;
  /**
   * Whether the store has been restored since the lease was written. Another daemon may have claimed it since the
   * copy, and may hold it until it expires.
   */
  readonly isCopy: boolean;
  /**
   * Local time at which this version was first seen or last confirmed by the coordinator; for a write of
   * this daemon, when it was sent.
   */
  readonly observedAt: number;
}

/**
 * Creates this daemon's view of the coordinator lease, by which it takes part in the election.
 *
 * @param options - Object store, clocks and callbacks.
 * @returns The lease; the daemon takes part in the election only while `run` is running.
 */
export function createCoordinatorLease(options: CoordinatorLeaseOptions): CoordinatorLease {
  const { objects, self, clock, random, logger } = options;
  let observed: Observation | undefined;
  let isElected = false;
  let heldUntil = Number.NEGATIVE_INFINITY;
  let renewedAt = Number.NEGATIVE_INFINITY;
  let timeOfDayOffset = options.timeOfDay() - clock.now();
  let noClaimUntil = Number.NEGATIVE_INFINITY;
  let confirmedAt = Number.NEGATIVE_INFINITY;

  return {
    isHeld,
    findCoordinator: () => observed?.lease?.address,
    findStoredSize: () => observed?.lease?.daemons ?? undefined,
    getVersion: () => observed?.version ?? 0,
    confirm: (version) => {
      if (!isElected && observed !== undefined && version >= observed.version) {
        const isCopy = observed.isCopy && version === observed.version;
        observed = { ...observed, version, timeline: getTimeline(version), isCopy, observedAt: clock.now() };
        confirmedAt = clock.now();
      }
    },
    renewedAgoMs: () => clock.now() - renewedAt,
    resign,
    run: async (signal) => {
      await sleep(clock, random() * RETRY_DELAY_MS, signal);
      while (!signal.aborted) {
        const pauseMs = await renewOrObserve();
        await sleep(clock, pauseMs, signal);
      }
    },
  };

  function isHeld(): boolean {
    if (!isElected || clock.now() >= heldUntil) {
      return false;
    }
    if (Math.abs(options.timeOfDay() - clock.now() - timeOfDayOffset) > MAX_CLOCK_JUMP_MS) {
      heldUntil = Number.NEGATIVE_INFINITY;
      return false;
    }
    return true;
  }

  /** Renews or reads the lease once and returns the pause before the next round, in milliseconds. */
  async function renewOrObserve(): Promise<number> {
    try {
      if (isElected) {
        return await renew();
      }
      return await observe();
    } catch (error) {
      if (!(error instanceof PlatformUnavailableError)) {
        logger.log(Event.UnexpectedError, { step: "coordinator lease", error: describeError(error) });
      } else if (isElected) {
        logger.log(Event.CoordinatorLeaseFailed, {
          error: describeError(error),
          renewedAgoMs: Math.round(clock.now() - renewedAt),
          isHeld: isHeld(),
        });
      }
      return RETRY_DELAY_MS * (0.5 + random());
    }
  }

  async function observe(): Promise<number> {
    if (clock.now() - confirmedAt < CONFIRMATION_VALIDITY_MS) {
      return CONFIRMATION_VALIDITY_MS - (clock.now() - confirmedAt);
    }
    // Unlike a read, a list has a version even if there is no lease, which shows a restore of the store.
    const listed = await objects.list(LEASE_PREFIX, CallPriority.Ownership, Freshness.Stale);
    const stored = listed.objects.find((object) => object.path === LEASE_PATH);
    recordObservation(stored, getTimeline(listed.version));
    if (clock.now() < noClaimUntil || !isClaimable()) {
      return OBSERVATION_INTERVAL_MS * (0.7 + 0.6 * random());
    }
    await claim();
    return isElected ? RENEWAL_INTERVAL_MS : RETRY_DELAY_MS;
  }

  function recordObservation(stored: StoredObject | undefined, timeline: Timeline): void {
    const observedAt = clock.now();
    if (stored === undefined) {
      // The lease is never deleted, so its absence shows a restore unless it was never written.
      const wasWritten = observed === undefined ? !options.isFirstStart : observed.version > 0;
      if (observed === undefined || wasWritten || timeline > observed.timeline) {
        const isCopy = wasWritten || observed !== undefined;
        observed = { version: 0, lease: undefined, timeline, isCopy, observedAt };
      }
      return;
    }
    const { version } = stored;
    if (observed === undefined || version > observed.version) {
      const lease = leaseSchema.safeParse(stored.value).data;
      const isCopy = lease !== undefined && lease.timeline < getTimeline(version);
      observed = { version, lease, timeline: getTimeline(version), isCopy, observedAt };
    }
  }

  function isClaimable(): boolean {
    if (observed === undefined) {
      return true;
    }
    const { lease, isCopy, observedAt } = observed;
    const observedForMs = clock.now() - observedAt;
    const expiryMs = LEASE_DURATION_MS * (1 + MAX_CLOCK_DRIFT) + options.getClaimDelayMs();
    if (isCopy) {
      return observedForMs > expiryMs;
    }
    if (lease === undefined || lease.isResigned) {
      return observedForMs >= options.getClaimDelayMs();
    }
    // An earlier process of this daemon must have ended, since otherwise this one could not be running.
    const isOwnPredecessor = lease.daemon === self.daemon && lease.incarnation !== self.incarnation;
    return isOwnPredecessor || observedForMs > expiryMs;
  }

  async function claim(): Promise<void> {
    const base = observed?.version ?? 0;
    const term = (observed?.lease?.term ?? 0) + 1;
    const lease = {
      ...self,
      address: options.address,
      term,
      renewal: 0,
      isResigned: false,
      timeline: observed?.timeline ?? 0,
      daemons: observed?.lease?.daemons ?? null,
    };
    if ((await write(base, lease)) !== "lost") {
      isElected = true;
      logger.log(Event.CoordinatorElected, { term, version: observed?.version });
      options.onElected();
    }
  }

  async function renew(): Promise<number> {
    const { version = 0, lease } = observed ?? {};
    if (lease === undefined) {
      stepDown("lease unknown");
      return 0;
    }
    const result = await write(version, {
      ...lease,
      renewal: lease.renewal + 1,
      timeline: getTimeline(version),
      daemons: options.findCountedSize() ?? lease.daemons,
    });
    switch (result) {
      case "written":
        return RENEWAL_INTERVAL_MS;
      case "recognised":
        return 0;
      case "lost":
        stepDown("another daemon holds the lease, or may have held it");
        return OBSERVATION_INTERVAL_MS;
      default:
        return result satisfies never;
    }
  }

  /**
   * Writes the lease if its version is still `base`. Returns `recognised` when another version is stored that
   * shows that this daemon holds the lease; the next renewal extends it.
   */
  async function write(base: number, lease: Lease): Promise<"written" | "recognised" | "lost"> {
    const sentAt = clock.now();
    const offset = options.timeOfDay() - sentAt;
    const result = await objects.write(LEASE_PATH, lease, base, CallPriority.Ownership);
    if (result.kind === "written") {
      const { version } = result;
      observed = { version, lease, timeline: getTimeline(version), isCopy: false, observedAt: sentAt };
      extendLease(sentAt, offset);
      return "written";
    }
    recordObservation(result.current, observed?.timeline ?? 0);
    const current = leaseSchema.safeParse(result.current?.value).data;
    const isOwn =
      current?.daemon === self.daemon && current.incarnation === self.incarnation && !current.isResigned;
    // In a copy, a lease of this process excludes later holders only while its renewal before the restore lasts.
    const isCurrent = observed?.isCopy === false || isHeld();
    // An earlier write of this process took effect, but its answer was lost.
    return isOwn && isCurrent ? "recognised" : "lost";
  }

  function extendLease(sentAt: number, offset: number): void {
    renewedAt = sentAt;
    heldUntil = sentAt + LEASE_DURATION_MS;
    timeOfDayOffset = offset;
  }

  function stepDown(reason: string): void {
    isElected = false;
    heldUntil = Number.NEGATIVE_INFINITY;
    logger.log(Event.CoordinatorResigned, { reason });
    options.onLost();
  }

  async function resign(): Promise<void> {
    noClaimUntil = clock.now() + RESIGNATION_PERIOD_MS;
    const { version, lease } = observed ?? {};
    if (!isElected || version === undefined || lease === undefined) {
      return;
    }
    stepDown("resigned");
    try {
      await objects.write(LEASE_PATH, { ...lease, isResigned: true }, version, CallPriority.Ownership);
    } catch (error) {
      logger.log(Event.CoordinatorLeaseFailed, { step: "resign", error: describeError(error) });
    }
  }
}
