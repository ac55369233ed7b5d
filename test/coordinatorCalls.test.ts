/** Calls to the coordinator over a network that loses datagrams. */
import { describe, expect, test } from "vitest";
import { z } from "zod";
import { createCoordinatorCalls } from "../src/gateway";
import { createDatagramChannel } from "../src/membership";
import { createCounters, silentLogger } from "../src/observability";
import { createFakeClock, createProcessClock } from "./support/fakeClock";
import { createFakeNetwork } from "./support/fakeNetwork";

const CALLER = { host: "d", port: 1 };
const COORDINATOR = { host: "d", port: 2 };

/** Creates a caller and a coordinator that answers with the number of answers it has computed. */
function createPair() {
  const clock = createFakeClock();
  const network = createFakeNetwork(clock);
  let answers = 0;
  const [caller] = [CALLER, COORDINATOR].map((address) =>
    createCoordinatorCalls({
      name: "test",
      questionSchema: z.object({}),
      answerSchema: z.object({ count: z.number() }),
      answer: () => {
        answers += 1;
        return { count: answers };
      },
      channel: createDatagramChannel(
        network.createTransport(address, createProcessClock(clock)),
        createCounters("test"),
      ),
      address,
      isCoordinator: () => address === COORDINATOR,
      findCoordinator: () => COORDINATOR,
      clock,
      logger: silentLogger,
    }),
  );
  return { clock, network, caller, countAnswers: () => answers };
}

describe("a call to the coordinator", () => {
  const losses = [
    { lost: "nothing", pairs: [], lostMs: 0, count: 1 },
    { lost: "the call", pairs: ["d:1>d:2"], lostMs: 10, count: 1 },
    { lost: "the reply", pairs: ["d:2>d:1"], lostMs: 10, count: 1 },
    { lost: "every call but the last", pairs: ["d:1>d:2"], lostMs: 30, count: 1 },
  ];
  // Guards against half a second on its own share for one lost datagram, and against permits that are granted twice.
  test.each(losses)("with $lost lost is answered $count times", async ({ pairs, lostMs, count }) => {
    const { clock, network, caller, countAnswers } = createPair();
    pairs.forEach((pair) => network.blockedPairs.add(pair));
    clock.schedule(lostMs, () => {
      network.blockedPairs.clear();
    });
    const answer = caller?.call({}, {});
    await clock.advance(100);
    expect(await answer).toEqual(expect.objectContaining({ count }));
    expect(countAnswers()).toBe(count);
    expect(caller?.canCall()).toBe(true);
  });

  // Guards against a daemon that keeps to its own share for half a second whenever large answers fill its link.
  test("keeps calling after 100 ms without any reply", async () => {
    const { clock, network, caller, countAnswers } = createPair();
    network.blockedPairs.add("d:1>d:2");
    const answer = caller?.call({}, {});
    await clock.advance(100);
    expect(await answer).toBeUndefined();
    expect(caller?.canCall()).toBe(true);
    network.blockedPairs.clear();
    const next = caller?.call({}, {});
    await clock.advance(100);
    expect(await next).toEqual(expect.objectContaining({ count: countAnswers() }));
  });

  // Guards against requests that each wait for a coordinator which is gone, and against a pause that never ends.
  test("stops for 500 ms after 300 ms without any reply", async () => {
    const { clock, network, caller } = createPair();
    network.blockedPairs.add("d:1>d:2");
    for (let elapsed = 0; elapsed < 300; elapsed += 100) {
      expect(caller?.canCall()).toBe(true);
      void caller?.call({}, {});
      await clock.advance(100);
    }
    void caller?.call({}, {});
    await clock.advance(60);
    expect(caller?.canCall()).toBe(false);
    network.blockedPairs.clear();
    await clock.advance(500);
    expect(caller?.canCall()).toBe(true);
    const answer = caller?.call({}, {});
    await clock.advance(100);
    expect(await answer).toEqual(expect.objectContaining({ count: 1 }));
  });
});
