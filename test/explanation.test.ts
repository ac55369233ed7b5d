/** Explanations agree with the dispatcher on the server or the reason code, and asking for one changes nothing. */
import { describe, expect, test } from "vitest";
import { formatExplanation } from "../src/cli/commands/explain";
import {
  type Organisation,
  type PriorityAnnouncement,
  RejectionReason,
  type RouteQuestion,
  parseRouteQuestion,
} from "../src/gateway";
import { createRandom } from "../standins/scenarios/callers";
import { type ExplainedDaemonOptions, createExplainedDaemon, mixedRoute } from "./support/explainedDaemon";
import { SEED } from "./support/gateway";

type Daemon = ReturnType<typeof createExplainedDaemon>;

const BUSY = { running: 4, waiting: 30, slots: 4, slowness: 1 };
const announce = (service: string, share: number): PriorityAnnouncement => ({
  coordinator: "d1",
  sequence: 1,
  round: 7,
  roundLeftMs: 1200,
  services: [{ service, floor: 0.2, shares: [[0, share]] }],
});
const findServer = (daemon: Daemon, name: string) => {
  const server = daemon.findServer(name);
  if (server === undefined) {
    throw new Error(`no server ${name}`);
  }
  return server;
};

const { BackingOff, Cold, Leaving, NoOwner, NoServer, Overloaded, Priority, RateLimited, Unreachable } =
  RejectionReason;

/** What may be the matter with a server. */
const states = {
  fine: () => undefined,
  queueing: ({ loads }, name) => {
    loads.recordLoad(name, { ...BUSY, waiting: 3 });
  },
  overloaded: ({ loads }, name) => {
    loads.recordLoad(name, BUSY);
  },
  backingOff: (daemon, name) => {
    daemon.backOff.record(findServer(daemon, name), 500);
  },
  full: ({ fullServers }, name) => fullServers.add(name),
  unreachable: ({ loads }, name) => {
    loads.recordUnreachable(name);
  },
  outOfPermits: ({ exhausted }, name) => exhausted.add(name),
  cold: ({ directory }, name) => {
    directory.recordCold(name, 9000);
  },
  leaving: ({ directory }, name) => {
    directory.recordLeaving({ name, bornAt: 1 });
  },
  excluded: ({ directory }) => {
    directory.setExcluded(new Set(["a"]));
  },
  withoutShare: ({ ownerShares }, name) => ownerShares.set(name, 0),
  ofScarceService: ({ priorities }) => {
    priorities.apply(announce("desk", 0.000_001));
  },
} satisfies Record<string, (daemon: Daemon, server: string) => unknown>;

const plain = { host: "a.example" };
const owned = { host: "keys.example", key: 7 };
const both = ["s1", "s2"];

/** The last columns: the chosen server or the reason of the refusal, and what excludes the first server. */
const decisionCases: readonly (readonly [
  question: { readonly host: string; readonly key?: number },
  servers: readonly string[],
  state: keyof typeof states,
  expected: string,
  excluded: string | undefined,
])[] = [
  [plain, both, "fine", "s1", undefined],
  [plain, ["s1"], "queueing", "s2", undefined],
  [plain, ["s1"], "backingOff", "s2", BackingOff],
  [plain, both, "backingOff", BackingOff, BackingOff],
  [plain, both, "overloaded", Overloaded, Overloaded],
  [plain, both, "full", Overloaded, Overloaded],
  [plain, both, "unreachable", Unreachable, Unreachable],
  [plain, both, "outOfPermits", RateLimited, RateLimited],
  [plain, both, "cold", Cold, Cold],
  [plain, both, "leaving", NoServer, Leaving],
  [plain, both, "ofScarceService", Priority, undefined],
  [{ host: "none.example" }, [], "fine", NoServer, undefined],
  [owned, ["k1"], "fine", "k1", undefined],
  [{ ...owned, key: 700 }, ["k1"], "fine", NoOwner, undefined],
  [owned, ["k1"], "excluded", NoOwner, Leaving],
  [owned, ["k1"], "withoutShare", Overloaded, Overloaded],
];

describe("the decision of the explanation is that of the dispatcher", () => {
  test.each(decisionCases)("%j: %j %s", async (question, servers, state, expected, excluded) => {
    const daemon = createExplainedDaemon();
    servers.forEach((server) => states[state](daemon, server));
    const { decision, candidates } = daemon.ask(question);
    expect(
      decision.kind === "server" ? decision.server : decision.kind === "refused" ? decision.reason : "early",
    ).toBe(expected);
    expect(await daemon.send(question.host, { key: question.key })).toBe(expected);
    const first = candidates.find(({ server }) => server === servers[0]);
    expect(first?.obstacle?.reason).toBe(excluded);
  });
});

describe("refusals before the dispatch", () => {
  const desk: Organisation = {
    name: "desk",
    priority: 0,
    allowance: { requestsPerSecond: 5, burst: 9 },
  };
  const organisations = { byKey: new Map([["k", desk]]), byName: new Map([["desk", desk]]) };
  const cases: readonly {
    readonly name: string;
    readonly options?: ExplainedDaemonOptions;
    readonly question: Partial<RouteQuestion>;
    readonly expected: number | "server";
  }[] = [
    { name: "no route", question: { host: "unknown.example" }, expected: 404 },
    { name: "no key for a keyed service", question: { host: "keys.example" }, expected: 400 },
    { name: "no organisation", options: { organisations }, question: {}, expected: 401 },
    {
      name: "none needed on a public route",
      options: { organisations },
      question: { path: "/open/x?y=/z/" },
      expected: "server",
    },
    {
      name: "an organisation",
      options: { organisations },
      question: { organisation: "desk" },
      expected: "server",
    },
  ];
  test.each(cases)("$name", ({ options, question, expected }) => {
    const { decision } = createExplainedDaemon(options).ask(question);
    expect(decision.kind === "refusedEarly" ? decision.status : decision.kind).toBe(expected);
  });

  test("the organisation's priority and allowance are stated, and no permit is taken", () => {
    const explanation = createExplainedDaemon({ organisations }).ask({ organisation: "desk" });
    expect(explanation.organisation).toEqual({ name: "desk", requestsPerSecond: 5, burst: 9 });
    expect(explanation.priority).toEqual({ value: 0, source: "organisation", admittedShare: 1 });
  });

  test.each([{ options: {} }, { options: { organisations } }])(
    "an organisation that the configuration lacks is an error",
    ({ options }) => {
      const daemon = createExplainedDaemon(options);
      expect(() => daemon.ask({ organisation: "nobody" })).toThrow(/the configuration in force/);
    },
  );
});

describe("asking changes nothing", () => {
  const hosts = ["a.example", "mixed.example", "keys.example"];

  /** Sends requests while servers are cold, named a limit, and one owner gets a share; returns all that is recorded. */
  async function play(isAsked: boolean, isInContact: boolean) {
    const random = createRandom(SEED);
    const daemon = createExplainedDaemon({ random, isInContact, coldRequestsPerSecond: 8 });
    ["s1", "s2", "k1", "o1"].forEach((name) => {
      daemon.directory.recordCold(name, 4000);
    });
    daemon.rateLimits.record(findServer(daemon, "s2"), { kind: "limited", requestsPerSecond: 5 });
    daemon.ownerShares.set("k1", 0.6);
    const outcomes: string[] = [];
    for (let step = 0; step < 400; step += 1) {
      const host = hosts[step % hosts.length] ?? "";
      const key = step % 100;
      const priority = step % 2;
      if (isAsked) {
        hosts.forEach((each) => daemon.ask({ host: each, key }));
        daemon.ask({ host, key });
      }
      outcomes.push(await daemon.send(host, { key, priority, path: `/${step}` }));
      await daemon.clock.advance(20);
    }
    return {
      outcomes,
      demands: daemon.demands.takeReport(),
      counts: daemon.counters.totals(),
      permits: daemon.countPermits(),
      nextRandom: random(),
    };
  }

  test.each([true, false])("about later requests and their counts, coordinator known: %s", async (known) => {
    const undisturbed = await play(false, known);
    // The comparison says little unless all of these have happened.
    const seen = ["s1", "s2", "k1", "o1", Cold, Overloaded, ...(known ? [] : [Priority])];
    expect(undisturbed.outcomes).toEqual(expect.arrayContaining(seen));
    expect(await play(true, known)).toEqual(undisturbed);
  });

  test("the next service of a rotation is that of the next request, however often it is asked for", async () => {
    const daemon = createExplainedDaemon({ coldRequestsPerSecond: 1000 });
    const question = { host: mixedRoute.host };
    expect(daemon.ask(question).service).toEqual({
      name: "desk",
      isKeyed: false,
      source: "highest-weight",
    });
    await daemon.send(mixedRoute.host);
    for (let step = 0; step < 30; step += 1) {
      const asked = [daemon.ask(question), daemon.ask(question)].map(({ service }) => service?.name);
      const sentTo = await daemon.send(mixedRoute.host);
      const used = sentTo === "o1" ? "other" : "desk";
      expect([...asked, daemon.ask(question).service?.source]).toEqual([used, used, "next"]);
    }
  });
});

describe("the text of an explanation", () => {
  test("names the owner with its assignment, the learnt times and the reason code of event 1831", () => {
    const daemon = createExplainedDaemon();
    states.backingOff(daemon, "k1");
    const text = formatExplanation(daemon.ask({ host: "keys.example", key: 7 }));
    expect(text).toContain("Key: 7, owner k1, assignment version 12, owner share 1.00");
    expect(text).toContain(
      "Decision: refused as not run (status 503, event 1831), reason backing-off for 500 ms",
    );
    const shared = formatExplanation(daemon.ask({}));
    expect(shared).toMatch(/s2 .*all-daemons +3 of 4/);
    expect(shared).toContain("Decision: sent to s");
  });
});

describe("questions", () => {
  const cases: readonly (readonly [query: string, error: RegExp | undefined])[] = [
    ["host=a.example&path=/x%3Fy%3D1&key=65535&organisation=o", undefined],
    ["host=a.example:8080&path=/", undefined],
    ["path=/", /host must be .* got none/],
    ["host=http://a.example&path=/", /host must be/],
    ["host=a.example", /path must begin/],
    ["host=a.example&path=x", /path must begin .* got "x"/],
    ["host=a.example&path=/a%20b", /path must begin/],
    ["host=a.example&path=/&key=65536", /key must be a whole number from 0 to 65535/],
    ["host=a.example&path=/&key=1e3", /key must be/],
    ["host=a.example&path=/&key=", /key must be/],
    ["host=a.example&path=/&organisation=", /organisation must not be empty/],
    ["host=a.example&path=/&pth=/", /unknown parameter "pth"/],
    ["host=a.example&host=b.example&path=/", /host is given more than once/],
    ["host=%ff&path=%", /path must begin/],
  ];
  test.each(cases)("%s", (query, error) => {
    const parse = () => parseRouteQuestion(new URLSearchParams(query));
    if (error === undefined) {
      expect(parse).not.toThrow();
    } else {
      expect(parse).toThrow(error);
    }
  });
});
