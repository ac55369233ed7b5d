/** Discovery of backend servers and data centres through the object store. */
export * from "./peerStates";
export * from "./prefixWatcher";
export * from "./coldServers";
export * from "./coordinatorSearch";
export * from "./exclusionExchange";
export * from "./freshnessCheck";
export * from "./leavingServers";
export * from "./serverDirectory";
export * from "./types";
