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
    { lost: "everything", pairs: ["d:1>d:2"], lostMs: 60, count: undefined },
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
    expect(await answer).toEqual(count === undefined ? undefined : expect.objectContaining({ count }));
    expect(countAnswers()).toBe(count ?? 0);
    expect(caller?.canCall()).toBe(count !== undefined);
  });
});
