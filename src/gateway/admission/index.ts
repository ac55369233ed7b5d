/** Decides which requests are served, by which server, and which are refused; imports nothing of the network. */
export * from "./coldAdmission";
export * from "./localShares";
export * from "./permitPool";
export * from "./retryBudgetShare";
export * from "./routeCosts";
export * from "./serverAdmission";
export * from "./serverBackOff";
export * from "./serverCapacity";
export * from "./serverChoice";
export * from "./serverLoads";
export * from "./serverRateLimits";
export * from "./serverSubset";
export * from "./stopAdmission";
