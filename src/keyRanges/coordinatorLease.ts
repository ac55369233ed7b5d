/** Elects the one daemon that grants keys, by a lease in the object API. */
import { z } from "zod";
import { PlatformUnavailableError, describeError } from "../errors";
import { CallPriority, Freshness, type ObjectStore, type StoredObject } from "../objectStore";
import { Event, type Logger } from "../observability";
import { type Address, type Clock, type DaemonRun, type Version, sleep } from "../types";

const LEASE_PATH = "coordination/keys";
/** Bounds the time without a coordinator after its loss; covers two renewals without an answer. */
const LEASE_DURATION_MS = 2000;
const RENEWAL_INTERVAL_MS = 600;
/** A follower's clock may run this much fast against the holder's. */
const MAX_CLOCK_DRIFT = 0.02;
/** Reads that may be stale are cheap; this bounds how late a follower sees that the lease has lapsed. */
const OBSERVATION_INTERVAL_MS = 500;
/** Outlasts one lost datagram of the coordinator, which sends two or three a second. */
const CONFIRMATION_VALIDITY_MS = 700;
const RETRY_DELAY_MS = 200;
/** A jump of the time of day against the monotonic clock by more than this may be a suspended process. */
const MAX_CLOCK_JUMP_MS = 250;
/** A coordinator that resigned leaves the lease to others for this time. */
const RESIGNATION_PERIOD_MS = 5000;

const leaseSchema = z.object({
  daemon: z.string(),
  incarnation: z.int(),
  term: z.int(),
  renewal: z.int(),
  isResigned: z.boolean(),
  /** Where the holder takes reports of the load. */
  address: z.object({ host: z.string(), port: z.int() }),
});
type Lease = z.output<typeof leaseSchema>;

/** What a lease is made from. */
export interface CoordinatorLeaseOptions {
  readonly objects: ObjectStore;
  readonly self: DaemonRun;
  /** Where this daemon takes reports of the load. */
  readonly address: Address;
  readonly clock: Clock;
  /** Time of day in milliseconds; unlike the monotonic clock it also counts while the machine is suspended. */
  readonly timeOfDay: () => number;
  readonly random: () => number;
  readonly logger: Logger;
  /** How long other daemons may claim a free lease first, in milliseconds. */
  readonly getClaimDelayMs: () => number;
  readonly onElected: () => void;
  readonly onLost: () => void;
}

/** The lease as this daemon sees it. */
export interface CoordinatorLease {
  /** Whether this daemon may send grants now. */
  isHeld(): boolean;
  /** Where the coordinator takes reports of the load, as far as this daemon knows. */
  findCoordinator(): Address | undefined;
  /** Version of the lease as this daemon knows it; 0 while it knows none. */
  getVersion(): Version;
  /** Takes note that the coordinator has just said that it holds the lease at this version, which saves a look at it. */
  confirm(version: Version): void;
  /** Time since the last renewal that was answered, in milliseconds. */
  renewedAgoMs(): number;
  /** Gives the lease up, so that another daemon takes it at once. */
  resign(): Promise<void>;
  /** Takes part in the election until aborted. */
  run(signal: AbortSignal): Promise<void>;
}

interface Observation {
  readonly version: number;
  readonly lease: Lease | undefined;
  /** Local time at which this version was first seen, or was last confirmed by its holder. */
  readonly observedAt: number;
}

/**
 * Creates this daemon's part in the election.
 *
 * @param options - Store, clocks and callbacks.
 * @returns The lease.
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
    getVersion: () => observed?.version ?? 0,
    confirm: (version) => {
      if (!isElected && observed !== undefined && version >= observed.version) {
        observed = { ...observed, version, observedAt: clock.now() };
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

  /** Returns the pause until the next turn. */
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
    const stored = await objects.read(LEASE_PATH, CallPriority.Ownership, Freshness.Stale);
    recordObservation(stored);
    if (clock.now() < noClaimUntil || !isClaimable()) {
      return OBSERVATION_INTERVAL_MS * (0.7 + 0.6 * random());
    }
    await claim();
    return isElected ? RENEWAL_INTERVAL_MS : RETRY_DELAY_MS;
  }

  function recordObservation(stored: StoredObject | undefined): void {
    const version = stored?.version ?? 0;
    if (observed === undefined || version > observed.version) {
      const parsed = leaseSchema.safeParse(stored?.value);
      observed = { version, lease: parsed.success ? parsed.data : undefined, observedAt: clock.now() };
    }
  }

  function isClaimable(): boolean {
    const lease = observed?.lease;
    if (observed === undefined || lease === undefined || lease.isResigned) {
      return observed === undefined || clock.now() - observed.observedAt >= options.getClaimDelayMs();
    }
    // An earlier process of this daemon has ended, or this one would not run.
    const isOwnPredecessor = lease.daemon === self.daemon && lease.incarnation !== self.incarnation;
    const lapseMs = LEASE_DURATION_MS * (1 + MAX_CLOCK_DRIFT) + options.getClaimDelayMs();
    return isOwnPredecessor || clock.now() - observed.observedAt > lapseMs;
  }

  async function claim(): Promise<void> {
    const base = observed?.version ?? 0;
    const term = (observed?.lease?.term ?? 0) + 1;
    if (await write(base, { ...self, address: options.address, term, renewal: 0, isResigned: false })) {
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
    if (!(await write(version, { ...lease, renewal: lease.renewal + 1 }))) {
      stepDown("another daemon holds the lease");
      return OBSERVATION_INTERVAL_MS;
    }
    return RENEWAL_INTERVAL_MS;
  }

  /** Returns whether the lease is this daemon's after the write. */
  async function write(base: number, lease: Lease): Promise<boolean> {
    const sentAt = clock.now();
    const offset = options.timeOfDay() - sentAt;
    const result = await objects.write(LEASE_PATH, lease, base, CallPriority.Ownership);
    if (result.kind === "written") {
      observed = { version: result.version, lease, observedAt: sentAt };
      extendLease(sentAt, offset);
      return true;
    }
    observed = undefined;
    recordObservation(result.current);
    const current = leaseSchema.safeParse(result.current?.value).data;
    const isOwn =
      current?.daemon === self.daemon && current.incarnation === self.incarnation && !current.isResigned;
    if (!isOwn) {
      return false;
    }
    // An earlier write of this process took effect without its answer; the next renewal says from when it counts.
    return true;
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
