/** Documents of this subsystem that are kept in the object store. */
export * from "./assignment";
export * from "./stopNotice";
export type { AssignedServer, Assignment, Move, SlotEpoch } from "./types";
export { NO_OWNER } from "./types";
