/** Logs, counters and metrics. */
export * from "./rateLimitedLogger";
export * from "./counters";
export * from "./errorReport";
export * from "./events";
export * from "./lineOutput";
export * from "./logger";
export * from "./loopDelay";
export * from "./metrics";
