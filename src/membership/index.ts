/** Which daemons are alive. */
export * from "./membership";
export * from "./types";
export * from "./udpTransport";
