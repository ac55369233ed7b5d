/** Callers' entry, routing and sending. */
export * from "./callerServer";
export * from "./leaseholderDispatcher";
export * from "./peerForwarder";
export * from "./routeTable";
export * from "./router";
export * from "./workRegistry";
