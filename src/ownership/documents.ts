/** The documents of this subsystem that the object API keeps. */
export * from "./assignment";
export * from "./stopNotice";
export type { AssignedServer, Assignment, Move, SlotEpoch } from "./types";
export { NO_OWNER } from "./types";
