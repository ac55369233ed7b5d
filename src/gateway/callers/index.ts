/** Connections and requests of callers. */
export * from "./callerAnswers";
export * from "./callerConnections";
export * from "./callerListener";
export * from "./forwardedHeaders";
export * from "./requestBody";
