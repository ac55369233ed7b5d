/** Admission to backend servers, cold starts, load view and retry budget. */
export * from "./admission";
export * from "./loadView";
export * from "./ramp";
export * from "./retryBudget";
