/** Logs and counters. */
export * from "./boundedLogger";
export * from "./counters";
export * from "./events";
export * from "./lineOutput";
export * from "./logger";
export * from "./metrics";
