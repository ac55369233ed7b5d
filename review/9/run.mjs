// The store cuts off waiting watches, and targets leave: when does the last request reach each of them?
import { writeFileSync } from "node:fs";
import { fileURLToPath } from "node:url";
import { chooseNetwork, createFolder, sleep, startDaemon, waitUntilReady } from "../standins-2/daemon.mjs";
import { startStore } from "../standins-2/store.mjs";
import { createConfiguration, startTarget } from "../standins-2/target.mjs";
import { createClient } from "../standins-2/client.mjs";

const DRAIN_MS = 2000;
const SETTLE_MS = 5000;
const SPACING_MS = 3500;
const REQUEST_INTERVAL_MS = 10;
const ROUNDS = 6;
const STAY = 3;
/** A target leaves this long after the store has cut off the watches that were waiting. */
const LEAVE_AFTER_CUT_MS = 50;
const isTrouble = process.env.TROUBLE !== "0";
const lines = [];
const note = (line) => lines.push(line);

const network = chooseNetwork();
const folder = createFolder();
const store = await startStore(`${network}2`);
const targets = [];
const daemons = [];
let exitCode = 2;
try {
  for (let index = 0; index < ROUNDS + STAY; index += 1) {
    const host = `${network}${20 + index}`;
    targets.push(
      await startTarget({
        store,
        id: `i-${index}`,
        service: "desk",
        host,
        zone: "a",
        capacity: 4,
        workMs: 30,
      }),
    );
  }
  store.put(
    "config",
    "main",
    createConfiguration(
      7,
      [
        {
          name: "r",
          host: "desk.example",
          pathPrefix: "/desk/",
          kind: "safe",
          timeoutS: 0.8,
          aimS: 0.3,
          priority: 1,
          service: "desk",
          attempts: 2,
        },
      ],
      [{ name: "desk" }],
    ),
  );
  for (let index = 0; index < 3; index += 1) {
    daemons.push(
      startDaemon({
        name: `d${index}`,
        zone: "a",
        host: `${network}${10 + index}`,
        store: store.address,
        folder: folder.path,
      }),
    );
  }
  await waitUntilReady(daemons);
  exitCode = await measure();
} catch (error) {
  note(`the case could not run: ${error.stack}`);
} finally {
  await Promise.all(daemons.map((daemon) => daemon.close()));
  await Promise.all(targets.map((target) => target.close()));
  await store.close();
  folder.remove();
  writeFileSync(fileURLToPath(new URL("record.txt", import.meta.url)), `${lines.join("\n")}\n`);
  process.stdout.write(`${lines.filter((line) => !line.startsWith("  ")).join("\n")}\n`);
}
process.exit(exitCode);

async function measure() {
  const sent = new Map();
  const answered = { ok: 0, other: 0 };
  const clients = daemons.map((daemon) => createClient(daemon));
  const pending = new Set();
  const timer = setInterval(() => {
    for (const client of clients) {
      const call = client.send({ host: "desk.example", path: "/desk/x", deadlineMs: 800 }).then((record) => {
        sent.set(record.id, record);
        answered[record.status === 200 ? "ok" : "other"] += 1;
        pending.delete(call);
      });
      pending.add(call);
    }
  }, REQUEST_INTERVAL_MS);
  await sleep(SETTLE_MS);
  const removals = [];
  for (const target of targets.slice(0, ROUNDS)) {
    const cut = isTrouble ? store.cutWatches("servers") : 0;
    await sleep(LEAVE_AFTER_CUT_MS);
    const before = target.runs.length;
    removals.push({ target, at: target.unlist(), cut, before });
    await sleep(SPACING_MS);
  }
  clearInterval(timer);
  await Promise.all(pending);
  clients.forEach((client) => client.close());
  note(`requests answered with 200: ${answered.ok}, otherwise: ${answered.other}`);
  let late = 0;
  for (const { target, at, cut, before } of removals) {
    const after = target.runs.filter((run) => run.at > at);
    const broken = after.filter(
      (run) => run.at > at + DRAIN_MS && sent.get(run.requestId)?.sentAt > at + DRAIN_MS,
    );
    late += broken.length;
    const last = after.length === 0 ? 0 : Math.round(after.at(-1).at - at);
    note(
      `${target.id}: ${before} runs, ${cut} waiting watches cut off, ${LEAVE_AFTER_CUT_MS} ms later its entry removed; last request reached it ${last} ms later; ${broken.length} requests sent and run later than ${DRAIN_MS} ms`,
    );
    for (const run of broken) {
      const { daemon, sentAt, status } = sent.get(run.requestId);
      note(
        `  ${run.requestId} sent to ${daemon} at +${Math.round(sentAt - at)} ms, run by ${target.id} at +${Math.round(run.at - at)} ms, answered ${status}`,
      );
    }
  }
  note(late > 0 ? `DRAIN broken: ${late} requests` : "DRAIN held");
  return late > 0 ? 1 : 0;
}
