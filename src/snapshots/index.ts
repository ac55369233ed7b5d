/** Versioned copies of the objects that every daemon keeps. */
export * from "./platformWatcher";
export * from "./snapshotStore";
export * from "./types";
