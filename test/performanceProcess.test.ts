/** The wiring of shared server performance: a real daemon learns the servers' speeds from their answers. */
import { randomUUID } from "node:crypto";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { request } from "undici";
import { expect, test } from "vitest";
import { CONFIGURATION_NAME, StoreKind, WireHeader } from "../platform/wireNames";
import { createDatagramChannel, createUdpTransport } from "../src/membership";
import { createCounters } from "../src/observability";
import { createEdgeObjectStore } from "../standins/edge/objectStore";
import { HOST, findFreePort } from "../standins/scenarios/ports";
import { createSoakFolder, startSoakDaemon } from "../standins/soak/daemons";
import { createConfiguration } from "./support/singleDaemon";

const DAEMON_HOST = "127.0.77.10";
/** One more than a daemon is taken to know by itself. */
const SERVERS = 17;
/** With the one that is tested, the fewest that share estimates. */
const OTHER_DAEMONS = 23;
/** The daemon counts those that it has heard of within 10 s. */
const STATE_INTERVAL_MS = 1000;
const PEER_PORT = 7540;
const PAUSE_MS = 20;
/** Far more requests than it takes until one has been answered and reported. */
const MAX_REQUESTS = 500;

test("one of 24 daemons with a service of 17 servers shares estimates of those that have answered", async () => {
  const server = createServer((message, response) => {
    const id = String(message.headers[WireHeader.RequestId]);
    response.writeHead(200, {
      [WireHeader.RequestId]: id,
      [WireHeader.Signature]: `signed-${id}`,
      [WireHeader.Load]: "1,0,4,100",
    });
    response.end("x");
  });
  await new Promise<void>((resolve) => server.listen(0, HOST, resolve));
  const { port } = server.address() as AddressInfo;
  const store = createEdgeObjectStore(Math.random);
  store.put(StoreKind.Configuration, CONFIGURATION_NAME, createConfiguration());
  for (let index = 0; index < SERVERS; index += 1) {
    store.put(StoreKind.Servers, `desk-${index}`, {
      address: `${HOST}:${port}`,
      born: Date.now(),
      info: { service: "desk", version: "v1", zone: "a", capacity: 4 },
      status: { state: "ready", seq: 1, warmupLeftS: 0 },
    });
  }
  const { port: storePort } = await store.openEndpoint();
  const folder = createSoakFolder();
  const daemon = startSoakDaemon({ name: "d0", dataCentre: "a", host: DAEMON_HOST, storePort, folder });
  const stopOthers = await sendStates();
  let estimates = 0;
  for (let count = 0; count < MAX_REQUESTS && estimates === 0; count += 1) {
    await new Promise((resolve) => setTimeout(resolve, PAUSE_MS));
    estimates = await sendAndCount(daemon.url).catch(() => 0);
  }
  stopOthers();
  await daemon.close();
  server.closeAllConnections();
  server.close();
  await store.close();
  expect(estimates).toBeGreaterThan(0);
  expect(estimates).toBeLessThanOrEqual(SERVERS);
});

/** Sends the daemon the states of the others at intervals, until the returned function is called. */
async function sendStates(): Promise<() => void> {
  const transport = await createUdpTransport({ host: HOST, port: await findFreePort() });
  const channel = createDatagramChannel(transport, createCounters("test"));
  const send = () => {
    for (let index = 1; index <= OTHER_DAEMONS; index += 1) {
      const address = { host: HOST, port: 1 };
      const state = { daemon: `d${index}`, address, processors: 0.5, digests: {} };
      channel.send({ host: DAEMON_HOST, port: PEER_PORT }, "state", state);
    }
  };
  const timer = setInterval(send, STATE_INTERVAL_MS);
  return () => {
    clearInterval(timer);
    transport.close();
  };
}

/** Sends a request and returns the number of servers with an estimate. */
async function sendAndCount(url: string): Promise<number> {
  const answer = await request(`${url}/long/x`, {
    method: "POST",
    headers: { host: "a.example", [WireHeader.RequestId]: randomUUID() },
  });
  await answer.body.dump();
  const metrics = await request(`http://${DAEMON_HOST}:9464/metrics`);
  const text = await metrics.body.text();
  return Number(/^hemlockbank_shared_estimates\{service="desk"\} (\d+)$/m.exec(text)?.[1] ?? 0);
}
