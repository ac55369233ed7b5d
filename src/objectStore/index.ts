/** The platform's object API and VM list. */
export * from "./budget";
export * from "./conditionalUpdate";
export * from "./httpPlatform";
export * from "./relayedObjectStore";
export * from "./types";
