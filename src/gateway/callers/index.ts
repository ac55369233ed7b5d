/** Connections and requests of callers. */
export * from "./callerAccount";
export * from "./callerAnswers";
export * from "./callerConnections";
export * from "./callerListener";
export * from "./callerMemory";
export * from "./forwardedHeaders";
export * from "./headEstimate";
export * from "./memoryBudget";
export * from "./pacedInput";
export * from "./requestBody";
export * from "./requestPlace";
