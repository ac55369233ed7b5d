/** Exchanges between daemons about limits and keys that hold for all of them. */
export * from "./allowanceExchange";
export * from "./coordinatorCalls";
export * from "./keyCoordination";
export * from "./performanceExchange";
export * from "./permitExchange";
export * from "./priorityExchange";
export * from "./stateExchange";
