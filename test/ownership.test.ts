/** At most one owner for a key, and acknowledged assignments that survive: directed cases and random interleavings. */
import fc from "fast-check";
import { describe, expect, test } from "vitest";
import { findDoubleOwners } from "./support/fakeServer";
import { type World, type WorldPlan, createWorld } from "./support/world";

const SEED = 20_261_204;
const SLOT_COUNT = 16;
const SETTLE_MS = 4000;
const STEP_MS = 50;

const plan: WorldPlan = {
  daemons: { n1: "north", n2: "north", s1: "south", s2: "south" },
  servers: {
    "fenced-north": { dataCentre: "north", isFenced: true },
    "fenced-south": { dataCentre: "south", isFenced: true },
    "open-north": { dataCentre: "north", isFenced: false },
    "open-south": { dataCentre: "south", isFenced: false },
  },
  slotCount: SLOT_COUNT,
};

interface DirectedCase {
  readonly name: string;
  readonly fail: (world: World) => Promise<void>;
  /** Slots of the server that must be served again, by any server, after `withinMs`. */
  readonly servedAgain?: { readonly server: string; readonly withinMs: number };
  /** Server whose slots must stay with it. */
  readonly staysWith?: string;
  /** Server whose leaseholder must stay the same. */
  readonly keepsLeaseholder?: string;
}

const directedCases: readonly DirectedCase[] = [
  {
    name: "fenced server killed",
    fail: (world) =>
      act(() => {
        world.server("fenced-north").kill();
      }),
    servedAgain: { server: "fenced-north", withinMs: 2000 },
  },
  {
    name: "fenced server frozen past every timeout and back as if nothing had happened",
    fail: async (world) => {
      world.server("fenced-north").freeze();
      await world.clock.advance(3000);
      world.server("fenced-north").thaw();
    },
    servedAgain: { server: "fenced-north", withinMs: 0 },
  },
  {
    name: "unfenced server frozen with a request in it keeps its slots",
    fail: (world) =>
      act(() => {
        world.server("open-north").freeze();
      }),
    staysWith: "open-north",
  },
  {
    name: "unfenced server killed",
    fail: (world) =>
      act(() => {
        world.server("open-north").kill();
      }),
    servedAgain: { server: "open-north", withinMs: 2000 },
  },
  {
    name: "unfenced server declared stopped by an operator",
    fail: async (world) => {
      world.server("open-north").kill();
      world.server("open-north").cutFrom.add("n1").add("n2").add("s1").add("s2");
      await world.clock.advance(1000);
      const generation = world.leaseOf("open-north")?.lease.generation ?? 0;
      const value = { daemons: [], servers: [{ server: "open-north", generation }] };
      world.table.write("operator/stopped", { writeId: "w", value }, 0);
    },
    servedAgain: { server: "open-north", withinMs: 2000 },
  },
  {
    name: "server restarted cold with empty grants",
    fail: (world) =>
      act(() => {
        world.server("fenced-north").kill();
        world.server("fenced-north").start();
      }),
    staysWith: "fenced-north",
  },
  {
    name: "leaseholder killed",
    fail: (world) =>
      act(() => {
        world.kill(holderOf(world, "fenced-north"));
      }),
    servedAgain: { server: "fenced-north", withinMs: 2000 },
  },
  {
    name: "leaseholder of an unfenced server killed",
    fail: (world) =>
      act(() => {
        world.kill(holderOf(world, "open-north"));
      }),
    servedAgain: { server: "open-north", withinMs: 2000 },
  },
  {
    name: "server and leaseholder killed",
    fail: (world) =>
      act(() => {
        world.kill(holderOf(world, "fenced-north"));
        world.server("fenced-north").kill();
      }),
    servedAgain: { server: "fenced-north", withinMs: 2500 },
  },
  {
    name: "paused leaseholder of an unreachable server proves nothing",
    fail: (world) =>
      act(() => {
        world.pause(holderOf(world, "open-north"));
      }),
    staysWith: "open-north",
    keepsLeaseholder: "open-north",
  },
  {
    name: "leaseholder cut off from platform and peers goes on serving",
    fail: (world) =>
      act(() => {
        const holder = holderOf(world, "open-north");
        world.cutFromPeers(holder, true);
        world.daemon(holder).way.isDown = true;
      }),
    staysWith: "open-north",
  },
  {
    name: "successor that cannot reach a fenced server waits for evidence on the predecessor",
    fail: (world) =>
      act(() => {
        const holder = holderOf(world, "fenced-north");
        world.cutFromPeers(holder, true);
        world.daemon(holder).way.isDown = true;
        for (const name of Object.keys(plan.daemons).filter((each) => each !== holder)) {
          world.server("fenced-north").cutFrom.add(name);
        }
      }),
    staysWith: "fenced-north",
  },
  {
    name: "unfenced server drained while long requests run",
    fail: (world) =>
      act(() => {
        for (const slot of slotsOf(world.owners(), "open-north")) {
          void world.request("n1", slot, 900);
        }
        world.configure((source) => {
          const server = source.servers["open-north"];
          if (server !== undefined) {
            server.state = "draining";
          }
        });
      }),
    servedAgain: { server: "open-north", withinMs: 5000 },
  },
  {
    name: "answer of the conditional update lost",
    fail: (world) =>
      act(() => {
        world.daemon(holderOf(world, "fenced-north")).way.lostAnswers = 1;
        world.server("fenced-north").kill();
      }),
    servedAgain: { server: "fenced-north", withinMs: 2000 },
  },
  {
    name: "conditional update without an answer takes effect a second later",
    fail: (world) =>
      act(() => {
        const { way } = world.daemon(holderOf(world, "fenced-north"));
        way.lateWrites = 1;
        way.lateByMs = 1000;
        world.server("fenced-north").kill();
      }),
    servedAgain: { server: "fenced-north", withinMs: 3000 },
  },
];

describe("at most one owner", () => {
  test.each(directedCases)("$name", async ({ fail, servedAgain, staysWith, keepsLeaseholder }) => {
    const world = await createSettledWorld();
    const before = world.owners();
    const traffic = startTraffic(world);
    await world.clock.advance(500);
    const holderBefore = world.storedLeaseholder(keepsLeaseholder ?? "");
    await fail(world);
    await world.clock.advance(servedAgain?.withinMs ?? 3000);
    if (servedAgain !== undefined) {
      expect(await countServed(world, before, servedAgain.server)).toBe(
        slotsOf(before, servedAgain.server).length,
      );
    }
    if (staysWith !== undefined) {
      expect(slotsOf(world.owners(), staysWith)).toEqual(slotsOf(before, staysWith));
    }
    expect(world.storedLeaseholder(keepsLeaseholder ?? "")).toBe(holderBefore);
    await world.clock.advance(2000);
    traffic.stop();
    expect(findDoubleOwners(world.servers)).toEqual([]);
  });

  test("random faults at random times never make two owners", async () => {
    await fc.assert(
      fc.asyncProperty(
        fc.array(fc.tuple(fc.nat(15), fc.nat(3), fc.integer({ min: 50, max: 1500 })), {
          minLength: 3,
          maxLength: 12,
        }),
        async (faults) => {
          const world = await createSettledWorld();
          const traffic = startTraffic(world);
          for (const [kind, target, waitMs] of faults) {
            injectFault(world, kind, target);
            await world.clock.advance(waitMs);
          }
          repairAll(world);
          await world.clock.advance(3000);
          traffic.stop();
          expect(findDoubleOwners(world.servers)).toEqual([]);
        },
      ),
      { seed: SEED, numRuns: 60 },
    );
  }, 120_000);
});

describe("acknowledged assignments survive", () => {
  const losses: readonly { readonly name: string; readonly daemons: readonly string[] }[] = [
    { name: "any daemon", daemons: ["n1"] },
    { name: "all daemons of a data centre", daemons: ["n1", "n2"] },
    { name: "all daemons at once", daemons: ["n1", "n2", "s1", "s2"] },
  ];

  test.each(losses)("loss of $name", async ({ daemons }) => {
    const world = await createSettledWorld();
    const before = world.owners();
    for (const name of daemons) {
      world.kill(name);
      world.restart(name);
    }
    await world.clock.advance(SETTLE_MS);
    expect(world.owners()).toEqual(before);
  });

  test("a platform outage before, during and after the loss of a daemon", async () => {
    const world = await createSettledWorld();
    const before = world.owners();
    setPlatformDown(world, true);
    world.kill("n1");
    await world.clock.advance(2000);
    expect(await countServed(world, before, "fenced-south")).toBe(slotsOf(before, "fenced-south").length);
    world.restart("n1");
    await world.clock.advance(500);
    setPlatformDown(world, false);
    await world.clock.advance(SETTLE_MS);
    expect(world.owners()).toEqual(before);
  });

  test("steady state writes nothing", async () => {
    const world = await createSettledWorld();
    const before = world.totalWrites();
    await world.clock.advance(30_000);
    expect(world.totalWrites()).toBe(before);
  });
});

describe("places without new work", () => {
  const leavings: readonly { readonly name: string; readonly leave: (world: World) => void }[] = [
    {
      name: "server drained by an operator",
      leave: (world) => {
        setServerState(world, "draining");
      },
    },
    {
      name: "server drained by its own report",
      leave: (world) => {
        world.server("fenced-north").setDraining(true);
      },
    },
    {
      name: "server's VM leaving",
      leave: (world) => {
        world.setLeavingServers(["fenced-north"]);
      },
    },
    {
      name: "data centre out",
      leave: (world) => {
        world.configure((source) => {
          source.data_centres.north = { state: "out" };
        });
      },
    },
    {
      name: "data centre out while its daemons are cut off from the platform",
      leave: (world) => {
        world.daemon("n1").way.isDown = true;
        world.daemon("n2").way.isDown = true;
        world.configure((source) => {
          source.data_centres.north = { state: "out" };
        });
      },
    },
  ];

  test.each(leavings)("$name: nothing new after 3 s", async ({ leave }) => {
    const world = await createSettledWorld();
    const traffic = startTraffic(world);
    leave(world);
    const leftAt = world.clock.now();
    await world.clock.advance(6000);
    traffic.stop();
    const starts = world.server("fenced-north").runs.map((run) => run.startedAt - leftAt);
    expect(Math.max(...starts)).toBeLessThanOrEqual(3000);
    expect(findDoubleOwners(world.servers)).toEqual([]);
  });

  test("handed over leases serve on: no request is refused for long and none runs at two servers", async () => {
    const world = await createSettledWorld();
    const before = world.owners();
    const holder = world.daemon(holderOf(world, "fenced-north"));
    const successor = world.daemon(holder.daemon === "n1" ? "n2" : "n1");
    const traffic = startTraffic(world);
    await holder.leases.handOver(["fenced-north", "open-north"], () => ({
      daemon: successor.daemon,
      incarnation: successor.incarnation,
      address: { host: successor.daemon, port: 1 },
    }));
    await world.clock.advance(500);
    expect(holderOf(world, "fenced-north")).toBe(successor.daemon);
    expect(await countServed(world, before, "fenced-north")).toBe(slotsOf(before, "fenced-north").length);
    traffic.stop();
    expect(world.owners()).toEqual(before);
    expect(findDoubleOwners(world.servers)).toEqual([]);
  });

  test("operators racing out and in: the last accepted configuration decides", async () => {
    const world = await createSettledWorld();
    for (const state of ["out", "in", "out", "in"]) {
      world.configure((source) => {
        source.data_centres.north = { state };
      });
      await world.clock.advance(100);
    }
    await world.clock.advance(SETTLE_MS);
    const before = world.owners();
    expect(await countServed(world, before, "fenced-north")).toBe(slotsOf(before, "fenced-north").length);
    expect(new Set(before).has("")).toBe(false);
  });
});

async function createSettledWorld(): Promise<World> {
  const world = createWorld(plan);
  await world.clock.advance(SETTLE_MS);
  expect(new Set(world.owners()).size).toBe(4);
  return world;
}

/** Requests for every slot in turn, through every daemon in turn. */
function startTraffic(world: World): { stop: () => void } {
  let isStopped = false;
  let count = 0;
  const entries = Object.keys(plan.daemons);
  const next = () => {
    if (isStopped) {
      return;
    }
    for (let each = 0; each < 4; each += 1) {
      count += 1;
      const entry = entries[count % entries.length] ?? "";
      if (world.daemon(entry).isAlive) {
        void world.request(entry, (count * 7) % SLOT_COUNT, 30 + (count % 3) * 60);
      }
    }
    world.clock.schedule(STEP_MS, next);
  };
  next();
  return {
    stop: () => {
      isStopped = true;
    },
  };
}

/** Counts the slots that a server had before and that are served now. */
async function countServed(world: World, before: readonly string[], server: string): Promise<number> {
  const entry = Object.keys(plan.daemons).find((name) => world.daemon(name).isAlive) ?? "";
  const served = new Set<number>();
  for (const slot of slotsOf(before, server)) {
    void world.request(entry, slot, 1).then((end) => {
      if (end === "done") {
        served.add(slot);
      }
    });
  }
  await world.clock.advance(400);
  return served.size;
}

function injectFault(world: World, kind: number, target: number): void {
  const daemon = Object.keys(plan.daemons)[target] ?? "";
  const server = Object.keys(plan.servers)[target] ?? "";
  const faults: readonly (() => void)[] = [
    () => {
      world.pause(daemon);
    },
    () => {
      world.resume(daemon);
    },
    () => {
      world.kill(daemon);
    },
    () => {
      if (!world.daemon(daemon).isAlive) {
        world.restart(daemon);
      }
    },
    () => {
      world.daemon(daemon).way.isDown = true;
    },
    () => {
      world.daemon(daemon).way.isDown = false;
    },
    () => {
      world.daemon(daemon).way.lostAnswers = 2;
    },
    () => {
      Object.assign(world.daemon(daemon).way, { lateWrites: 2, lateByMs: 700 });
    },
    () => {
      world.cutFromPeers(daemon, true);
    },
    () => {
      world.cutFromPeers(daemon, false);
    },
    () => {
      world.server(server).freeze();
    },
    () => {
      world.server(server).thaw();
    },
    () => {
      world.server(server).kill();
    },
    () => {
      if (!world.server(server).isRunning()) {
        world.server(server).start();
      }
    },
    () => world.server(server).cutFrom.add(daemon),
    () => {
      setServerState(world, target % 2 === 0 ? "draining" : "active");
    },
  ];
  faults[kind]?.();
}

function repairAll(world: World): void {
  for (const server of world.servers) {
    server.thaw();
    server.cutFrom.clear();
  }
  for (const name of Object.keys(plan.daemons)) {
    world.resume(name);
    world.cutFromPeers(name, false);
    Object.assign(world.daemon(name).way, { isDown: false, lostAnswers: 0, lateWrites: 0 });
  }
}

function setServerState(world: World, state: string): void {
  world.configure((source) => {
    const server = source.servers["fenced-north"];
    if (server !== undefined) {
      server.state = state;
    }
  });
}

function setPlatformDown(world: World, isDown: boolean): void {
  for (const name of Object.keys(plan.daemons)) {
    world.daemon(name).way.isDown = isDown;
  }
}

function holderOf(world: World, server: string): string {
  return world.leaseOf(server)?.daemon.daemon ?? "";
}

function slotsOf(owners: readonly string[], server: string): readonly number[] {
  return owners.flatMap((owner, slot) => (owner === server ? [slot] : []));
}

function act(call: () => unknown): Promise<void> {
  call();
  return Promise.resolve();
}
