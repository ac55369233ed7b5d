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
  { seed: 9001, cause: "the watches of all daemons had died at once, and all agreed on an old state" },
  { seed: 9003, cause: "polls with a time limit on the whole transfer never ended on a slow link" },
  { seed: 9338, cause: "a history that had grown while a list was read was larger than the state" },
  {
    seed: 930014,
    cause: "no daemon kept to a rate limit that a server had named",
  },
  {
    seed: 940013,
    cause: "a restarted daemon took a lease that was lost with a restore of the store for one never written",
  },
  {
    seed: 940064,
    cause: "a restarted daemon took a lease that was lost with a restore of the store for one never written",
  },
  { seed: 138, cause: "a restarted server had taken a renewal meant for its earlier process" },
];
