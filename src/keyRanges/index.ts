/**
 * Ownership of keys by ranges: one elected daemon, the coordinator, grants ranges to backend servers under
 * fencing tokens that are stored in the object store.
 */
export * from "./assignmentDocument";
export * from "./assignmentFeed";
export * from "./coordinator";
export * from "./coordinatorPreference";
export * from "./coordinatorLease";
export * from "./grantLedger";
export * from "./grantRenewal";
export * from "./holdings";
export * from "./keyLoad";
export * from "./loadReporter";
export * from "./moveScheduler";
export * from "./ownerShares";
export * from "./ownerTable";
export * from "./rangePlanner";
export * from "./rebalancing";
export * from "./restoredAssignment";
export * from "./storedAssignment";
export * from "./types";
