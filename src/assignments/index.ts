/** Documents in the object store that say which backend server owns which slots. */
export * from "./assignment";
export * from "./stopNotice";
export * from "./types";
