/** Configuration of services, data centres and backend servers. */
export * from "./document";
export * from "./schema";
