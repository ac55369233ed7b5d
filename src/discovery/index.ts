/** Backend servers and data centres as the object API tells of them. */
export * from "./prefixWatcher";
export * from "./freshnessCheck";
export * from "./serverDirectory";
export * from "./types";
