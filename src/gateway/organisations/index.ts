/** API keys and allowances of organisations; imports nothing of the network. */
export * from "./allowanceLedger";
export * from "./largestSize";
export * from "./organisationAdmission";
export * from "./permitStock";
