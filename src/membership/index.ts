/** Which daemons are alive. */
export * from "./datagramChannel";
export * from "./membership";
export * from "./types";
export * from "./udpTransport";
