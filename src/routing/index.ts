/** HTTP server for callers, routing, forwarding between daemons, and sending to backend servers. */
export * from "./callerServer";
export * from "./leaseholderDispatcher";
export * from "./peerForwarder";
export * from "./routeTable";
export * from "./router";
export * from "./workRegistry";
