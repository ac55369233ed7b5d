/** Connections and messages between daemons. */
export * from "./messages";
export * from "./peers";
