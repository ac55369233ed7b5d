/** Discovery of backend servers and data centres through the object store. */
export * from "./peerStates";
export * from "./prefixWatcher";
export * from "./prefixWatcherTypes";
export * from "./changeFeed";
export * from "./coldServers";
export * from "./coordinatorSearch";
export * from "./exclusionExchange";
export * from "./freshnessCheck";
export * from "./freshnessTypes";
export * from "./leavingServers";
export * from "./serverDirectory";
export * from "./stateChange";
export * from "./types";
