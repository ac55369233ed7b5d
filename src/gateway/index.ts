/** The gateway: daemons that discover backend servers in the object store and send to them directly. */
export * from "./admission";
export * from "./attemptTypes";
export * from "./callers";
export * from "./coordination";
export * from "./dispatchTypes";
export * from "./dispatcher";
export * from "./explanation";
export * from "./gateway";
export * from "./gatewayOptions";
export * from "./gracefulShutdown";
export * from "./organisations";
export * from "./protocols";
export * from "./routeMatcher";
export * from "./routingState";
export * from "./servers";
export * from "./types";
