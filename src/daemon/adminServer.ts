/** Admin HTTP server of a daemon: health for the load balancer, status and version for operators. */
import { createServer } from "node:http";
import express from "express";
import { listen } from "../http";
import type { Address } from "../types";

const HTTP_UNAVAILABLE = 503;

/** Options for {@link createAdminServer}: the content of its pages. */
export interface AdminServerOptions {
  readonly isReady: () => boolean;
  readonly describeStatus: () => unknown;
  readonly describeOwner: (service: string, key: string) => unknown;
  readonly getCounters: () => Readonly<Record<string, number>>;
  readonly release: string;
}

/** A running admin server. */
export interface AdminServer {
  /** Stops listening and closes all connections. */
  close(): void;
}

/**
 * Starts the admin server.
 *
 * @param address - The address to listen on.
 * @param options - Functions that provide the content of the pages.
 * @returns The server.
 * @throws Error when the address cannot be bound.
 */
export async function createAdminServer(address: Address, options: AdminServerOptions): Promise<AdminServer> {
  const app = express();
  app.disable("x-powered-by");
  app.get("/health", (_request, response) => {
    const isReady = options.isReady();
    response.status(isReady ? 200 : HTTP_UNAVAILABLE).json({ ready: isReady });
  });
  app.get("/status", (_request, response) => {
    response.json(options.describeStatus());
  });
  app.get("/owner", (request, response) => {
    const { service, key } = request.query;
    response.json(
      options.describeOwner(typeof service === "string" ? service : "", typeof key === "string" ? key : ""),
    );
  });
  app.get("/counters", (_request, response) => {
    response.json(options.getCounters());
  });
  app.get("/version", (_request, response) => {
    response.json({ release: options.release });
  });
  const server = createServer(app);
  await listen(server, address);
  return {
    close: () => {
      server.close();
      server.closeAllConnections();
    },
  };
}
