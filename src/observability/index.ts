/** Logs, counters and metrics. */
export * from "./rateLimitedLogger";
export * from "./counters";
export * from "./events";
export * from "./lineOutput";
export * from "./logger";
export * from "./loopDelay";
export * from "./metrics";
