/** Connections to backend servers, and what their answers show. */
export * from "./answerBody";
export * from "./attemptClassifier";
export * from "./connectionEnds";
export * from "./keptConnections";
export * from "./serverConnections";
