/** One daemon. */
export * from "./daemon";
export * from "./release";
export * from "./status";
