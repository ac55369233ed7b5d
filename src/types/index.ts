/** Types and ports that every subsystem shares. */
export * from "./clock";
export * from "./identifiers";
export * from "./outcome";
export * from "./random";
export * from "./work";
