/** Discovery of backend servers through the object store, and checks that watches are fresh. */
export * from "./prefixWatcher";
export * from "./freshnessCheck";
export * from "./serverDirectory";
export * from "./types";
