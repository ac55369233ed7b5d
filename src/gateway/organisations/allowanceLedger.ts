/**
 * The coordinator's token buckets, one for each organisation, from which all daemons take permits in batches.
 *
 * Permits that daemons hold unused count towards the bucket's capacity. The requests of any period are then at most the
 * capacity and what the rate adds in it, however long permits are held.
 */
import type { Clock, DaemonName } from "../../types";
import { LOCAL_SHARE } from "../admission";
import type { AllowanceBound, OrganisationAllowance } from "../types";

/** Time after the last grant in which a daemon drops the permits that it has not used. */
export const PERMIT_LIFETIME_MS = 2000;
/** A daemon that was not heard of for this time is taken for cut off; two of its states in a row were lost then. */
export const CONTACT_LOSS_MS = 900;
/** A daemon permits requests on its own for at most this time before it calls the coordinator again. */
const MAX_LOCAL_MS = 600;
/** Part of the burst, and permits beside it, that are left for daemons without one; batches are taken from the rest. */
const RESERVED_SHARE = 0.25;
const RESERVED_PERMITS = 4;
/** Part of what is above the reserve that one batch may take. */
const BATCH_SHARE = 0.25;
/** Part of the excess that is used; the rest covers the random times at which cut-off daemons permit requests. */
const USED_EXCESS = 0.8;
/** Interval at which held permits are added up; in between, grants are added to the sum. */
const SUM_INTERVAL_MS = 50;
/** A denied daemon asks again after this time at the earliest: bounds the calls for an organisation beyond its allowance. */
const MIN_DENIAL_MS = 100;
/** After this time a denial is checked again. */
const MAX_DENIAL_MS = 500;
/** What is known of a daemon is forgotten after this time. */
const FORGET_MS = 60_000;
const MILLISECONDS_PER_SECOND = 1000;

/** A daemon's call for permits of one organisation. */
export interface PermitCall {
  readonly organisation: string;
  /** Unused permits of the daemon. */
  readonly held: number;
  /** Permits that the daemon has dropped unused since its start. */
  readonly dropped: number;
  /** Requests that the daemon has permitted on its own since its start. */
  readonly local: number;
  /** Requests that wait for a permit. */
  readonly waiting: number;
  /** Requests expected within the next {@link MIN_DENIAL_MS}. */
  readonly expected: number;
  /** Permits that the daemon would like to hold. */
  readonly wanted: number;
}

/** Answer to a {@link PermitCall}. */
export interface PermitGrant {
  readonly granted: number;
  /** Time until the daemon may ask again, in milliseconds; null if all waiting requests have their permits. */
  readonly waitMs: number | null;
}

/** Options for {@link createAllowanceLedger}. */
export interface AllowanceLedgerOptions {
  readonly clock: Clock;
  readonly bound: AllowanceBound;
  /** Returns the number of daemons that share an allowance, cut-off ones included. */
  readonly getClusterSize: () => number;
  /** Returns the number of daemons, this one included, that were heard of within {@link CONTACT_LOSS_MS}. */
  readonly countContacts: () => number;
}

/** Buckets of all organisations. */
export interface AllowanceLedger {
  /** Grants permits of an allowance to a daemon. */
  take(daemon: DaemonName, allowance: OrganisationAllowance, call: PermitCall): PermitGrant;
  /** Removes all buckets; new ones are empty. */
  clear(): void;
  /** Removes the buckets of other organisations. */
  retain(isLimited: (organisation: string) => boolean): void;
}

interface DaemonAccount {
  held: number;
  heldUntil: number;
  dropped: number;
  local: number;
  seenAt: number;
  deniedAt: number;
}

interface Bucket {
  /** Negative after requests that daemons have permitted on their own. */
  level: number;
  updatedAt: number;
  heldSum: number;
  summedAt: number;
  deniedDaemons: number;
  readonly accounts: Map<DaemonName, DaemonAccount>;
}

/**
 * Returns the permits that a bucket and the daemons may hold together: the burst, and half of the excess that is left
 * when daemons permit requests on their own before the coordinator has noticed that they are cut off.
 *
 * @param allowance - The organisation's allowance.
 * @param bound - Allowed excess.
 * @returns The capacity, at least 1.
 */
export function computeCapacity(allowance: OrganisationAllowance, bound: AllowanceBound): number {
  const { requestsPerSecond, burst } = allowance;
  const windowRequests = (requestsPerSecond * bound.windowMs) / MILLISECONDS_PER_SECOND + burst;
  const excess = windowRequests * (bound.excess - 1) + bound.slack;
  const unnoticed = (requestsPerSecond * LOCAL_SHARE * CONTACT_LOSS_MS) / MILLISECONDS_PER_SECOND;
  const margin = excess - unnoticed;
  return Math.max(1, burst + (margin > 0 ? margin * USED_EXCESS : margin));
}

/**
 * Creates a ledger whose buckets are empty, since another coordinator may just have given out their permits.
 *
 * @param options - Clock, bound and number of daemons.
 * @returns The ledger.
 */
export function createAllowanceLedger(options: AllowanceLedgerOptions): AllowanceLedger {
  const { clock, bound } = options;
  const buckets = new Map<string, Bucket>();

  return {
    take: (daemon, allowance, call) => {
      const now = clock.now();
      const bucket = getBucket(call.organisation, now);
      const capacity = computeCapacity(allowance, bound);
      const clusterSize = Math.max(1, options.getClusterSize(), options.countContacts());
      const cutOff = clusterSize - options.countContacts();
      // Daemons that are cut off use their own shares, which the coordinator must not give out again.
      const rate = allowance.requestsPerSecond * (1 - (LOCAL_SHARE * cutOff) / clusterSize);
      const share = (allowance.requestsPerSecond * LOCAL_SHARE) / clusterSize;
      const account = settleAccount(bucket, daemon, call, share, now);
      refill(bucket, rate, capacity, now);
      const available = Math.max(0, Math.floor(bucket.level));
      const needed = Math.min(call.waiting + call.expected, available);
      const reserved = Math.min(allowance.burst, allowance.burst * RESERVED_SHARE + RESERVED_PERMITS);
      const spare = Math.max(0, available - needed - reserved) * BATCH_SHARE;
      const batch = Math.min(Math.max(0, call.wanted - call.held - needed), Math.ceil(spare));
      const granted = needed + batch;
      bucket.level -= granted;
      const unused = granted - Math.min(granted, call.waiting);
      account.held = call.held + unused;
      account.heldUntil = now + PERMIT_LIFETIME_MS;
      bucket.heldSum += account.held;
      if (granted >= call.waiting) {
        return { granted, waitMs: null };
      }
      account.deniedAt = now;
      return { granted, waitMs: computeDenialMs(bucket, rate) };
    },
    clear: () => {
      buckets.clear();
    },
    retain: (isLimited) => {
      [...buckets.keys()]
        .filter((organisation) => !isLimited(organisation))
        .forEach((organisation) => buckets.delete(organisation));
    },
  };

  function getBucket(organisation: string, now: number): Bucket {
    let bucket = buckets.get(organisation);
    if (bucket === undefined) {
      bucket = {
        level: 0,
        updatedAt: now,
        heldSum: 0,
        summedAt: now,
        deniedDaemons: 0,
        accounts: new Map(),
      };
      buckets.set(organisation, bucket);
    }
    return bucket;
  }

  function refill(bucket: Bucket, rate: number, capacity: number, now: number): void {
    if (now - bucket.summedAt >= SUM_INTERVAL_MS) {
      sumAccounts(bucket, now);
    }
    const gathered = bucket.level + ((now - bucket.updatedAt) * rate) / MILLISECONDS_PER_SECOND;
    bucket.level = Math.min(gathered, Math.max(0, capacity - bucket.heldSum));
    bucket.updatedAt = now;
  }

  function sumAccounts(bucket: Bucket, now: number): void {
    bucket.heldSum = 0;
    bucket.deniedDaemons = 0;
    bucket.summedAt = now;
    for (const [daemon, account] of bucket.accounts) {
      bucket.heldSum += account.heldUntil > now ? account.held : 0;
      bucket.deniedDaemons += now - account.deniedAt < 2 * MAX_DENIAL_MS ? 1 : 0;
      if (now - account.seenAt > FORGET_MS) {
        bucket.accounts.delete(daemon);
      }
    }
  }

  /** Takes over what a daemon says it holds, returns what it has dropped, and debits what it has permitted on its own. */
  function settleAccount(
    bucket: Bucket,
    daemon: DaemonName,
    call: PermitCall,
    share: number,
    now: number,
  ): DaemonAccount {
    const { local, dropped } = call;
    const account = bucket.accounts.get(daemon) ?? {
      held: 0,
      heldUntil: 0,
      // What it permitted before this coordinator heard of it was reserved for it, or is the debt of an earlier term.
      local,
      dropped,
      seenAt: now,
      deniedAt: Number.NEGATIVE_INFINITY,
    };
    bucket.accounts.set(daemon, account);
    bucket.heldSum -= account.heldUntil > now ? account.held : 0;
    // Beyond this time the daemon was known to be cut off, and its share was reserved.
    const unreservedMs = CONTACT_LOSS_MS + MAX_LOCAL_MS;
    const maxDebt = 1 + (share * unreservedMs) / MILLISECONDS_PER_SECOND;
    bucket.level -= Math.min(Math.max(0, local - account.local), maxDebt);
    bucket.level += Math.min(Math.max(0, dropped - account.dropped), Math.max(0, account.held - call.held));
    account.local = local;
    account.dropped = dropped;
    account.seenAt = now;
    return account;
  }

  /** Returns the time in which the rate provides one permit for each daemon that is denied. */
  function computeDenialMs(bucket: Bucket, rate: number): number {
    const missing = Math.max(1, bucket.deniedDaemons) - bucket.level;
    const waitMs = (missing * MILLISECONDS_PER_SECOND) / Math.max(rate, Number.EPSILON);
    return Math.min(MAX_DENIAL_MS, Math.max(MIN_DENIAL_MS, waitMs));
  }
}
