/** Cases of test tables. */

/** Lists cases with their whole names, which Vitest shortens otherwise. */
export function listByName<Case extends { readonly name: string }>(cases: readonly Case[]): [string, Case][] {
  return cases.map((each) => [each.name, each]);
}
