/** The questionnaire: answers in, configuration and settings out. */
export * from "./answers";
export * from "./ask";
export * from "./generate";
