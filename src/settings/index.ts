/** The settings file of one daemon. */
export * from "./load";
export * from "./reference";
export * from "./schema";
