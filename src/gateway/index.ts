/** The gateway: daemons that discover backend servers in the object store and send to them directly. */
export * from "./coldAdmission";
export * from "./dispatchTypes";
export * from "./dispatcher";
export * from "./callerListener";
export * from "./gateway";
export * from "./gracefulShutdown";
export * from "./protocols";
export * from "./retryBudgetShare";
export * from "./routeMatcher";
export * from "./routingState";
export * from "./serverCapacity";
export * from "./serverChoice";
export * from "./serverConnections";
export * from "./serverLoads";
export * from "./serverRateLimits";
export * from "./types";
