/** `hemlockbank explain route`: shows where a daemon would send a request now, and why, without sending it. */
import { request } from "undici";
import { HemlockbankError, InputError, describeError } from "../../errors";
import type { ExplainedCandidate, ExplainedDecision, RouteExplanation } from "../../gateway";
import { type Command, ExitCode, type FlagValues, getTextFlag, jsonFlag } from "../command";
import { formatTable, printJson, printLine } from "../output";

const TIMEOUT_MS = 3000;
const HTTP_OK = 200;
const HTTP_BAD_REQUEST = 400;
const STEP = "explain route";

export const explainRouteCommand: Command = {
  name: "explain route",
  arguments: [],
  summary: "Show where a request would go now, and why.",
  flags: {
    host: { type: "string", isRequired: true, help: "host of the request, such as api.example" },
    path: { type: "string", isRequired: true, help: "path of the request, with its query" },
    key: { type: "string", help: "key of the request, from 0 to 65535" },
    organisation: { type: "string", help: "organisation that sends the request" },
    daemon: { type: "string", isRequired: true, help: "metrics address, such as 10.0.0.7:9464" },
    json: jsonFlag,
  },
  run: async (_input, flags) => {
    const explanation = await fetchExplanation(parseAddress(getTextFlag(flags, "daemon")), flags);
    if (flags.json === true) {
      printJson(explanation);
    } else {
      printLine(formatExplanation(explanation));
    }
    return ExitCode.Success;
  },
};

function parseAddress(address: string): string {
  if (!/^[^\s/]+:\d+$/.test(address)) {
    throw new InputError(`--daemon must be HOST:PORT, such as 10.0.0.7:9464; got "${address}"`, {
      props: { step: STEP },
    });
  }
  return address;
}

async function fetchExplanation(address: string, flags: FlagValues): Promise<RouteExplanation> {
  const { status, content } = await fetchPage(address, createQuery(flags));
  if (status === HTTP_OK) {
    return content as RouteExplanation;
  }
  const { error = "" } = (content ?? {}) as { readonly error?: string };
  const props = { step: STEP, peer: address };
  throw status === HTTP_BAD_REQUEST
    ? new InputError(error, { props })
    : new HemlockbankError(`daemon ${address} answered with status ${status}: ${error}`, { props });
}

function createQuery(flags: FlagValues): URLSearchParams {
  const query = new URLSearchParams();
  for (const name of ["host", "path", "key", "organisation"]) {
    if (flags[name] !== undefined) {
      query.set(name, getTextFlag(flags, name));
    }
  }
  return query;
}

async function fetchPage(
  address: string,
  query: URLSearchParams,
): Promise<{ readonly status: number; readonly content: unknown }> {
  try {
    const response = await request(`http://${address}/explain?${query.toString()}`, {
      signal: AbortSignal.timeout(TIMEOUT_MS),
    });
    return { status: response.statusCode, content: await response.body.json() };
  } catch (error) {
    throw new HemlockbankError(
      `request to daemon ${address} failed: ${describeError(error)}; check that --daemon is the metrics address of a running daemon`,
      { props: { step: STEP, peer: address } },
    );
  }
}

/**
 * Formats an explanation as text.
 *
 * @param explanation - The explanation.
 * @returns Lines for the parts that were reached, a table of the servers, and the decision as the last line.
 */
export function formatExplanation(explanation: RouteExplanation): string {
  const { route, organisation, service, priority, key, candidates } = explanation;
  const lines = [`Configuration: version ${explanation.configuration ?? "none"}`];
  if (explanation.isStopping) {
    lines.push(
      "The daemon is stopping: it also refuses requests that may not end before its exit (stopping).",
    );
  }
  if (route !== null) {
    lines.push(`Route: ${route.name} (${route.host}${route.pathPrefix}, ${route.kind})`);
    const weights = route.services.map((each) => `${each.service} ${each.weight}`).join(", ");
    lines.push(`Service: ${service === null ? "none" : `${service.name} (${service.source})`} of ${weights}`);
  }
  if (organisation !== null) {
    const { requestsPerSecond, burst } = organisation;
    const allowance =
      requestsPerSecond === null ? "no limit" : `${requestsPerSecond}/s, burst ${burst ?? 0}, not checked`;
    lines.push(`Organisation: ${organisation.name}, allowance ${allowance}`);
  }
  if (priority !== null) {
    const share = formatShare(priority.admittedShare);
    lines.push(`Priority: ${priority.value} (${priority.source}), admitted share ${share}`);
  }
  if (key !== null) {
    const { owner, assignmentVersion, ownerShare } = key;
    lines.push(
      `Key: ${key.key}, owner ${owner ?? "none"}, assignment version ${assignmentVersion}, owner share ${formatShare(ownerShare)}`,
    );
  }
  if (candidates.length > 0) {
    lines.push(formatCandidates(candidates));
  }
  lines.push(`Decision: ${formatDecision(explanation.decision)}`);
  return lines.join("\n");
}

function formatCandidates(candidates: readonly ExplainedCandidate[]): string {
  return formatTable(
    [
      "backend server",
      "data centre",
      "preferred",
      "processing",
      "learnt from",
      "slots",
      "wait",
      "answer in",
      "failures",
      "load age",
      "limit",
      "excluded by",
    ],
    candidates.map((each) => [
      each.server,
      each.dataCentre,
      each.isPreferred ? "yes" : "no",
      `${each.processingMs} ms`,
      each.learntFrom,
      `${each.effectiveSlots} of ${each.slots}`,
      `${each.expectedWaitMs} ms`,
      `${each.expectedMs} ms`,
      formatShare(each.failureShare),
      each.loadAgeMs === null ? "none" : `${each.loadAgeMs} ms`,
      each.requestsPerSecond === null ? "none" : `${each.requestsPerSecond}/s`,
      each.obstacle === null ? "nothing" : formatObstacle(each.obstacle.reason, each.obstacle.waitMs),
    ]),
  );
}

function formatDecision(decision: ExplainedDecision): string {
  switch (decision.kind) {
    case "server":
      return `sent to ${decision.server}`;
    case "refused":
      return `refused as not run (status 503, event 1831), reason ${formatObstacle(decision.reason, decision.waitMs)}`;
    case "refusedEarly":
      return `refused with status ${decision.status}: ${decision.detail}`;
    default:
      return decision satisfies never;
  }
}

function formatObstacle(reason: string, waitMs: number): string {
  return waitMs > 0 ? `${reason} for ${waitMs} ms` : reason;
}

function formatShare(share: number): string {
  return share.toFixed(2);
}
