/** The platform's object API and VM list. */
export * from "./rateLimiter";
export * from "./conditionalUpdate";
export * from "./httpPlatform";
export * from "./relayedObjectStore";
export * from "./types";
