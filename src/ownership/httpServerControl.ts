/** Control calls to a backend server over HTTP. */
import { connect } from "node:net";
import { Pool } from "undici";
import { z } from "zod";
import { ServerUnreachableError, describeError } from "../errors";
import { type Address, type ServerName, formatAddress } from "../types";
import type { LeaseAnswer, ServerControl } from "./types";

const CONTROL_TIMEOUT_MS = 300;
/** An answer lists the numbers of running requests; the timeout alone would let a fast link fill the memory. */
const MAX_ANSWER_BYTES = 1_048_576;
const HTTP_OK = 200;
const HTTP_CONFLICT = 409;

const reportSchema = z.object({
  bootId: z.string(),
  clockMs: z.number(),
  running: z.int().min(0),
  isCold: z.boolean(),
  isDraining: z.boolean(),
});
const acceptedSchema = z.object({
  report: reportSchema,
  stillRunning: z.array(z.int()),
  lapses: z.int(),
});
const fencedSchema = z.object({ generation: z.int() });

/**
 * Creates the HTTP adapter of the control calls. They use a separate connection, so that requests never delay
 * them.
 *
 * @param server - Name of the server, for error messages.
 * @param address - Address of the server.
 * @returns The control calls.
 */
export function createHttpServerControl(server: ServerName, address: Address): ServerControl {
  const pool = new Pool(`http://${formatAddress(address)}`, {
    connections: 1,
    connect: { timeout: CONTROL_TIMEOUT_MS },
    maxResponseSize: MAX_ANSWER_BYTES,
  });

  return {
    lease: async (call) => {
      const { status, body } = await send("POST", "/hemlockbank/lease", JSON.stringify(call));
      return parseLeaseAnswer(status, body);
    },
    health: async () => {
      const { body } = await send("GET", "/hemlockbank/health");
      return reportSchema.parse(body);
    },
    refusesConnections: () => refusesConnections(address),
    close: () => {
      void pool.destroy();
    },
  };

  async function send(method: "GET" | "POST", path: string, body?: string) {
    try {
      const response = await pool.request({
        method,
        path,
        signal: AbortSignal.timeout(CONTROL_TIMEOUT_MS),
        ...(body === undefined ? {} : { body, headers: { "content-type": "application/json" } }),
      });
      if (response.statusCode !== HTTP_OK && response.statusCode !== HTTP_CONFLICT) {
        throw new Error(`unexpected HTTP status ${response.statusCode}`);
      }
      return { status: response.statusCode, body: await response.body.json() };
    } catch (error) {
      throw new ServerUnreachableError(
        `control call to backend server ${server} failed: ${describeError(error)}`,
        {
          props: { step: `control ${path}`, peer: server },
        },
      );
    }
  }
}

function parseLeaseAnswer(status: number, body: unknown): LeaseAnswer {
  if (status === HTTP_CONFLICT) {
    return { kind: "fenced", generation: fencedSchema.parse(body).generation };
  }
  return { kind: "accepted", ...acceptedSchema.parse(body) };
}

/**
 * Returns whether an address refuses connections, which happens only when the process has stopped.
 *
 * @param address - Address to connect to.
 * @returns True when the connection is refused; false when it is established, fails otherwise or times out.
 */
export function refusesConnections(address: Address): Promise<boolean> {
  return new Promise((resolve) => {
    const socket = connect({ host: address.host, port: address.port, timeout: CONTROL_TIMEOUT_MS });
    const finish = (isRefused: boolean) => {
      socket.destroy();
      resolve(isRefused);
    };
    socket.once("connect", () => {
      finish(false);
    });
    socket.once("timeout", () => {
      finish(false);
    });
    socket.once("error", (error: NodeJS.ErrnoException) => {
      finish(error.code === "ECONNREFUSED");
    });
  });
}
