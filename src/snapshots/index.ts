/** Versioned copies of the platform's objects, which every daemon keeps. */
export * from "./platformWatcher";
export * from "./snapshotStore";
export * from "./types";
