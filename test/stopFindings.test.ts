/**
 * Guards against giving the keys of a backend server to another one while requests may still run at the
 * first. A server is idle only when its leaseholders have stopped and its process has ended or, if it is
 * fenced, its grants have lapsed.
 */
import { describe, expect, test } from "vitest";
import type { Configuration } from "../src/configuration";
import type { Membership } from "../src/membership";
import {
  type AssignedServer,
  GRANT_VALIDITY_MS,
  type StopEvidence,
  createStopSearch,
} from "../src/ownership";
import type { SnapshotStore } from "../src/snapshots";
import { createFakeClock } from "./support/fakeClock";

const SERVICE = "desk";

const leaseholder = { daemon: "w1", incarnation: 7, address: { host: "10.0.0.1", port: 7000 } };
const server = {
  name: "desk-west",
  dataCentre: "west",
  generation: 1,
  leaseholder,
  predecessors: [],
} as unknown as AssignedServer;

interface StopCase {
  readonly name: string;
  readonly isFenced: boolean;
  readonly isLeaseholderStopped: boolean;
  readonly refusesConnections: boolean;
  /** Whether the server is idle as soon as the above is known. */
  readonly isIdleAtOnce: boolean;
  /** Whether the server is idle after its last grant has lapsed. */
  readonly isIdleAfterLapse: boolean;
}

const stopCases: readonly StopCase[] = [
  {
    name: "fenced server and its leaseholder stopped",
    isFenced: true,
    isLeaseholderStopped: true,
    refusesConnections: true,
    isIdleAtOnce: true,
    isIdleAfterLapse: true,
  },
  {
    name: "unfenced server and its leaseholder stopped",
    isFenced: false,
    isLeaseholderStopped: true,
    refusesConnections: true,
    isIdleAtOnce: true,
    isIdleAfterLapse: true,
  },
  {
    name: "fenced server does not answer, leaseholder stopped",
    isFenced: true,
    isLeaseholderStopped: true,
    refusesConnections: false,
    isIdleAtOnce: false,
    isIdleAfterLapse: true,
  },
  {
    name: "unfenced server does not answer, leaseholder stopped",
    isFenced: false,
    isLeaseholderStopped: true,
    refusesConnections: false,
    isIdleAtOnce: false,
    isIdleAfterLapse: false,
  },
  {
    name: "fenced server stopped, leaseholder possibly only paused",
    isFenced: true,
    isLeaseholderStopped: false,
    refusesConnections: true,
    isIdleAtOnce: false,
    isIdleAfterLapse: false,
  },
];

describe("idle check of a server in a data centre without daemons", () => {
  test.each(stopCases)("$name", async (stopCase) => {
    const clock = createFakeClock();
    const configuration = {
      servers: { [server.name]: { fenced: stopCase.isFenced, host: "10.0.0.2", port: 8000 } },
    } as unknown as Configuration;
    const search = createStopSearch({
      membership: { isPresent: () => false, present: () => [] } as unknown as Membership,
      snapshots: {
        findAssignment: () => ({ value: { servers: [server] } }),
        findConfiguration: () => ({ value: { configuration } }),
        getStopNotice: () => ({ servers: [], daemons: [] }),
      } as unknown as SnapshotStore,
      evidence: createEvidence(stopCase.isLeaseholderStopped, clock.now()),
      clock,
      refusesConnections: () => Promise.resolve(stopCase.refusesConnections),
    });
    const findings = await search.find(SERVICE, "all");
    expect(search.isIdle(server, configuration, findings)).toBe(stopCase.isIdleAtOnce);
    await clock.advance(GRANT_VALIDITY_MS + 100);
    expect(search.isIdle(server, configuration, findings)).toBe(stopCase.isIdleAfterLapse);
  });
});

function createEvidence(isStopped: boolean, stoppedAt: number): StopEvidence {
  return {
    hasProvablyStopped: () => Promise.resolve(isStopped),
    findStoppedAt: () => (isStopped ? stoppedAt : undefined),
  };
}
