/** Explains where a request would be sent now, and why, without sending it. */
export * from "./explainPage";
export * from "./explanationTypes";
export * from "./routeExplainer";
export * from "./routeQuestion";
