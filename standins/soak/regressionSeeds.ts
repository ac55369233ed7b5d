/** Seeds that once broke a promise, each with the cause, which has been fixed. */
export const regressionSeeds: readonly { readonly seed: number; readonly cause: string }[] = [
  { seed: 114, cause: "a restarted server had taken a renewal meant for its earlier process" },
  { seed: 121, cause: "a restarted server had taken a renewal meant for its earlier process" },
  { seed: 122, cause: "a restarted server had taken a renewal meant for its earlier process" },
  { seed: 123, cause: "a restarted server had taken a renewal meant for its earlier process" },
  {
    seed: 5035,
    cause:
      "after a lost write, keys whose release was under way were taken for free with the rest of their range",
  },
  { seed: 138, cause: "a restarted server had taken a renewal meant for its earlier process" },
];
