/** The daemon, its status and its release. */
export * from "./daemon";
export * from "./release";
export * from "./status";
