/** Cluster membership: detects which daemons are alive, and carries messages between them. */
export * from "./datagramChannel";
export * from "./membership";
export * from "./types";
export * from "./udpTransport";
