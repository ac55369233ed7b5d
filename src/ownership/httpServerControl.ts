/** HTTP adapter of the control calls to a backend server. */
import { connect } from "node:net";
import { Pool } from "undici";
import { z } from "zod";
import { ServerUnreachableError, describeError } from "../errors";
import { type Address, type ServerName, formatAddress } from "../types";
import type { LeaseAnswer, ServerControl } from "./types";

const CONTROL_TIMEOUT_MS = 300;
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
 * Creates the adapter. Control calls use a connection of their own, so that requests never delay them.
 *
 * @param server - Name of the server, for errors.
 * @param address - Its address.
 * @returns The control calls.
 */
export function createHttpServerControl(server: ServerName, address: Address): ServerControl {
  const pool = new Pool(`http://${formatAddress(address)}`, {
    connections: 1,
    connect: { timeout: CONTROL_TIMEOUT_MS },
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
        throw new Error(`status ${response.statusCode}`);
      }
      return { status: response.statusCode, body: await response.body.json() };
    } catch (error) {
      throw new ServerUnreachableError(`control ${server}: ${describeError(error)}`, {
        props: { step: `control ${path}`, peer: server },
      });
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
 * Tells whether an address refuses connections, which only a stopped process does.
 *
 * @param address - The address.
 * @returns True for a refusal; false for a connection or silence.
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
