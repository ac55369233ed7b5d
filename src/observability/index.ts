/** Logs and counters. */
export * from "./counters";
export * from "./events";
export * from "./logger";
