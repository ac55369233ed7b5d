/** Clients of the platform's object store and VM list. */
export * from "./rateLimiter";
export * from "./conditionalUpdate";
export * from "./httpCall";
export * from "./httpPlatform";
export * from "./relayedObjectStore";
export * from "./timeline";
export * from "./types";
