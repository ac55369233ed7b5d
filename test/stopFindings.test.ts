/** What must be proved of a backend server before its keys may go to another one. */
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

const holder = { daemon: "w1", incarnation: 7, address: { host: "10.0.0.1", port: 7000 } };
const server = {
  name: "desk-west",
  dataCentre: "west",
  generation: 1,
  leaseholder: holder,
  predecessors: [],
} as unknown as AssignedServer;

interface Case {
  readonly name: string;
  readonly isFenced: boolean;
  readonly isHolderStopped: boolean;
  readonly refusesConnections: boolean;
  /** Whether the keys are free as soon as that is known, and once the last grant has lapsed. */
  readonly isFreeAtOnce: boolean;
  readonly isFreeAfterLapse: boolean;
}

const cases: readonly Case[] = [
  {
    name: "fenced server and its leaseholder ended",
    isFenced: true,
    isHolderStopped: true,
    refusesConnections: true,
    isFreeAtOnce: true,
    isFreeAfterLapse: true,
  },
  {
    name: "unfenced server and its leaseholder ended",
    isFenced: false,
    isHolderStopped: true,
    refusesConnections: true,
    isFreeAtOnce: true,
    isFreeAfterLapse: true,
  },
  {
    name: "fenced server silent, leaseholder ended",
    isFenced: true,
    isHolderStopped: true,
    refusesConnections: false,
    isFreeAtOnce: false,
    isFreeAfterLapse: true,
  },
  {
    name: "unfenced server silent, leaseholder ended",
    isFenced: false,
    isHolderStopped: true,
    refusesConnections: false,
    isFreeAtOnce: false,
    isFreeAfterLapse: false,
  },
  {
    name: "server ended, leaseholder perhaps only paused",
    isFenced: true,
    isHolderStopped: false,
    refusesConnections: true,
    isFreeAtOnce: false,
    isFreeAfterLapse: false,
  },
];

describe("keys of a data centre without daemons", () => {
  test.each(cases)("$name", async (given) => {
    const clock = createFakeClock();
    const configuration = {
      servers: { [server.name]: { fenced: given.isFenced, host: "10.0.0.2", port: 8000 } },
    } as unknown as Configuration;
    const search = createStopSearch({
      membership: { isPresent: () => false, present: () => [] } as unknown as Membership,
      snapshots: {
        findAssignment: () => ({ value: { servers: [server] } }),
        findConfiguration: () => ({ value: { configuration } }),
        getStopNotice: () => ({ servers: [], daemons: [] }),
      } as unknown as SnapshotStore,
      evidence: createEvidence(given.isHolderStopped, clock.now()),
      clock,
      refusesConnections: () => Promise.resolve(given.refusesConnections),
    });
    const findings = await search.find(SERVICE, "all");
    expect(search.isIdle(server, configuration, findings)).toBe(given.isFreeAtOnce);
    await clock.advance(GRANT_VALIDITY_MS + 100);
    expect(search.isIdle(server, configuration, findings)).toBe(given.isFreeAfterLapse);
  });
});

function createEvidence(isStopped: boolean, at: number): StopEvidence {
  return {
    hasProvablyStopped: () => Promise.resolve(isStopped),
    findStoppedAt: () => (isStopped ? at : undefined),
  };
}
