/** Admission control, cold-start ramp, load view and retry budget for backend servers. */
export * from "./admission";
export * from "./loadView";
export * from "./ramp";
export * from "./retryBudget";
