/** Random selection; the source of random numbers is injected, so that tests are reproducible. */

/** Source of uniform random numbers in [0, 1). */
export type Random = () => number;

/**
 * Selects one item uniformly at random.
 *
 * @param random - Source of random numbers.
 * @param items - The items.
 * @returns The selected item, or undefined when `items` is empty.
 */
export function chooseRandom<Item>(random: Random, items: readonly Item[]): Item | undefined {
  return items[Math.floor(random() * items.length)];
}

/**
 * Returns the items in random order.
 *
 * @param random - Source of random numbers.
 * @param items - The items.
 * @returns A new array of the same items.
 */
export function shuffle<Item>(random: Random, items: readonly Item[]): readonly Item[] {
  return items
    .map((item) => ({ item, order: random() }))
    .sort((left, right) => left.order - right.order)
    .map((entry) => entry.item);
}
