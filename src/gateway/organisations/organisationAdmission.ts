/** Authenticates callers by their API keys and holds organisations to their allowances. */
import { type Counters, Event, type Logger } from "../../observability";
import type { Clock } from "../../types";
import type { Permit } from "../admission";
import type { RoutedRequest } from "../dispatchTypes";
import type { CallerFields, ServerProtocol } from "../protocols";
import type { Organisation, OrganisationAllowance, Organisations, Route } from "../types";

const Status = { Unauthorized: 401, TooManyRequests: 429 } as const;
/** Retry times of refused requests are spread over this time, so that not all callers return at once. */
const RETRY_SPREAD_MS = 500;
/** An organisation that was within its allowance for this time is logged again when it exceeds it. */
const LOG_PAUSE_MS = 10_000;

/** Whether the organisation of a request may send it. */
export type OrganisationDecision =
  /** The configuration names no organisations, and header fields are forwarded as they are. */
  | { readonly kind: "unchecked" }
  /** The organisation is undefined on a public route. */
  | { readonly kind: "admitted"; readonly organisation: Organisation | undefined }
  | {
      readonly kind: "refused";
      readonly status: number;
      readonly detail: string;
      /** Only for a request that may be repeated. */
      readonly retryAfterMs?: number;
    };

/** Options for {@link createOrganisationAdmission}. */
export interface OrganisationAdmissionOptions {
  /** Takes a permit of an organisation with an allowance. */
  readonly acquire: (organisation: string, allowance: OrganisationAllowance) => Promise<Permit>;
  readonly clock: Clock;
  readonly random: () => number;
  readonly logger: Logger;
  readonly counters: Counters;
}

/** Decides on the requests of organisations. */
export interface OrganisationAdmission {
  /**
   * Decides whether a request's organisation may send it.
   *
   * @param organisations - Those of the configuration in force; undefined when it names none.
   * @param route - The request's route.
   * @param fields - The caller's header fields.
   * @returns The organisation, or the refusal.
   */
  admit(
    organisations: Organisations | undefined,
    route: Route,
    fields: CallerFields,
  ): Promise<OrganisationDecision>;
}

/** Admission of a listener without organisations. */
export const admitAll: OrganisationAdmission = { admit: () => Promise.resolve({ kind: "unchecked" }) };

/**
 * Replaces what the caller says about its organisation by what its API key says.
 *
 * @param request - The request with the header fields that the caller sent.
 * @param decision - The decision by which it was admitted.
 * @param protocol - Names of the header fields.
 * @returns The request to send, with the priority of its organisation.
 */
export function assignOrganisation(
  request: RoutedRequest,
  decision: Exclude<OrganisationDecision, { kind: "refused" }>,
  protocol: ServerProtocol,
): RoutedRequest {
  if (decision.kind === "unchecked") {
    return request;
  }
  const { organisation } = decision;
  const kept = Object.entries(request.headers).filter(([name]) => !protocol.organisationFields.has(name));
  const named = organisation === undefined ? {} : protocol.createOrganisationFields(organisation.name);
  return {
    ...request,
    priority: organisation?.priority ?? request.priority,
    headers: { ...Object.fromEntries(kept), ...named },
  };
}

/**
 * Creates the admission.
 *
 * @param options - Source of permits, log and counters.
 * @returns The admission.
 */
export function createOrganisationAdmission(options: OrganisationAdmissionOptions): OrganisationAdmission {
  const { clock, random, logger, counters } = options;
  const deniedAtByName = new Map<string, number>();

  return {
    admit: async (organisations, route, fields) => {
      if (organisations === undefined) {
        return { kind: "unchecked" };
      }
      if (route.isPublic === true) {
        return { kind: "admitted", organisation: undefined };
      }
      const organisation = fields.apiKey === undefined ? undefined : organisations.byKey.get(fields.apiKey);
      if (organisation === undefined) {
        return refuseUnauthorized(route, fields);
      }
      if (organisation.allowance === null) {
        return { kind: "admitted", organisation };
      }
      const permit = await options.acquire(organisation.name, organisation.allowance);
      return permit.kind === "granted"
        ? { kind: "admitted", organisation }
        : refuseExcess(organisation.name, permit.waitMs);
    },
  };

  function refuseUnauthorized(route: Route, { requestId, apiKey }: CallerFields): OrganisationDecision {
    const reason = apiKey === undefined ? "missing" : "unknown";
    counters.increment("organisations.unauthorized", reason);
    logger.log(Event.ApiKeyRefused, { requestId, route: route.name, reason });
    return { kind: "refused", status: Status.Unauthorized, detail: `the API key is ${reason}` };
  }

  function refuseExcess(organisation: string, waitMs: number): OrganisationDecision {
    counters.increment("organisations.denied", organisation);
    const now = clock.now();
    if (now - (deniedAtByName.get(organisation) ?? Number.NEGATIVE_INFINITY) > LOG_PAUSE_MS) {
      logger.log(Event.AllowanceExceeded, { organisation, waitMs: Math.round(waitMs) });
    }
    deniedAtByName.set(organisation, now);
    const retryAfterMs = waitMs + random() * RETRY_SPREAD_MS;
    const detail = "the organisation is beyond its allowance";
    return { kind: "refused", status: Status.TooManyRequests, detail, retryAfterMs };
  }
}
