/** API keys: who is admitted, and what backend servers learn about the organisation of a request. */
import { request } from "undici";
import { afterAll, beforeAll, describe, expect, test } from "vitest";
import { wireCallerProtocol, wireServerProtocol } from "../platform/protocols";
import {
  type CallerListener,
  type Organisation,
  type Permit,
  type RoutedRequest,
  type RoutingConfiguration,
  createCallerListener,
  createOrganisationAdmission,
  createRouteMatcher,
} from "../src/gateway";
import { type EventKind, Event, createCounters, createMetrics, silentLogger } from "../src/observability";
import { systemClock } from "../src/types";
import { findFreePort } from "../standins/scenarios/ports";
import { createRoute } from "./support/gateway";

const HOST = "127.0.0.1";
const limits = { maxHeaderBytes: 1000, maxBodyBytes: 1000, headerTimeoutMs: 1000, idleTimeoutMs: 1000 };
const north: Organisation = { name: "north", priority: 0, allowance: { requestsPerSecond: 5, burst: 5 } };
const south: Organisation = { name: "south", priority: null, allowance: null };

function createConfiguration(keys: Readonly<Record<string, Organisation>> | undefined): RoutingConfiguration {
  const routes = [
    createRoute({ priority: 2 }),
    createRoute({ name: "open", pathPrefix: "/open/", priority: 2, isPublic: true }),
  ];
  const byKey = new Map(Object.entries(keys ?? {}));
  const byName = new Map([...byKey.values()].map((each) => [each.name, each]));
  return {
    version: 1,
    routes,
    services: new Map(),
    limits,
    organisations: keys === undefined ? undefined : { byKey, byName },
  };
}

describe("callers of organisations", () => {
  const dispatched: RoutedRequest[] = [];
  const logged: EventKind[] = [];
  const counters = createCounters("test");
  let configuration = createConfiguration(undefined);
  let permit: Permit = { kind: "granted" };
  let port = 0;
  let listener: CallerListener | undefined;

  beforeAll(async () => {
    port = await findFreePort();
    const logger = { ...silentLogger, log: (kind: EventKind) => logged.push(kind) };
    listener = await createCallerListener({
      address: { host: HOST, port },
      findActive: () => ({ configuration, matcher: createRouteMatcher(configuration) }),
      dispatch: (routed) => {
        dispatched.push(routed);
        const inputs = {
          server: undefined,
          assignmentVersion: 0,
          expectedWaitMs: undefined,
          loadAgeMs: undefined,
        };
        return Promise.resolve({ kind: "notRun", reason: "no-server", retryAfterMs: 1, inputs });
      },
      organisationAdmission: createOrganisationAdmission({
        acquire: () => Promise.resolve(permit),
        clock: systemClock,
        random: () => 0,
        logger,
        counters,
      }),
      callerProtocol: wireCallerProtocol,
      serverProtocol: wireServerProtocol,
      clock: systemClock,
      logger,
      metrics: createMetrics(counters),
    });
  });
  afterAll(async () => {
    await listener?.close();
  });

  async function send(path: string, headers: Readonly<Record<string, string>>) {
    dispatched.splice(0);
    const answer = await request(`http://${HOST}:${port}${path}`, {
      headers: { host: "a.example", "request-id": "q1", ...headers },
      reset: true,
    });
    await answer.body.dump();
    const [routed] = dispatched;
    return {
      status: answer.statusCode,
      retryAfter: answer.headers["retry-after"],
      tenant: routed?.headers["tenant-id"],
      authorization: routed?.headers.authorization,
      priority: routed?.priority,
    };
  }

  const keys = { k1: north, k2: south };
  const forged = { "tenant-id": "south", "Tenant-ID": "south" };
  const admitted = { status: 503, authorization: undefined, retryAfter: "0.001" };
  const refused = {
    status: 401,
    retryAfter: undefined,
    tenant: undefined,
    authorization: undefined,
    priority: undefined,
  };
  const cases: readonly (readonly [
    name: string,
    path: string,
    headers: Readonly<Record<string, string>>,
    expected: Awaited<ReturnType<typeof send>>,
  ])[] = [
    ["a known key", "/", { authorization: "Bearer k1" }, { ...admitted, tenant: "north", priority: 0 }],
    [
      "the scheme in another case, and a name that the caller claims",
      "/",
      { authorization: "bearer  k1", ...forged },
      { ...admitted, tenant: "north", priority: 0 },
    ],
    [
      "an organisation without a priority",
      "/",
      { authorization: "Bearer k2" },
      { ...admitted, tenant: "south", priority: 2 },
    ],
    ["no key", "/", {}, refused],
    ["an unknown key", "/", { authorization: "Bearer k3" }, refused],
    ["a key with something after it", "/", { authorization: "Bearer k1 k2" }, refused],
    ["another scheme", "/", { authorization: "Basic k1" }, refused],
    ["a name of Object's prototype", "/", { authorization: "Bearer constructor" }, refused],
    [
      "a public route",
      "/open/x",
      { authorization: "Bearer k1", ...forged },
      { ...admitted, tenant: undefined, priority: 2 },
    ],
  ];

  // Guards against requests that reach a server without a valid key, or under the name of another organisation.
  test.each(cases)("with %s", async (_name, path, headers, expected) => {
    configuration = createConfiguration(keys);
    permit = { kind: "granted" };
    expect(await send(path, headers)).toEqual(expected);
  });

  test("without organisations header fields are forwarded as they are", async () => {
    configuration = createConfiguration(undefined);
    expect(await send("/", { authorization: "Basic x", "tenant-id": "t" })).toEqual({
      status: 503,
      retryAfter: "0.001",
      tenant: "t",
      authorization: "Basic x",
      priority: 2,
    });
  });

  test("keys are added and removed with the configuration in force", async () => {
    configuration = createConfiguration({ k2: south });
    const before = await send("/", { authorization: "Bearer k9" });
    configuration = createConfiguration({ k9: south });
    const added = await send("/", { authorization: "Bearer k9" });
    const removed = await send("/", { authorization: "Bearer k2" });
    expect([before.status, added.status, removed.status]).toEqual([401, 503, 401]);
  });

  test("a request beyond the allowance gets 429 with the time of the next permit, and is logged and counted", async () => {
    configuration = createConfiguration(keys);
    permit = { kind: "denied", waitMs: 250 };
    const { status, retryAfter } = await send("/", { authorization: "Bearer k1" });
    expect({ status, retryAfter, sent: dispatched.length }).toEqual({
      status: 429,
      retryAfter: "0.250",
      sent: 0,
    });
    const unlimited = await send("/", { authorization: "Bearer k2" });
    expect(unlimited.status).toBe(503);
    expect(logged).toContain(Event.AllowanceExceeded);
    expect(logged).toContain(Event.ApiKeyRefused);
    expect(counters.totals()).toMatchObject({
      "organisations.denied:north": 1,
      "organisations.unauthorized:missing": expect.any(Number) as number,
    });
  });
});
