/** Questionnaire that generates the configuration and the daemons' settings from answers. */
export * from "./answers";
export * from "./ask";
export * from "./generate";
