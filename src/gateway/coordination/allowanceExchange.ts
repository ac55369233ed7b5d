/**
 * Permits for the requests of organisations. A daemon takes them from the coordinator in batches, for several
 * organisations in one call, so that most requests wait for no message. Without an answer it keeps to a part of an
 * equal share.
 */
import { z } from "zod";
import type { Counters } from "../../observability";
import type { DaemonName } from "../../types";
import { type Permit, createLocalShares } from "../admission";
import { type AllowanceLedger, type PermitCall, createPermitStock } from "../organisations";
import type { OrganisationAllowance } from "../types";
import { type CoordinatorAccess, createCoordinatorCalls, createCoordinatorTerm } from "./coordinatorCalls";

/**
 * A request is not kept waiting longer for a permit: a fraction of the objectives of callers, and longer than large
 * answers fill the link of a small VM.
 */
const PERMIT_TIMEOUT_MS = 120;
/** Limits what one daemon with a wrong view can ask for. */
const MAX_COUNT = 100_000;

const countSchema = z.int().nonnegative().max(MAX_COUNT);
/** Arrays in place of objects keep the messages short; a message has up to 24 of them. */
const callSchema = z.tuple([
  z.string().min(1),
  countSchema,
  z.int().nonnegative(),
  z.int().nonnegative(),
  countSchema,
  countSchema,
  countSchema,
]);
const questionSchema = z.object({ daemon: z.string().min(1), calls: z.array(callSchema) });
const answerSchema = z.object({
  /** Null for an organisation that the coordinator's configuration does not limit, or not name yet. */
  grants: z.array(z.tuple([countSchema, z.number().nonnegative().nullable()]).nullable()),
});

/** Options for {@link createAllowanceExchange}. */
export interface AllowanceExchangeOptions extends CoordinatorAccess {
  readonly daemon: DaemonName;
  readonly ledger: AllowanceLedger;
  /** Returns the allowance in force; null for none, and undefined for an organisation that is not known. */
  readonly findAllowance: (organisation: string) => OrganisationAllowance | null | undefined;
  /** Returns the number of daemons that share an allowance, cut-off ones included. */
  readonly getClusterSize: () => number;
  readonly random: () => number;
  readonly counters: Counters;
}

/** Gets permits for the requests of organisations. */
export interface AllowanceExchange {
  /** Takes a permit; waits for {@link PERMIT_TIMEOUT_MS} at most. */
  acquire(organisation: string, allowance: OrganisationAllowance): Promise<Permit>;
  /** Removes the state of organisations without an allowance. */
  evict(): void;
}

interface Waiter {
  readonly allowance: OrganisationAllowance;
  readonly settle: (permit: Permit) => void;
}

/**
 * Creates the exchange of one daemon, which answers other daemons while it is the coordinator.
 *
 * @param options - Channel to the other daemons, buckets and election.
 * @returns The exchange.
 */
export function createAllowanceExchange(options: AllowanceExchangeOptions): AllowanceExchange {
  const { clock, ledger, counters } = options;
  const stock = createPermitStock(clock);
  const localShares = createLocalShares(clock, options.random);
  const waitersByName = new Map<string, Set<Waiter>>();
  const term = createCoordinatorTerm(options.isCoordinator, () => {
    ledger.clear();
  });
  const calls = createCoordinatorCalls({
    ...options,
    name: "allowance",
    timeoutMs: PERMIT_TIMEOUT_MS,
    questionSchema,
    answerSchema,
    answer: ({ daemon, calls: asked }) => {
      counters.increment("organisations.calls_answered");
      term.ensureCurrent();
      const grants = asked.map(decodeCall).map((call) => {
        const allowance = options.findAllowance(call.organisation) ?? null;
        if (allowance === null) {
          return null;
        }
        const { granted, waitMs } = ledger.take(daemon, allowance, call);
        return [granted, waitMs] satisfies [number, number | null];
      });
      return { grants };
    },
  });

  return {
    acquire: async (organisation, allowance) => {
      const permit = await getPermit(organisation, allowance);
      counters.increment("organisations.permits", permit.kind);
      return permit;
    },
    evict: () => {
      const isLimited = (organisation: string) => (options.findAllowance(organisation) ?? null) !== null;
      ledger.retain(isLimited);
      stock.retain(isLimited);
      localShares.retain(isLimited);
      term.update();
    },
  };

  function getPermit(organisation: string, allowance: OrganisationAllowance): Permit | Promise<Permit> {
    stock.recordRequest(organisation, allowance);
    if (stock.use(organisation)) {
      if (!options.isCoordinator() && calls.canCall() && stock.isLow(organisation)) {
        void call(organisation);
      }
      return { kind: "granted" };
    }
    if (options.isCoordinator()) {
      return takeFromLedger(organisation, allowance);
    }
    const denialMs = stock.getDenialMs(organisation);
    if (denialMs > 0) {
      return { kind: "denied", waitMs: denialMs };
    }
    return calls.canCall() ? waitForPermit(organisation, allowance) : takeLocally(organisation, allowance);
  }

  function takeFromLedger(organisation: string, allowance: OrganisationAllowance): Permit {
    term.ensureCurrent();
    const { granted, waitMs } = ledger.take(options.daemon, allowance, {
      organisation,
      held: 0,
      dropped: 0,
      local: 0,
      waiting: 1,
      expected: 0,
      wanted: 0,
    });
    return granted > 0 ? { kind: "granted" } : { kind: "denied", waitMs: waitMs ?? 0 };
  }

  function takeLocally(organisation: string, { requestsPerSecond }: OrganisationAllowance): Permit {
    const permit = localShares.take(organisation, requestsPerSecond, options.getClusterSize());
    counters.increment("organisations.own_share", permit.kind);
    if (permit.kind === "granted") {
      stock.recordLocal(organisation);
    }
    return permit;
  }

  function waitForPermit(organisation: string, allowance: OrganisationAllowance): Promise<Permit> {
    const waiters = waitersByName.get(organisation) ?? new Set();
    waitersByName.set(organisation, waiters);
    return new Promise((resolve) => {
      const settle = (permit: Permit) => {
        cancel();
        waiters.delete(waiter);
        resolve(permit);
      };
      const waiter = { allowance, settle };
      const cancel = clock.schedule(PERMIT_TIMEOUT_MS, () => {
        settle(takeLocally(organisation, allowance));
      });
      waiters.add(waiter);
      if (!stock.isAsking(organisation)) {
        void call(organisation);
      }
    });
  }

  async function call(organisation: string): Promise<void> {
    const asked = stock.startCalls(organisation, waitersByName.get(organisation)?.size ?? 0);
    const answer = await calls.call(
      { daemon: options.daemon, calls: asked.map(encodeCall) },
      { organisation },
    );
    const grants = answer?.grants.map((grant) =>
      grant === null ? null : { granted: grant[0], waitMs: grant[1] },
    );
    stock.finishCalls(asked, grants);
    asked.forEach((each, index) => {
      serveWaiters(each.organisation, (grants?.[index] ?? null) !== null);
    });
    // Requests that came after the call was sent have not been counted in it.
    asked
      .filter((each) => (waitersByName.get(each.organisation)?.size ?? 0) > 0)
      .filter((each) => !stock.isAsking(each.organisation))
      .forEach((each) => void call(each.organisation));
  }

  /** Gives the permits to the requests that wait for them, in the order of their arrival. */
  function serveWaiters(organisation: string, isAnswered: boolean): void {
    for (const waiter of [...(waitersByName.get(organisation) ?? [])]) {
      if (stock.use(organisation)) {
        waiter.settle({ kind: "granted" });
      } else if (stock.getDenialMs(organisation) > 0) {
        waiter.settle({ kind: "denied", waitMs: stock.getDenialMs(organisation) });
      } else if (!isAnswered) {
        waiter.settle(takeLocally(organisation, waiter.allowance));
      }
    }
  }
}

function encodeCall(call: PermitCall): z.output<typeof callSchema> {
  const { organisation, held, dropped, local, waiting, expected, wanted } = call;
  return [organisation, held, dropped, local, waiting, expected, wanted];
}

function decodeCall(fields: z.output<typeof callSchema>): PermitCall {
  const [organisation, held, dropped, local, waiting, expected, wanted] = fields;
  return { organisation, held, dropped, local, waiting, expected, wanted };
}
