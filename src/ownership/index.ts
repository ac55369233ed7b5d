/** Who owns which keys, and which daemon may send to which backend server. */
export * from "./assignment";
export * from "./assignmentStore";
export * from "./candidates";
export * from "./httpServerControl";
export * from "./leaseBalancing";
export * from "./leaseManager";
export * from "./pauseGuard";
export * from "./placement";
export * from "./planner";
export * from "./serverLease";
export * from "./serverSession";
export * from "./slots";
export * from "./statusView";
export * from "./stopEvidence";
export * from "./stopNotice";
export * from "./types";
