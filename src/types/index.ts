/** Types and interfaces shared by all subsystems. */
export * from "./clock";
export * from "./identifiers";
export * from "./outcome";
export * from "./random";
export * from "./work";
